package org.tanagermoor.policy.rollout;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * A sequential probability ratio test of the bad rate of the new version against that of the old one over the same
 * time, with the evidence kept by target. Designed for a version that turns bad at any time, a single faulty target
 * among sound ones, and tests that run on for minutes. Not thread-safe.
 */
final class SequentialTest {

    /** The excess of the bad rate at which a version is bad. */
    static final double EXCESS = 0.13;

    /** The error rate of either verdict. */
    static final double ERROR_RATE = 0.01;

    /** The log-likelihood ratio of either verdict for the first runs. */
    static final double THRESHOLD = Math.log((1 - ERROR_RATE) / ERROR_RATE);

    /**
     * The number of runs per which the threshold of a bad verdict rises: a test that goes on after a good verdict would
     * else reach it by chance in some minutes at 1,000 requests per second.
     */
    private static final double RUNS_PER_RISE = 100;

    /** The highest bad rate that is assumed of a bad version, for days on which nearly all answers are bad. */
    private static final double MAX_NEW_RATE = 0.99;

    /** The log-likelihood ratio from which one target counts as faulty: two bad answers of few. */
    private static final double FAULTY_TARGET = 3.5;

    /** The maximum number of targets whose evidence is kept apart; that of others is kept together. */
    private static final int MAX_TARGETS = 512;

    /** The evidence for the version beyond a good verdict that is kept. */
    private static final double KEPT_EXCESS = 0.5;

    private static final String OTHER_TARGETS = "*";

    /** The log-likelihood ratio by target. */
    private final Map<String, Double> byTarget = new HashMap<>();

    private long runs;

    /** Returns the log-likelihood ratio of some runs. */
    static double logLikelihood(int count, int bad, double oldRate) {
        double newRate = Math.min(MAX_NEW_RATE, oldRate + EXCESS);
        return bad * Math.log(newRate / oldRate) + (count - bad) * Math.log((1 - newRate) / (1 - oldRate));
    }

    /** Returns the mean decrease of the log-likelihood ratio by a run of a version that is as good as the old one. */
    static double meanDecrease(double oldRate) {
        double newRate = Math.min(MAX_NEW_RATE, oldRate + EXCESS);
        return -oldRate * Math.log(newRate / oldRate) - (1 - oldRate) * Math.log((1 - newRate) / (1 - oldRate));
    }

    /** Adds runs at a target. */
    void add(String target, int count, double logLikelihood) {
        String key = byTarget.size() < MAX_TARGETS || byTarget.containsKey(target) ? target : OTHER_TARGETS;
        byTarget.merge(key, logLikelihood, Double::sum);
        runs += count;
    }

    /** Returns the log-likelihood ratio at which the verdict is bad, with a number of tests that run side by side. */
    double badThreshold(int tests) {
        return THRESHOLD + Math.log(1 + runs / RUNS_PER_RISE) + Math.log(Math.max(1, tests));
    }

    /**
     * Returns the log-likelihood ratio in which one target counts for at most half of what a bad verdict needs.
     *
     * @param open The evidence of the time that has not been added yet, by target.
     * @param limited Whether the evidence of one target is limited.
     * @param tests The number of tests that run side by side.
     */
    double against(Map<String, Double> open, boolean limited, int tests) {
        double limit = limited ? badThreshold(tests) / 2 : Double.MAX_VALUE;
        double sum = 0;
        for (Map.Entry<String, Double> entry : byTarget.entrySet()) {
            sum += Math.min(limit, entry.getValue() + open.getOrDefault(entry.getKey(), 0.0));
        }
        for (Map.Entry<String, Double> entry : open.entrySet()) {
            sum += byTarget.containsKey(entry.getKey()) ? 0 : Math.min(limit, entry.getValue());
        }
        return sum;
    }

    /** Returns the log-likelihood ratio without the evidence of a target. */
    double without(String target) {
        double sum = 0;
        for (Map.Entry<String, Double> entry : byTarget.entrySet()) {
            sum += entry.getKey().equals(target) ? 0 : entry.getValue();
        }
        return sum;
    }

    /** Returns the target with the most evidence against it, if it suffices to call this target faulty. */
    Optional<String> faultyTarget() {
        return byTarget.size() < 2
                ? Optional.empty()
                : byTarget.entrySet().stream()
                        .filter(entry -> entry.getValue() >= FAULTY_TARGET)
                        .max(Map.Entry.comparingByValue())
                        .map(Map.Entry::getKey);
    }

    /**
     * Lowers the evidence for the version to little more than a good verdict needs, so that a later fault shows soon.
     */
    void forgetExcess() {
        double against = 0;
        double favour = 0;
        for (double value : byTarget.values()) {
            against += Math.max(0, Math.min(value, THRESHOLD / 2));
            favour -= Math.min(0, value);
        }
        double kept = against + THRESHOLD + KEPT_EXCESS;
        if (favour > kept) {
            double factor = kept / favour;
            byTarget.replaceAll((target, value) -> value < 0 ? value * factor : Math.min(value, 2 * THRESHOLD));
        }
    }
}
