package org.tanagermoor.policy.rollout;

import java.util.HashMap;
import java.util.Map;

/**
 * The runs of one route at old and new targets. Runs of a new target are compared with those of old targets in the same
 * interval, so that a time that is bad for all targets does not speak against the new version. Not thread-safe.
 */
final class RouteEvidence {

    /** The factor above the median of the old version from which a run is slow. */
    private static final double SLOW_FACTOR = 2.5;

    /**
     * The weight, in runs, of the rate that all routes and the earlier runs of this one suggest. A rate of few runs is
     * often far too low, and a bad answer then counts for too much: with 6 runs, 12 of 40 good versions were rolled
     * back on a day on which a tenth of all answers failed.
     */
    private static final double PRIOR_RUNS = 30;

    /** The lowest bad rate that is assumed of the old version: with less, two bad answers would condemn a version. */
    private static final double MIN_RATE = 0.02;

    /** The highest bad rate that is assumed of the old version, which leaves room for a worse one. */
    private static final double MAX_RATE = 0.98;

    /** What is left of the earlier runs after each interval: the earlier rate is that of some 10 s. */
    private static final double RETAINED = 0.95;

    /** The test on this route. */
    final SequentialTest test = new SequentialTest();

    private final LatencyWindow firstEvent = new LatencyWindow();

    private final LatencyWindow perEvent = new LatencyWindow();

    /** The runs and bad runs of this interval by new target. */
    private final Map<String, int[]> openNew = new HashMap<>();

    private int openOld;

    private int openOldBad;

    private double earlierRuns;

    private double earlierBad;

    /** The number of placed requests. */
    long placed;

    /** The number of those placed at new targets. */
    long placedNew;

    /** The part of the requests at new targets that this route should have. */
    double part = 1;

    /** The number of ended runs at old targets. */
    long oldEnded;

    /** The number of bad runs at old targets. */
    long oldBad;

    /** The number of ended runs at new targets. */
    long newEnded;

    /** The number of bad runs at new targets. */
    long newBad;

    /**
     * Adds a run, and returns whether it was bad.
     *
     * @param compared Whether a run of the old version counts for the comparison.
     */
    boolean add(RunReport report, boolean compared, long now) {
        boolean bad = report.failed() || slow(report, now);
        if (report.newVersion()) {
            int[] counts = openNew.computeIfAbsent(report.target(), target -> new int[2]);
            counts[0]++;
            counts[1] += bad ? 1 : 0;
            newEnded++;
            newBad += bad ? 1 : 0;
            return bad;
        }
        oldEnded++;
        oldBad += bad ? 1 : 0;
        if (!compared) {
            return bad;
        }
        openOld++;
        openOldBad += bad ? 1 : 0;
        if (!report.failed() && report.firstEventNanos() > 0) {
            firstEvent.add(report.firstEventNanos(), now);
        }
        if (!report.failed() && report.nanosPerEvent() > 0) {
            perEvent.add(report.nanosPerEvent(), now);
        }
        return bad;
    }

    private boolean slow(RunReport report, long now) {
        return above(report.firstEventNanos(), firstEvent.median(now))
                || above(report.nanosPerEvent(), perEvent.median(now));
    }

    private static boolean above(long nanos, double median) {
        return nanos > 0 && median > 0 && nanos > SLOW_FACTOR * median;
    }

    /** Returns the number of runs at old targets in this interval. */
    int openOld() {
        return openOld;
    }

    /** Returns the number of bad runs at old targets in this interval. */
    int openOldBad() {
        return openOldBad;
    }

    /** Returns the runs and bad runs at new targets in this interval, by target. */
    Map<String, int[]> openNew() {
        return openNew;
    }

    /**
     * Returns the bad rate of the old version in this interval.
     *
     * @param overall The bad rate over all routes in this interval.
     * @param earlierOverall The bad rate over all routes before.
     */
    double oldRate(double overall, double earlierOverall) {
        double difference = (earlierBad - earlierRuns * earlierOverall) / (earlierRuns + PRIOR_RUNS);
        double suggested = Math.max(0, Math.min(1, overall + difference));
        double rate = (openOldBad + PRIOR_RUNS * suggested) / (openOld + PRIOR_RUNS);
        return Math.max(MIN_RATE, Math.min(MAX_RATE, rate));
    }

    /** Ends the interval. */
    void close() {
        if (openOld > 0) {
            earlierRuns = earlierRuns * RETAINED + openOld;
            earlierBad = earlierBad * RETAINED + openOldBad;
        }
        openOld = 0;
        openOldBad = 0;
        openNew.clear();
        test.forgetExcess();
    }
}
