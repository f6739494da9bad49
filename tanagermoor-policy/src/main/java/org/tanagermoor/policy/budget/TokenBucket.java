package org.tanagermoor.policy.budget;

/** A token bucket whose ceiling may lie below its burst. Not safe for use by several threads. */
public final class TokenBucket {

    /** The tolerance for sums of fractions. */
    private static final double TOLERANCE = 1e-9;

    private RateLimit limit;

    private double level;

    /** The monotonic time of the level in nanoseconds. */
    private long at;

    /**
     * Creates a bucket.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    private TokenBucket(RateLimit limit, double level, long now) {
        this.limit = limit;
        this.level = level;
        at = now;
    }

    /**
     * Returns an empty bucket.
     *
     * @param now The current monotonic time in nanoseconds.
     * @return An empty bucket.
     */
    public static TokenBucket empty(RateLimit limit, long now) {
        return new TokenBucket(limit, 0, now);
    }

    /**
     * Changes the limit. What accrued until now accrued under the former one.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    public void limit(RateLimit value, long now) {
        refill(limit.burst(), now);
        limit = value;
        level = Math.min(level, limit.burst());
    }

    /**
     * Adds what accrued since the last time.
     *
     * @param ceiling The level that must not be exceeded.
     * @param now The current monotonic time in nanoseconds; an earlier one than before adds nothing.
     * @return The level.
     */
    public double refill(double ceiling, long now) {
        level = Math.min(ceiling, level + limit.accrued(now - at));
        at = Math.max(at, now);
        return level;
    }

    /**
     * Takes an amount if the level allows it.
     *
     * @param now The current monotonic time in nanoseconds.
     * @return Whether it was taken.
     */
    public boolean take(double amount, long now) {
        if (refill(limit.burst(), now) + TOLERANCE < amount) {
            return false;
        }
        level -= amount;
        return true;
    }

    /** Adds an amount, which may be negative. */
    public void add(double amount) {
        level += amount;
    }

    /** Returns the limit. */
    public RateLimit limit() {
        return limit;
    }
}
