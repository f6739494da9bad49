package org.tanagermoor.gateway.dispatch;

import java.util.concurrent.TimeUnit;

/**
 * Which part of the places online requests have lately left to items of jobs. An item that is recalled at each burst
 * needs that much longer than its work takes. Not safe for use by several threads.
 */
final class LeftPlaces {

    /** The part that is expected before anything was seen: bursts take the places for less than half of the time. */
    private static final double PART_FIRST = 0.7;

    /** The weight of that part: that of three seconds of looks. */
    private static final double WEIGHT_FIRST = 0.13;

    /** The time in which an observation loses half of its weight, in nanoseconds: a few bursts of online requests. */
    private static final double HALF_LIFE_NANOS = TimeUnit.SECONDS.toNanos(15);

    /** The least part, so that a burst does not make every item hopeless. */
    private static final double PART_LEAST = 0.2;

    /** The sum of the observed parts by their weights. */
    private double sum;

    /** The sum of the weights, 1 at most. */
    private double weights;

    /** The part at the last look. */
    private double last;

    /** The monotonic time of the last look in nanoseconds; 0 before the first. */
    private long at;

    /** Creates an observer that expects a part with a weight. */
    private LeftPlaces(double part, double weight) {
        sum = part * weight;
        weights = weight;
    }

    /** Returns an observer that has seen nothing. */
    static LeftPlaces of() {
        return new LeftPlaces(PART_FIRST, WEIGHT_FIRST);
    }

    /** Returns an observer that goes on from what another one has seen. */
    static LeftPlaces after(double part) {
        return new LeftPlaces(part, 1);
    }

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
        return Math.max(PART_LEAST, sum / weights);
    }
}
