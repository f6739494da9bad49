package org.tanagermoor.online.endpoint;

import org.tanagermoor.kernel.time.TimeSource;
import org.tanagermoor.online.OnlineMetrics;
import org.tanagermoor.target.client.AnswerPart;

/** Measures the latency of one answer: to its first token, between tokens and to its end. */
final class AnswerTiming {

    private final OnlineMetrics metrics;

    private final TimeSource time;

    /** The monotonic time in nanoseconds at which the request arrived. */
    private final long startedAt;

    /** The monotonic time in nanoseconds at which the last part arrived. */
    private long lastPartAt;

    private boolean pieceReceived;

    /** Starts the measurement of a request that has just arrived. */
    AnswerTiming(OnlineMetrics metrics, TimeSource time) {
        this.metrics = metrics;
        this.time = time;
        startedAt = time.nanos();
        lastPartAt = startedAt;
    }

    /** Records the latency that a part of the answer ends. The head is not measured. */
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
