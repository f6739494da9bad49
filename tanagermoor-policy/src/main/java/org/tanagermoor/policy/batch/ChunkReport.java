package org.tanagermoor.policy.batch;

import io.vavr.control.Option;

/**
 * What a worker reports of a chunk. Items that it does not name go back.
 *
 * @param lease The identity of the lease.
 * @param completed The items with an outcome, if there are any.
 * @param lost The items under which a target was lost.
 */
public record ChunkReport(long lease, Option<Progress.Completed> completed, ItemSet lost) {

    /**
     * Returns a report.
     *
     * @param lease The identity of the lease.
     * @param completed The items with an outcome, if there are any.
     * @param lost The items under which a target was lost.
     */
    public static ChunkReport of(long lease, Option<Progress.Completed> completed, ItemSet lost) {
        return new ChunkReport(lease, completed, lost);
    }

    /** Returns the items with an outcome. */
    public ItemSet done() {
        return completed.map(Progress.Completed::items).getOrElse(ItemSet.EMPTY);
    }
}
