package org.tanagermoor.policy.budget;

/**
 * A limit of a rate: over any interval of t seconds, at most {@code burst + perSecond * t} may be used.
 *
 * @param perSecond The amount per second, at least 0.
 * @param burst The amount that may be used at once, at least 0.
 */
public record RateLimit(double perSecond, double burst) {

    /** The limit that allows nothing. */
    public static final RateLimit NOTHING = new RateLimit(0, 0);

    private static final double NANOS_PER_SECOND = 1e9;

    /**
     * Returns a limit of a rate.
     *
     * @param perSecond The amount per second, at least 0.
     * @param burst The amount that may be used at once, at least 0.
     */
    public static RateLimit of(double perSecond, double burst) {
        return new RateLimit(perSecond, burst);
    }

    /**
     * Returns a limit with a fraction of this rate and burst.
     *
     * @param fraction The fraction, from 0 to 1.
     */
    public RateLimit scaled(double fraction) {
        return new RateLimit(perSecond * fraction, burst * fraction);
    }

    /**
     * Returns the amount that accrues in a time, without regard to the burst.
     *
     * @param nanos The time in nanoseconds; a negative time counts as 0.
     */
    public double accrued(long nanos) {
        return perSecond * Math.max(0, nanos) / NANOS_PER_SECOND;
    }

    /** Returns the time in nanoseconds in which an amount accrues, or {@link Long#MAX_VALUE} if it never does. */
    public long nanosFor(double amount) {
        return perSecond > 0 ? (long) Math.ceil(amount / perSecond * NANOS_PER_SECOND) : Long.MAX_VALUE;
    }
}
