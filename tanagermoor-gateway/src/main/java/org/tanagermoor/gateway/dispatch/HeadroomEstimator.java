package org.tanagermoor.gateway.dispatch;

import java.util.concurrent.TimeUnit;

/**
 * Estimates the headroom: the fraction of the places that online requests have recently left free for items of jobs. An
 * item that is recalled at each burst takes longer than its work by the inverse of this fraction. Not thread-safe.
 */
final class HeadroomEstimator {

    /** The fraction before the first observation: bursts occupy the places for less than half of the time. */
    private static final double INITIAL_FRACTION = 0.7;

    /** The weight of the initial fraction: that of three seconds of observations. */
    private static final double INITIAL_WEIGHT = 0.13;

    /** The time in which an observation loses half of its weight, in nanoseconds: a few bursts of online requests. */
    private static final double HALF_LIFE_NANOS = TimeUnit.SECONDS.toNanos(15);

    /** The lower bound of the estimate, so that a burst does not make every item look unable to end in time. */
    private static final double MIN_FRACTION = 0.2;

    /** The weighted sum of the observed fractions. */
    private double sum;

    /** The sum of the weights, at most 1. */
    private double weights;

    /** The most recently observed fraction. */
    private double lastValue;

    /** The monotonic time of the last observation in nanoseconds; 0 before the first. */
    private long observedAt;

    /** Creates an estimator that starts at a fraction with a weight. */
    private HeadroomEstimator(double fraction, double weight) {
        sum = fraction * weight;
        weights = weight;
    }

    /** Returns an estimator without observations. */
    static HeadroomEstimator of() {
        return new HeadroomEstimator(INITIAL_FRACTION, INITIAL_WEIGHT);
    }

    /** Returns an estimator that resumes from the estimate of another one. */
    static HeadroomEstimator after(double fraction) {
        return new HeadroomEstimator(fraction, 1);
    }

    /**
     * Records the fraction that is free from now on.
     *
     * @param value The fraction, from 0 to 1.
     * @param now The current monotonic time in nanoseconds.
     */
    void observe(double value, long now) {
        if (observedAt != 0) {
            double decay = Math.pow(0.5, Math.max(0, now - observedAt) / HALF_LIFE_NANOS);
            sum = sum * decay + lastValue * (1 - decay);
            weights = weights * decay + 1 - decay;
        }
        lastValue = value;
        observedAt = now;
    }

    /**
     * Returns the estimated fraction of the places that online requests leave free, from {@link #MIN_FRACTION} to 1.
     */
    double fraction() {
        return Math.max(MIN_FRACTION, sum / weights);
    }
}
