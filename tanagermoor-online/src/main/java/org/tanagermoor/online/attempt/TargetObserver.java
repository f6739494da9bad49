package org.tanagermoor.online.attempt;

import org.tanagermoor.kernel.time.TimeSource;
import org.tanagermoor.target.client.AnswerPart;
import org.tanagermoor.target.lease.TargetLease;
import org.tanagermoor.target.lease.Targets;

/**
 * Reports the start mark and the time to the first token that a target shows while it answers one request. A start mark
 * identifies one run of a target's process.
 */
final class TargetObserver {

    /** Reported instead of the time to the first token while no token has arrived. */
    private static final long UNKNOWN = -1;

    private final Targets targets;

    private final TargetLease lease;

    private final TimeSource time;

    /** The monotonic time in nanoseconds at which the request was started. */
    private final long startedAt;

    private String startMark = "";

    private boolean pieceReceived;

    /** Creates an observer for a request that is started now. */
    TargetObserver(Targets targets, TargetLease lease, TimeSource time) {
        this.targets = targets;
        this.lease = lease;
        this.time = time;
        startedAt = time.nanos();
    }

    /**
     * Reports what a part of the answer shows of the target: the head its start mark, the first piece the time to the
     * first token.
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
