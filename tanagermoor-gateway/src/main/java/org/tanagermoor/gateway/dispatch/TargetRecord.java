package org.tanagermoor.gateway.dispatch;

import java.util.concurrent.TimeUnit;

/**
 * How a target has treated requests lately. Old evidence loses its weight, so that a target that recovers is used
 * again. Answers targets that fail a part of their requests while they call themselves healthy. Not safe for use by
 * several threads.
 */
final class TargetRecord {

    /** The time in which evidence loses half of its weight, in nanoseconds: some tens of requests of a busy target. */
    private static final double HALF_LIFE_NANOS = TimeUnit.SECONDS.toNanos(4);

    /** The requests that a target without evidence counts as having served, so that one failure says little. */
    private static final double PRIOR = 4;

    /** The part of failures from which a target is suspected: well above what a healthy target loses. */
    private static final double SUSPECT_PART = 0.25;

    /** The weight of the requests that were served. */
    private double served;

    /** The weight of the requests that failed. */
    private double failed;

    /** The monotonic time in nanoseconds to which the weights belong. */
    private long at;

    /** Creates a record without evidence. */
    TargetRecord(long now) {
        at = now;
    }

    /**
     * Takes in how a request ended.
     *
     * @param good Whether it was served.
     * @param now The present monotonic time in nanoseconds.
     */
    void note(boolean good, long now) {
        double kept = kept(now);
        served = served * kept + (good ? 1 : 0);
        failed = failed * kept + (good ? 0 : 1);
        at = now;
    }

    /**
     * Returns whether the target fails so many requests that others are better.
     *
     * @param now The present monotonic time in nanoseconds.
     * @return Whether it is suspected.
     */
    boolean suspected(long now) {
        double kept = kept(now);
        return failed * kept / (PRIOR + (served + failed) * kept) > SUSPECT_PART;
    }

    /** Returns the part of its weight that evidence has kept. */
    private double kept(long now) {
        return Math.pow(0.5, Math.max(0, now - at) / HALF_LIFE_NANOS);
    }
}
