package org.tanagermoor.policy.target;

import org.tanagermoor.policy.fleet.TargetId;

/**
 * The report of an instance to the steward of a target: its current use and its demand.
 *
 * @param target The target.
 * @param heldPermits The number of requests that may run at once under the permits that the instance holds.
 * @param onlineUse The number of running online requests.
 * @param batchUse The number of running batch requests.
 * @param onlineWanted The number of waiting online requests.
 * @param batchWanted The number of waiting batch requests.
 * @param coldSigns The signs that the target is cold.
 */
public record PermitReport(
        TargetId target,
        int heldPermits,
        int onlineUse,
        int batchUse,
        int onlineWanted,
        int batchWanted,
        ColdSigns coldSigns) {

    /** Creates the report that stands for an instance before its first report. */
    static PermitReport empty() {
        return new PermitReport(TargetId.of(""), 0, 0, 0, 0, 0, ColdSigns.NONE);
    }

    /**
     * Returns the number of running requests, online and batch.
     *
     * @return The number of running requests.
     */
    public int use() {
        return onlineUse + batchUse;
    }

    /**
     * Signs that a target restarted or turned cold, observed by an instance since its last report.
     *
     * @param mark The last start mark that it observed, or empty text.
     * @param warmMillis The time since the start of the target as a steward reported it, in milliseconds, or -1 if none
     *     was reported for this start mark.
     * @param resets The number of connections that the target reset.
     * @param firstTokens The number of first tokens received.
     * @param firstTokenMillis The sum of the times to these first tokens, in milliseconds.
     */
    public record ColdSigns(String mark, long warmMillis, int resets, int firstTokens, long firstTokenMillis) {

        /** The value for an instance that observed nothing. */
        public static final ColdSigns NONE = new ColdSigns("", -1, 0, 0, 0);
    }
}
