package org.tanagermoor.policy.budget;

/**
 * A request that is waiting for a share.
 *
 * @param <W> The type that identifies a waiting request.
 * @param waiter Identifies the request; it is returned with the outcome.
 * @param amount The amount that the request needs.
 * @param waitingSince The monotonic time in nanoseconds at which the wait started.
 * @param deadline The latest monotonic time in nanoseconds at which an outcome is of use.
 */
public record ShareWaiter<W>(W waiter, double amount, long waitingSince, long deadline) {}
