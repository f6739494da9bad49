package org.tanagermoor.policy.budget;

/**
 * The end of a request's wait for a share.
 *
 * @param <W> The type that identifies a waiting request.
 * @param waiter The request that waited.
 * @param result Whether the request got its amount.
 */
public record ShareOutcome<W>(ShareWaiter<W> waiter, Result result) {

    /** The results of a wait. */
    public enum Result {

        /** The amount was taken from the budget. */
        TAKEN,

        /** The budget is used up. */
        USED_UP,

        /** No steward lent a share in time. */
        NO_SHARE
    }
}
