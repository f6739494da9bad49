package org.tanagermoor.online.attempt;

import org.tanagermoor.kernel.time.TimeSource;
import org.tanagermoor.target.client.AnswerPart;
import org.tanagermoor.target.lease.TargetLease;
import org.tanagermoor.target.lease.Targets;

/** Tells what a target shows of itself while it answers one request. */
final class TargetObserver {

    /** The time to the first token where it is not known. */
    private static final long UNKNOWN = -1;

    /** The targets. */
    private final Targets targets;

    /** The lease. */
    private final TargetLease lease;

    /** The source of the present time. */
    private final TimeSource time;

    /** The monotonic time in nanoseconds at which the request was begun. */
    private final long startedAt;

    /** The mark of the target's start. */
    private String startMark = "";

    /** Whether the first piece has come. */
    private boolean pieceReceived;

    /**
     * Creates an observation.
     *
     * @param targets The targets.
     * @param lease The lease.
     * @param time The source of the present time.
     */
    TargetObserver(Targets targets, TargetLease lease, TimeSource time) {
        this.targets = targets;
        this.lease = lease;
        this.time = time;
        startedAt = time.nanos();
    }

    /**
     * Observes a part of the answer.
     *
     * @param part The part.
     */
    void observe(AnswerPart part) {
        if (part instanceof AnswerPart.Head head) {
            startMark = head.startMark();
            targets.observe(lease, startMark, UNKNOWN);
        } else if (part instanceof AnswerPart.Piece && !pieceReceived) {
            pieceReceived = true;
            targets.observe(lease, startMark, time.nanos() - startedAt);
        }
    }
}
