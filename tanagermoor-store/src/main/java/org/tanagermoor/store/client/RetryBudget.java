package org.tanagermoor.store.client;

/**
 * Limits the number of second attempts to a fraction of the first attempts, plus a bounded reserve, so that a slow
 * platform does not get twice the load. Thread-safe.
 */
final class RetryBudget {

    /** The number of first attempts that pay for one second attempt. */
    private static final int CALLS_PER_RETRY = 10;

    /** The maximum balance, in first attempts. */
    private final int capacity;

    /** The first attempts that have not yet paid for a second one. Guarded by this object. */
    private int balance;

    /**
     * Creates a full budget.
     *
     * @param capacity The maximum number of second attempts that can be saved up.
     */
    RetryBudget(int capacity) {
        this.capacity = capacity * CALLS_PER_RETRY;
        balance = this.capacity;
    }

    /** Adds a first attempt to the balance. */
    synchronized void deposit() {
        balance = Math.min(capacity, balance + 1);
    }

    /** Pays for a second attempt and returns {@code true}, or returns {@code false} if the balance is too low. */
    synchronized boolean tryWithdraw() {
        if (balance < CALLS_PER_RETRY) {
            return false;
        }
        balance -= CALLS_PER_RETRY;
        return true;
    }
}
