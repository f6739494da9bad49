package org.tanagermoor.policy.budget;

/** A share that an instance got. Not safe for use by several threads. */
final class ShareLot {

    /** The number of the message that asked for it. */
    private final long id;

    private final double amount;

    /** The monotonic time at which it came, in nanoseconds. */
    private final long gotAt;

    /** The monotonic time from which it must not be spent, in nanoseconds. */
    private final long expiry;

    /** The amount that was spent. */
    private double spent;

    /** The amount that was reported as spent. */
    private double reported;

    /**
     * Creates a share.
     *
     * @param id The number of the message that asked for it.
     * @param gotAt The monotonic time at which it came, in nanoseconds.
     * @param expiry The monotonic time from which it must not be spent, in nanoseconds.
     */
    ShareLot(long id, double amount, long gotAt, long expiry) {
        this.id = id;
        this.amount = amount;
        this.gotAt = gotAt;
        this.expiry = expiry;
    }

    /**
     * Returns what can be spent.
     *
     * @param now The current monotonic time in nanoseconds.
     * @return The amount, 0 once it has expired.
     */
    double left(long now) {
        return expired(now) ? 0 : amount - spent;
    }

    /**
     * Returns whether this share has expired.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    boolean expired(long now) {
        return now - expiry >= 0;
    }

    /**
     * Spends up to an amount.
     *
     * @param most The amount.
     * @param now The current monotonic time in nanoseconds.
     * @return The amount that was spent.
     */
    double spend(double most, long now) {
        double part = Math.min(most, left(now));
        spent += part;
        return part;
    }

    /**
     * Returns whether there is something to report.
     *
     * @return Whether more was spent than reported.
     */
    boolean unreported() {
        return spent > reported;
    }

    /**
     * Returns the time since this share came.
     *
     * @param now The current monotonic time in nanoseconds.
     * @return The time in nanoseconds.
     */
    long age(long now) {
        return now - gotAt;
    }

    /**
     * Reports what was spent.
     *
     * @param closed Whether the rest is given back; it must not be spent afterwards.
     */
    LoanRequest.Report report(boolean closed) {
        reported = spent;
        return new LoanRequest.Report(id, spent, closed);
    }

    /**
     * Returns whether nothing is left.
     *
     * @return Whether all of it was spent.
     */
    boolean used() {
        return amount - spent <= 0;
    }
}
