package org.tanagermoor.policy.budget;

/**
 * A request that waits for a share.
 *
 * @param <W> The type of what is to be told of the outcome.
 * @param waiter What is to be told of the outcome.
 * @param amount The amount.
 * @param waitingSince The monotonic time from which it waits, in nanoseconds.
 * @param deadline The latest monotonic time in nanoseconds at which an outcome is of use.
 */
public record ShareWaiter<W>(W waiter, double amount, long waitingSince, long deadline) {}
