package org.tanagermoor.gateway.dispatch;

import java.util.concurrent.TimeUnit;

/**
 * Which part of the places online requests have lately left to items of jobs. An item that is recalled at each burst
 * needs that much longer than its work takes. Not safe for use by several threads.
 */
final class LeftPlaces {

    /** The time in which an observation loses half of its weight, in nanoseconds: a few bursts of online requests. */
    private static final double HALF_LIFE_NANOS = TimeUnit.SECONDS.toNanos(15);

    /** The least part, so that a burst does not make every item hopeless. */
    private static final double PART_LEAST = 0.2;

    /** The sum of the observed parts by their weights. */
    private double sum;

    /** The sum of the weights. */
    private double weights;

    /** The part at the last look. */
    private double last = 1;

    /** The monotonic time of the last look in nanoseconds; 0 before the first. */
    private long at;

    /** Creates an observer that has seen no online request. */
    LeftPlaces() {}

    /**
     * Takes in the part that is left from now on.
     *
     * @param value The part, from 0 to 1.
     * @param now The present monotonic time in nanoseconds.
     */
    void look(double value, long now) {
        if (at != 0) {
            double kept = Math.pow(0.5, Math.max(0, now - at) / HALF_LIFE_NANOS);
            sum = sum * kept + last * (1 - kept);
            weights = weights * kept + 1 - kept;
        }
        last = value;
        at = now;
    }

    /** Returns the part of the places that online requests have lately left, from a least part to 1. */
    double part() {
        return weights == 0 ? 1 : Math.max(PART_LEAST, sum / weights);
    }
}
