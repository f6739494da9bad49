package org.tanagermoor.standin.platform;

import java.util.concurrent.TimeUnit;

/** A token bucket that holds the calls of one second. Safe for use by several threads. */
final class RateLimit {

    /** The rate that stands for no limit. */
    static final long UNLIMITED = 0;

    /** The nanoseconds of a second. */
    private static final double SECOND = TimeUnit.SECONDS.toNanos(1);

    /** The calls allowed in a second, or {@link #UNLIMITED}. */
    private final double perSecond;

    /** The calls that are allowed at {@link #updated}. Guarded by this object. */
    private double level;

    /** The monotonic time of the level in nanoseconds. Guarded by this object. */
    private long updated;

    /**
     * Creates a full bucket.
     *
     * @param perSecond The calls allowed in a second, or {@link #UNLIMITED}.
     * @param now The present monotonic time in nanoseconds.
     */
    RateLimit(long perSecond, long now) {
        this.perSecond = perSecond;
        level = perSecond;
        updated = now;
    }

    /**
     * Asks for a call.
     *
     * @param now The present monotonic time in nanoseconds.
     * @return Whether the call is allowed; it is then counted.
     */
    synchronized boolean acquire(long now) {
        if (perSecond == UNLIMITED) {
            return true;
        }
        level = Math.min(perSecond, level + perSecond * (now - updated) / SECOND);
        updated = now;
        if (level < 1) {
            return false;
        }
        level--;
        return true;
    }
}
