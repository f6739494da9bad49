package org.tanagermoor.policy.budget;

/**
 * A limit of a rate: over any interval of t seconds at most {@code burst + perSecond * t}.
 *
 * @param perSecond The amount per second, at least 0.
 * @param burst The amount that may come at once, at least 0.
 */
public record RateLimit(double perSecond, double burst) {

    /** The limit that lets nothing pass. */
    public static final RateLimit NOTHING = new RateLimit(0, 0);

    /** The nanoseconds of a second. */
    private static final double NANOS_PER_SECOND = 1e9;

    /**
     * Returns a limit.
     *
     * @param perSecond The amount per second.
     * @param burst The amount that may come at once.
     */
    public static RateLimit of(double perSecond, double burst) {
        return new RateLimit(perSecond, burst);
    }

    /**
     * Returns a part of this limit.
     *
     * @return A limit whose rate and burst are that part of those of this one.
     */
    public RateLimit scaled(double part) {
        return new RateLimit(perSecond * part, burst * part);
    }

    /**
     * Returns what accrues in a time, before the burst bounds it.
     *
     * @param nanos The time in nanoseconds; a negative one counts as none.
     * @return The amount.
     */
    public double accrued(long nanos) {
        return perSecond * Math.max(0, nanos) / NANOS_PER_SECOND;
    }

    /**
     * Returns the time in which an amount accrues.
     *
     * @return The time in nanoseconds, or {@link Long#MAX_VALUE} if it never accrues.
     */
    public long nanosFor(double amount) {
        return perSecond > 0 ? (long) Math.ceil(amount / perSecond * NANOS_PER_SECOND) : Long.MAX_VALUE;
    }
}
