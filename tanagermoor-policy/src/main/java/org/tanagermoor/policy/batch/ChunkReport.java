package org.tanagermoor.policy.batch;

import io.vavr.control.Option;

/**
 * A worker's report on a chunk. Items of the chunk that the report does not name become pending again.
 *
 * @param lease The identity of the lease.
 * @param completed The items with an outcome, if there are any.
 * @param lost The items that were running when a target was lost.
 */
public record ChunkReport(long lease, Option<Progress.Completed> completed, ItemSet lost) {

    /**
     * Returns a report on a chunk.
     *
     * @param lease The identity of the lease.
     * @param completed The items with an outcome, if there are any.
     * @param lost The items that were running when a target was lost.
     */
    public static ChunkReport of(long lease, Option<Progress.Completed> completed, ItemSet lost) {
        return new ChunkReport(lease, completed, lost);
    }

    /** Returns the items with an outcome, or the empty set if there are none. */
    public ItemSet done() {
        return completed.map(Progress.Completed::items).getOrElse(ItemSet.EMPTY);
    }
}
