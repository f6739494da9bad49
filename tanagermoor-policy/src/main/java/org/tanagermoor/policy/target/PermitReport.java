package org.tanagermoor.policy.target;

import org.tanagermoor.policy.fleet.TargetId;

/**
 * What an instance reports to a target's steward, and wants from it.
 *
 * @param target The target.
 * @param heldPermits The requests that may run at once under the permits held now.
 * @param onlineUse The online requests that run.
 * @param batchUse The batch requests that run.
 * @param onlineWanted The online requests that wait.
 * @param batchWanted The batch requests that wait.
 * @param coldSigns The signs of cold.
 */
public record PermitReport(
        TargetId target,
        int heldPermits,
        int onlineUse,
        int batchUse,
        int onlineWanted,
        int batchWanted,
        ColdSigns coldSigns) {

    /**
     * Returns the report of an instance that reported nothing.
     *
     * @return The report.
     */
    static PermitReport none() {
        return new PermitReport(TargetId.of(""), 0, 0, 0, 0, 0, ColdSigns.NONE);
    }

    /**
     * Returns the requests that run.
     *
     * @return The requests that run.
     */
    public int use() {
        return onlineUse + batchUse;
    }

    /**
     * Signs of cold that an instance saw since its last report.
     *
     * @param mark The last start mark that it saw, or empty text.
     * @param warmMillis The time since the start of the target as a steward told it, in milliseconds, or -1 where none
     *     did for this start mark.
     * @param resets The connections that the target reset.
     * @param firstTokens The first tokens that came.
     * @param firstTokenMillis The sum of the times to these first tokens, in milliseconds.
     */
    public record ColdSigns(String mark, long warmMillis, int resets, int firstTokens, long firstTokenMillis) {

        /** No signs. */
        public static final ColdSigns NONE = new ColdSigns("", -1, 0, 0, 0);
    }
}
