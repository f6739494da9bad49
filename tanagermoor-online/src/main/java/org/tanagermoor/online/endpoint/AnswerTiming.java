package org.tanagermoor.online.endpoint;

import org.tanagermoor.kernel.time.TimeSource;
import org.tanagermoor.online.OnlineMetrics;
import org.tanagermoor.target.client.AnswerPart;

/** Measures how fast one answer comes. */
final class AnswerTiming {

    /** The metrics. */
    private final OnlineMetrics metrics;

    /** The source of the present time. */
    private final TimeSource time;

    /** The monotonic time in nanoseconds at which the request arrived. */
    private final long startedAt;

    /** The monotonic time in nanoseconds of the last piece. */
    private long lastPartAt;

    /** Whether a piece has come. */
    private boolean pieceReceived;

    /**
     * Creates a measure of a request that has just arrived.
     *
     * @param metrics The metrics.
     * @param time The source of the present time.
     */
    AnswerTiming(OnlineMetrics metrics, TimeSource time) {
        this.metrics = metrics;
        this.time = time;
        startedAt = time.nanos();
        lastPartAt = startedAt;
    }

    /**
     * Measures a part of the answer.
     *
     * @param part The part.
     */
    void observe(AnswerPart part) {
        if (part instanceof AnswerPart.Head) {
            return;
        }
        long now = time.nanos();
        if (part instanceof AnswerPart.End) {
            metrics.completeAnswer(now - startedAt);
        } else if (pieceReceived) {
            metrics.betweenTokens(now - lastPartAt);
        } else {
            metrics.firstToken(now - startedAt);
            pieceReceived = true;
        }
        lastPartAt = now;
    }
}
