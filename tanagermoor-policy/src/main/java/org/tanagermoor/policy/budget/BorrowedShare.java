package org.tanagermoor.policy.budget;

/** A share: an amount of a budget that a steward lent to this instance for a limited time. Not thread-safe. */
final class BorrowedShare {

    /** The number of the message that asked for the share. */
    private final long id;

    private final double amount;

    /** The monotonic time in nanoseconds at which the share was received. */
    private final long receivedAt;

    /** The monotonic time in nanoseconds from which the share must not be spent. */
    private final long expiry;

    private double spent;

    /** The amount that was reported to the steward as spent. */
    private double reported;

    /**
     * Creates a share of which nothing is spent.
     *
     * @param id The number of the message that asked for the share.
     * @param receivedAt The monotonic time in nanoseconds at which the share was received.
     * @param expiry The monotonic time in nanoseconds from which the share must not be spent.
     */
    BorrowedShare(long id, double amount, long receivedAt, long expiry) {
        this.id = id;
        this.amount = amount;
        this.receivedAt = receivedAt;
        this.expiry = expiry;
    }

    /**
     * Returns the amount that can be spent, which is 0 once the share has expired.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    double remaining(long now) {
        return expired(now) ? 0 : amount - spent;
    }

    boolean expired(long now) {
        return now - expiry >= 0;
    }

    /**
     * Spends up to an amount.
     *
     * @param maximum The maximum amount to spend.
     * @param now The current monotonic time in nanoseconds.
     * @return The amount that was spent.
     */
    double spend(double maximum, long now) {
        double spendable = Math.min(maximum, remaining(now));
        spent += spendable;
        return spendable;
    }

    /** Returns whether more was spent than reported. */
    boolean hasUnreported() {
        return spent > reported;
    }

    /**
     * Returns the time in nanoseconds since the share was received.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    long age(long now) {
        return now - receivedAt;
    }

    /**
     * Returns a report of the spent amount.
     *
     * @param closed Whether the rest is returned; if so, the share must not be spent afterwards.
     */
    LoanRequest.Report report(boolean closed) {
        reported = spent;
        return new LoanRequest.Report(id, spent, closed);
    }

    boolean fullySpent() {
        return amount - spent <= 0;
    }
}
