package org.tanagermoor.gateway.dispatch;

import java.util.concurrent.TimeUnit;

/**
 * The recent outcomes of requests to a target. Older outcomes lose weight, so that a target that recovers is used
 * again. Detects targets that fail a fraction of their requests while they report themselves as healthy. Not
 * thread-safe.
 */
final class TargetRecord {

    /** The time in which an outcome loses half of its weight, in nanoseconds: tens of requests of a busy target. */
    private static final double HALF_LIFE_NANOS = TimeUnit.SECONDS.toNanos(4);

    /**
     * The number of served requests that every target is credited with, so that a single failure has little influence.
     */
    private static final double PRIOR = 4;

    /** The fraction of failures above which a target is suspected: well above that of a healthy target. */
    private static final double SUSPECT_FRACTION = 0.25;

    /** The decayed number of requests that were served. */
    private double served;

    /** The decayed number of requests that failed. */
    private double failed;

    /** The monotonic time in nanoseconds at which the numbers were last updated. */
    private long updatedAt;

    /** Creates a record without outcomes. */
    TargetRecord(long now) {
        updatedAt = now;
    }

    /**
     * Records how a request ended.
     *
     * @param success Whether it was served.
     * @param now The current monotonic time in nanoseconds.
     */
    void recordOutcome(boolean success, long now) {
        double decay = decay(now);
        served = served * decay + (success ? 1 : 0);
        failed = failed * decay + (success ? 0 : 1);
        updatedAt = now;
    }

    /**
     * Returns whether the target fails so many requests that others are preferable.
     *
     * @param now The current monotonic time in nanoseconds.
     * @return Whether it is suspected.
     */
    boolean suspected(long now) {
        double decay = decay(now);
        return failed * decay / (PRIOR + (served + failed) * decay) > SUSPECT_FRACTION;
    }

    /** Returns the factor by which the numbers have decayed since the last update. */
    private double decay(long now) {
        return Math.pow(0.5, Math.max(0, now - updatedAt) / HALF_LIFE_NANOS);
    }
}
