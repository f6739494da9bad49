package org.tanagermoor.policy.budget;

/** A token bucket whose level can be capped below its burst. Not thread-safe. */
public final class TokenBucket {

    /** The tolerance for rounding errors in sums of fractions. */
    private static final double TOLERANCE = 1e-9;

    private RateLimit limit;

    /** The amount that was available at {@link #updatedAt}; it can be negative. */
    private double level;

    /** The monotonic time in nanoseconds at which the level was last updated. */
    private long updatedAt;

    private TokenBucket(RateLimit limit, double level, long now) {
        this.limit = limit;
        this.level = level;
        updatedAt = now;
    }

    /**
     * Returns an empty bucket.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    public static TokenBucket empty(RateLimit limit, long now) {
        return new TokenBucket(limit, 0, now);
    }

    /**
     * Changes the limit. The time until now is refilled under the previous limit.
     *
     * @param value The new limit.
     * @param now The current monotonic time in nanoseconds.
     */
    public void limit(RateLimit value, long now) {
        refill(limit.burst(), now);
        limit = value;
        level = Math.min(level, limit.burst());
    }

    /**
     * Adds the amount that accrued since the last update.
     *
     * @param ceiling The level that must not be exceeded.
     * @param now The current monotonic time in nanoseconds; a time before the last update adds nothing.
     * @return The new level.
     */
    public double refill(double ceiling, long now) {
        level = Math.min(ceiling, level + limit.accrued(now - updatedAt));
        updatedAt = Math.max(updatedAt, now);
        return level;
    }

    /**
     * Takes an amount if the level is sufficient.
     *
     * @param now The current monotonic time in nanoseconds.
     * @return Whether the amount was taken.
     */
    public boolean take(double amount, long now) {
        if (refill(limit.burst(), now) + TOLERANCE < amount) {
            return false;
        }
        level -= amount;
        return true;
    }

    /** Adds an amount, which may be negative, without regard to the limit. */
    public void add(double amount) {
        level += amount;
    }

    /** Returns the limit that bounds further refills. */
    public RateLimit limit() {
        return limit;
    }
}
