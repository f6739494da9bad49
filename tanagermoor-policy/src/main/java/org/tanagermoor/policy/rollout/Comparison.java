package org.tanagermoor.policy.rollout;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.tanagermoor.policy.rollout.RolloutEvidence.Verdict;

/**
 * Compares the new version of a service with the old one, by route and in sum. Designed for routes of uneven rate, days
 * on which the targets of both versions fail or are slow, and faults of one route, one target or a later time. Not
 * thread-safe.
 */
final class Comparison {

    /** The maximum number of routes whose runs are counted apart; those of others are counted together. */
    static final int MAX_ROUTES = 64;

    /** The route under which the runs of routes beyond the maximum number are counted. */
    static final String OTHER_ROUTES = "*";

    /**
     * The time over which the rates of both versions are compared, in nanoseconds. A fault of all targets that begins
     * within it shows in both rates. In longer intervals, a burst of requests to the new version at the end
     * is compared with runs of the old one from before the fault.
     */
    private static final long INTERVAL_NANOS = Duration.ofMillis(250).toNanos();

    /** The number of runs of the old version up to which an interval goes on: the rate of fewer says little. */
    private static final int MIN_RUNS = 60;

    private static final long MAX_EXTENSION_NANOS = Duration.ofSeconds(1).toNanos();

    /** The bad rate that is assumed of the old version of which no run is known. */
    private static final double UNKNOWN_RATE = 0.05;

    /** The weight, in runs, of the earlier rate of all routes. */
    private static final double PRIOR_RUNS = 4;

    /** What is left of the earlier runs after each interval. */
    private static final double RETAINED = 0.95;

    /** The maximum ratio of the part of a route in the sample to its part of all requests. */
    private static final double MAX_OVERSAMPLING = 3;

    /** The part of the failures among the runs in progress that may have ended before the sound ones. */
    private static final double EARLY_FAILURES = 0.5;

    /** The number of runs beyond its part that a route may have, so that a rare route does not hold up the others. */
    private static final double SAMPLE_TOLERANCE = 2;

    /** By how much the expected evidence for a good version must exceed what is needed, for a test on a route. */
    private static final double OWN_TEST_MARGIN = 1.3;

    /**
     * The part of the evidence for a good verdict above which it stays good, so that one bad answer does not end it.
     */
    private static final double STAYS_GOOD = 0.5;

    private final Map<String, RouteEvidence> routes = new LinkedHashMap<>();

    private final SequentialTest sum = new SequentialTest();

    private long intervalEnd = Long.MIN_VALUE;

    private double earlierRuns;

    private double earlierBad;

    private boolean severalTargets;

    private boolean oldFrozen;

    /** Whether the verdict was good at the end of the last interval. */
    private boolean good;

    /** Whether the verdict was ever good. */
    private boolean wasGood;

    /** The part of the time for gathering evidence that has passed. */
    private double progress;

    /** Records whether there are two or more new targets. */
    void severalTargets(boolean several) {
        severalTargets = several;
    }

    /**
     * Records whether the old version gets no requests any more. Its last runs are then left out: those that fail end
     * sooner, so that the others would make its rate look lower than it was.
     */
    void oldFrozen(boolean frozen) {
        oldFrozen = frozen;
    }

    /** Returns whether the sample lacks requests of a route more than those of others. */
    boolean wants(String route, long placedNew) {
        RouteEvidence evidence = routes.get(key(route));
        return evidence == null || evidence.placedNew < evidence.part * (placedNew + 1) + SAMPLE_TOLERANCE;
    }

    /** Records a placed request. */
    void placed(String route, boolean newVersion) {
        RouteEvidence evidence = route(route);
        evidence.placed++;
        evidence.placedNew += newVersion ? 1 : 0;
    }

    /** Adds a run, and returns whether it was bad. */
    boolean add(RunReport report, long now) {
        advance(now);
        return route(report.route()).add(report, !oldFrozen, now);
    }

    private RouteEvidence route(String name) {
        return routes.computeIfAbsent(key(name), key -> new RouteEvidence());
    }

    private String key(String route) {
        return routes.containsKey(route) || routes.size() < MAX_ROUTES - 1 ? route : OTHER_ROUTES;
    }

    /**
     * Returns whether the verdict was good at the end of the last interval: the test is good in sum and on every route
     * that is not pooled.
     */
    boolean isGood() {
        return good;
    }

    /** Returns whether the verdict was good once. */
    boolean wasGood() {
        return wasGood;
    }

    /**
     * Adds the evidence of an interval that has passed to the tests.
     *
     * @param progress The part of the time for gathering evidence that has passed.
     */
    void advance(long now, double progress) {
        this.progress = progress;
        advance(now);
    }

    private void advance(long now) {
        if (intervalEnd == Long.MIN_VALUE) {
            intervalEnd = now + INTERVAL_NANOS;
        }
        if (now < intervalEnd || (now < intervalEnd + MAX_EXTENSION_NANOS && openOld() < MIN_RUNS)) {
            return;
        }
        double overall = overallRate();
        int runs = 0;
        int bad = 0;
        for (RouteEvidence route : routes.values()) {
            double rate = route.oldRate(overall, earlierRate());
            route.openNew().forEach((target, counts) -> {
                double logLikelihood = SequentialTest.logLikelihood(counts[0], counts[1], rate);
                route.test.add(target, counts[0], logLikelihood);
                sum.add(target, counts[0], logLikelihood);
            });
            runs += route.openOld();
            bad += route.openOldBad();
            route.close();
        }
        sum.forgetExcess();
        if (runs > 0) {
            earlierRuns = earlierRuns * RETAINED + runs;
            earlierBad = earlierBad * RETAINED + bad;
        }
        distribute();
        intervalEnd = now + INTERVAL_NANOS;
        double needed = good ? -SequentialTest.THRESHOLD * STAYS_GOOD : -SequentialTest.THRESHOLD;
        good = isAtMost(needed, needed, now);
        wasGood |= good;
    }

    private int openOld() {
        return routes.values().stream().mapToInt(RouteEvidence::openOld).sum();
    }

    /** Gives each route a part of the sample by the square root of its requests, so that rare ones are seen too. */
    private void distribute() {
        double roots = 0;
        long all = 0;
        for (RouteEvidence route : routes.values()) {
            roots += Math.sqrt((double) route.placed);
            all += route.placed;
        }
        for (RouteEvidence route : routes.values()) {
            double share = route.placed / (double) Math.max(1, all);
            route.part = Math.min(MAX_OVERSAMPLING * share, Math.sqrt((double) route.placed) / Math.max(1, roots));
        }
    }

    private double overallRate() {
        int runs = 0;
        int bad = 0;
        for (RouteEvidence route : routes.values()) {
            runs += route.openOld();
            bad += route.openOldBad();
        }
        return (bad + PRIOR_RUNS * earlierRate()) / (runs + PRIOR_RUNS);
    }

    private double earlierRate() {
        return earlierRuns > 0 ? earlierBad / earlierRuns : UNKNOWN_RATE;
    }

    /** Returns the log-likelihood ratio over all routes with that of the present interval. */
    double against(long now) {
        advance(now);
        double overall = overallRate();
        Map<String, Double> open = new HashMap<>();
        routes.values()
                .forEach(route ->
                        open(route, overall).forEach((target, value) -> open.merge(target, value, Double::sum)));
        return sum.against(open, severalTargets, 1);
    }

    private Map<String, Double> open(RouteEvidence route, double overall) {
        double rate = route.oldRate(overall, earlierRate());
        Map<String, Double> result = new HashMap<>();
        route.openNew()
                .forEach((target, counts) ->
                        result.put(target, SequentialTest.logLikelihood(counts[0], counts[1], rate)));
        return result;
    }

    private double against(RouteEvidence route) {
        return route.test.against(open(route, overallRate()), severalTargets, routes.size());
    }

    /**
     * Returns by how much runs in progress may make the evidence look worse than it is: runs that fail end sooner than
     * others, so that after a burst, or when the move begins, the first answers are worse than all of them.
     *
     * @param inFlight The number of runs in progress at new targets.
     */
    double earlyFailures(long inFlight) {
        double rate = Math.max(0.02, Math.min(0.8, overallRate()));
        return EARLY_FAILURES * inFlight * rate * Math.log((rate + SequentialTest.EXCESS) / rate);
    }

    /**
     * Returns where the verdict is bad: the name of a route, or "all routes".
     *
     * @param inFlight The number of runs in progress at new targets.
     */
    Optional<String> bad(long inFlight, long now) {
        double early = earlyFailures(inFlight);
        if (against(now) >= sum.badThreshold(1) + early) {
            return Optional.of("all routes");
        }
        long placedNew = Math.max(
                1, routes.values().stream().mapToLong(route -> route.placedNew).sum());
        return routes.entrySet().stream()
                .filter(entry -> against(entry.getValue())
                        >= entry.getValue().test.badThreshold(routes.size())
                                + early * entry.getValue().placedNew / placedNew)
                .map(entry -> "route " + entry.getKey())
                .findFirst();
    }

    /**
     * Returns whether the log-likelihood ratio of each test is low enough. A target that is found to be faulty is left
     * out. Routes too rare for a test must not speak clearly against the version.
     *
     * @param needed The highest log-likelihood ratio of the test over all routes.
     * @param neededOnRoute The highest log-likelihood ratio of the test on a route that is not pooled.
     */
    boolean isAtMost(double needed, double neededOnRoute, long now) {
        advance(now);
        String faulty = faulty();
        return sum.without(faulty) <= needed
                && routes.values().stream()
                        .allMatch(route -> route.test.without(faulty)
                                <= (isPooled(route, progress) ? SequentialTest.THRESHOLD : neededOnRoute));
    }

    private String faulty() {
        return severalTargets ? sum.faultyTarget().orElse("") : "";
    }

    /** Returns whether a route will not have enough runs for a test of its own by the time of the move. */
    private boolean isPooled(RouteEvidence route, double progress) {
        double expected = route.newEnded / Math.max(progress, 0.05);
        double decrease = SequentialTest.meanDecrease(route.oldRate(overallRate(), earlierRate()));
        return expected * decrease < OWN_TEST_MARGIN * SequentialTest.THRESHOLD;
    }

    /** Returns what is known of each route, in the order in which they were first seen. */
    List<RolloutEvidence.Route> routes(double progress, long now) {
        advance(now);
        String faulty = faulty();
        List<RolloutEvidence.Route> result = new ArrayList<>();
        routes.forEach((name, route) -> result.add(new RolloutEvidence.Route(
                name,
                route.oldEnded,
                route.oldBad,
                route.newEnded,
                route.newBad,
                verdict(route, faulty, progress),
                against(route))));
        return result;
    }

    private Verdict verdict(RouteEvidence route, String faulty, double progress) {
        if (against(route) >= route.test.badThreshold(routes.size())) {
            return Verdict.BAD;
        }
        if (isPooled(route, progress)) {
            return Verdict.POOLED;
        }
        return route.test.without(faulty) <= -SequentialTest.THRESHOLD ? Verdict.GOOD : Verdict.OPEN;
    }
}
