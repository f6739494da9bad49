package org.tanagermoor.policy.rollout;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.BiPredicate;

/**
 * A seeded load on one roll-out, or on two dispatchers that each decide for a part of it. Requests arrive at random over
 * routes of uneven rate and latency, and go to the target with the fewest in progress.
 */
final class RolloutModel {

    static final RolloutLimits LIMITS = new RolloutLimits(0.1, 50, Duration.ofSeconds(5));

    private static final double[] WEIGHTS = {0.40, 0.25, 0.15, 0.08, 0.05, 0.04, 0.02, 0.01};

    /** The mean latency of the routes in seconds; the first event comes after a fifth of it. */
    private static final double[] LATENCIES = {0.4, 0.3, 0.6, 0.8, 0.4, 1.0, 0.5, 0.7};

    private static final double MEAN_LATENCY = 0.46;

    private static final double BASE_FAILURES = 0.005;

    private static final long TICK_NANOS = Duration.ofMillis(20).toNanos();

    private static final long WRITE_NANOS = Duration.ofMillis(60).toNanos();

    private final int rate;

    private final double duration;

    private final Version version;

    private final Day day;

    private final Random random;

    private final int targets;

    private final PriorityQueue<Run> running = new PriorityQueue<>(Comparator.comparingDouble(run -> run.endsAt));

    private final List<Side> sides = new ArrayList<>();

    private double now;

    private RolloutModel(int rate, int seconds, Version version, Day day, int dispatchers, long seed) {
        this.rate = rate;
        this.duration = seconds;
        this.version = version;
        this.day = day;
        this.random = new Random(seed * 31 + rate + seconds);
        this.targets = rate < 100 ? 3 : rate < 500 ? 10 : 40;
        RolloutOrder order = new RolloutOrder("service", "v2", Duration.ofSeconds(seconds));
        for (int side = 0; side < dispatchers; side++) {
            sides.add(new Side(Rollout.of(order, LIMITS, 0)));
        }
    }

    /** A version with the probability of a failure and the factor of its latency. */
    enum Version {
        GOOD,
        FAILS_FIFTH,
        FAILS_HALF,
        FAILS_ALL,
        SLOW,
        SLOW_THIRD,
        FAILS_LATER,
        SLOW_LATER,
        FAILS_UNDER_LOAD,
        SLOW_UNDER_LOAD,
        FAILS_ON_ONE_ROUTE,
        SLOW_ON_ONE_ROUTE
    }

    /** What happens to the targets of both versions, and to the store, meanwhile. */
    enum Day {
        USUAL,
        ALL_FAIL_SOMETIMES,
        ALL_FAIL_FOR_A_TIME,
        ALL_SLOW_FOR_A_TIME,
        FAULTY_OLD_TARGETS,
        ONE_FAULTY_NEW_TARGET,
        ONE_SLOW_NEW_TARGET,
        HOT_TEAM,
        STORE_AWAY
    }

    /**
     * What came of a roll-out.
     *
     * @param ends The phase of each dispatcher at the end.
     * @param all The number of requests until the deadline.
     * @param newRequests The number of requests to the new version.
     * @param newInCanary The number of those before the move or the verdict.
     * @param shareInCanary The largest share of requests that the version had in the canary phase after 100 requests.
     * @param lateAfterBad The number of requests later than 5 s after the 50th bad answer.
     * @param movedAt The time of the move in seconds; infinite if there was none.
     * @param endedAt The time of the final phase in seconds.
     */
    record Result(
            List<RolloutPhase> ends,
            long all,
            long newRequests,
            long newInCanary,
            double shareInCanary,
            long lateAfterBad,
            double movedAt,
            double endedAt) {

        boolean rolledBack() {
            return ends.stream().allMatch(RolloutPhase.RolledBack.class::isInstance);
        }

        boolean completed() {
            return ends.stream().allMatch(RolloutPhase.Completed.class::isInstance);
        }

        double exposureBound() {
            return LIMITS.share() * all + LIMITS.slack();
        }
    }

    static Result run(int rate, int seconds, Version version, Day day, long seed) {
        return new RolloutModel(rate, seconds, version, day, 1, seed).play();
    }

    static Result runDivided(int rate, int seconds, Version version, long seed) {
        return new RolloutModel(rate, seconds, version, Day.USUAL, 2, seed).play();
    }

    private Result play() {
        double nextRequest = 0;
        double nextTick = 0;
        long all = 0;
        double end = duration + 15;
        while (now < end) {
            double nextEnd = running.isEmpty() ? Double.MAX_VALUE : running.peek().endsAt;
            now = Math.min(nextEnd, Math.min(nextRequest, nextTick));
            if (now == nextEnd) {
                finish(running.poll());
            } else if (now == nextTick) {
                sides.forEach(Side::tick);
                nextTick += TICK_NANOS / 1e9;
                if (sides.stream().allMatch(side -> side.rollout.phase().isFinal() && now > side.endedAt + 6)) {
                    end = Math.min(end, now);
                }
            } else {
                all += now <= duration ? 1 : 0;
                arrive();
                nextRequest += -Math.log(1 - random.nextDouble()) / (rate * surge());
            }
        }
        long expected = all + Math.round(rate * Math.max(0, duration - now));
        return new Result(
                sides.stream().map(side -> side.rollout.phase()).toList(),
                expected,
                sides.stream().mapToLong(side -> side.newRequests).sum(),
                sides.stream().mapToLong(side -> side.newInCanary).sum(),
                sides.stream().mapToDouble(side -> side.shareInCanary).max().orElseThrow(),
                lateAfterBad,
                sides.stream().mapToDouble(side -> side.movedAt).max().orElseThrow(),
                sides.stream().mapToDouble(side -> side.endedAt).max().orElseThrow());
    }

    private long bad;

    private double manyBadAt = Double.MAX_VALUE;

    private long lateAfterBad;

    private boolean isWithin(double from, double until) {
        return now >= from * duration && now < until * duration;
    }

    /** A team with a tenth of the requests sends six times its usual rate. */
    private double surge() {
        return day == Day.HOT_TEAM && isWithin(0.2, 0.6) ? 1.5 : 1;
    }

    private int route() {
        if (surge() > 1 && random.nextDouble() < 1 / 3.0) {
            return 3;
        }
        double position = random.nextDouble();
        int route = 0;
        while (position >= WEIGHTS[route] && route < WEIGHTS.length - 1) {
            position -= WEIGHTS[route++];
        }
        return route;
    }

    private void arrive() {
        Side side = sides.get(sides.size() == 1 ? 0 : random.nextInt(3) / 2);
        int route = route();
        long nanos = (long) (now * 1e9);
        boolean toNew = side.rollout.offerNew("r" + route, nanos);
        Target target = toNew
                ? side.least(side.rollout.active(side.newNames, targets, nanos))
                : side.old.stream()
                        .min(Comparator.comparingInt(each -> each.inUse))
                        .orElseThrow();
        target.inUse++;
        side.rollout.placed("r" + route, toNew, target.name, nanos);
        side.count(toNew);
        if (toNew && now > manyBadAt + LIMITS.rollback().toSeconds()) {
            lateAfterBad++;
        }
        double latency = LATENCIES[route] * Math.exp(0.4 * random.nextGaussian() - 0.08) * slowness(target, route);
        boolean failed = random.nextDouble() < failures(target, route);
        double took = failed ? latency * random.nextDouble() : latency;
        running.add(new Run(side, target, route, failed, latency, now + took, isBad(target, route)));
    }

    /** Returns whether the fault of the version applies to a request. */
    private boolean isBad(Target target, int route) {
        return target.isNew
                && switch (version) {
                    case GOOD -> false;
                    case FAILS_FIFTH, FAILS_HALF, FAILS_ALL, SLOW, SLOW_THIRD -> true;
                    case FAILS_LATER, SLOW_LATER -> now >= 0.4 * duration;
                    case FAILS_UNDER_LOAD, SLOW_UNDER_LOAD ->
                        target.inUse >= Math.max(2, 0.5 * rate * MEAN_LATENCY / targets / sides.size());
                    case FAILS_ON_ONE_ROUTE, SLOW_ON_ONE_ROUTE -> route == 1;
                };
    }

    private double failures(Target target, int route) {
        double failures = BASE_FAILURES;
        if (isBad(target, route)) {
            failures += switch (version) {
                case FAILS_FIFTH -> 0.2;
                case FAILS_LATER -> 0.3;
                case FAILS_HALF, FAILS_UNDER_LOAD, FAILS_ON_ONE_ROUTE -> 0.5;
                case FAILS_ALL -> 1;
                default -> 0;
            };
        }
        boolean first = target.name.endsWith("-0");
        failures += switch (day) {
            case ALL_FAIL_SOMETIMES -> 0.1;
            case ALL_FAIL_FOR_A_TIME -> isWithin(0.3, 0.5) ? 0.4 : 0;
            case FAULTY_OLD_TARGETS -> first && !target.isNew ? 0.5 : 0;
            case ONE_FAULTY_NEW_TARGET -> first && target.isNew ? 1 : 0;
            default -> 0;
        };
        return failures;
    }

    private double slowness(Target target, int route) {
        double slowness = 1;
        if (isBad(target, route)) {
            slowness = switch (version) {
                case SLOW, SLOW_LATER, SLOW_UNDER_LOAD, SLOW_ON_ONE_ROUTE -> 4;
                case SLOW_THIRD -> random.nextDouble() < 1 / 3.0 ? 5 : 1;
                default -> 1;
            };
        }
        if (day == Day.ALL_SLOW_FOR_A_TIME && isWithin(0.3, 0.6)) {
            slowness *= 3;
        }
        if (day == Day.ONE_SLOW_NEW_TARGET && target.isNew && target.name.endsWith("-0")) {
            slowness *= 5;
        }
        return slowness;
    }

    private void finish(Run run) {
        run.target.inUse--;
        if (run.target.isNew && run.bad && (run.failed || run.latency > 2.5 * LATENCIES[run.route])) {
            bad++;
            if (bad == 50) {
                manyBadAt = now;
            }
        }
        run.side.rollout.ended(
                new RunReport(
                        "r" + run.route,
                        run.target.isNew,
                        run.target.name,
                        run.failed,
                        run.failed ? 0 : (long) (run.latency * 0.2e9),
                        run.failed ? 0 : (long) (run.latency * 0.8e9 / 20)),
                (long) (now * 1e9));
    }

    /** A target with its number of requests in progress. */
    private static final class Target {

        private final String name;

        private final boolean isNew;

        private int inUse;

        Target(String name, boolean isNew) {
            this.name = name;
            this.isNew = isNew;
        }
    }

    /** A request in progress. */
    private record Run(
            Side side, Target target, int route, boolean failed, double latency, double endsAt, boolean bad) {}

    /** A dispatcher with its targets. */
    private final class Side {

        private final Rollout rollout;

        private final List<Target> old = new ArrayList<>();

        private final List<Target> fresh = new ArrayList<>();

        private final List<String> newNames = new ArrayList<>();

        private long newRequests;

        private long newInCanary;

        private long requests;

        private double shareInCanary;

        private double movedAt = Double.POSITIVE_INFINITY;

        private double endedAt = Double.POSITIVE_INFINITY;

        private Optional<RolloutPhase> pending = Optional.empty();

        private double writtenAt;

        Side(Rollout rollout) {
            this.rollout = rollout;
            for (int number = 0; number < targets; number++) {
                old.add(new Target("old-" + number, false));
            }
            for (int number = 0; number < targets * 6 / 5 + 1; number++) {
                fresh.add(new Target("new-" + number, true));
                newNames.add("new-" + number);
            }
        }

        Target least(Collection<String> names) {
            BiPredicate<Collection<String>, Target> allowed = (all, target) -> all.contains(target.name);
            return fresh.stream()
                    .filter(target -> allowed.test(names, target))
                    .min(Comparator.comparingInt(target -> target.inUse))
                    .orElseThrow();
        }

        void count(boolean toNew) {
            requests++;
            newRequests += toNew ? 1 : 0;
            if (rollout.phase() instanceof RolloutPhase.Canary) {
                newInCanary += toNew ? 1 : 0;
                if (requests >= 100) {
                    shareInCanary = Math.max(shareInCanary, newRequests / (double) requests);
                }
            }
        }

        void tick() {
            long nanos = (long) (now * 1e9);
            boolean away = day == Day.STORE_AWAY && isWithin(0.1, 0.4);
            if (pending.isPresent() && now >= writtenAt && !away) {
                rollout.adopt(pending.get(), nanos);
                if (pending.get() instanceof RolloutPhase.Moving) {
                    movedAt = now;
                }
                if (pending.get().isFinal()) {
                    endedAt = now;
                }
                pending = Optional.empty();
            }
            if (pending.isEmpty()) {
                int oldInUse = old.stream().mapToInt(target -> target.inUse).sum();
                int inUse = oldInUse
                        + fresh.stream().mapToInt(target -> target.inUse).sum();
                RolloutView view = new RolloutView(100_000, inUse, oldInUse, true, !away);
                rollout.active(newNames, targets, nanos);
                pending = rollout.decide(view, nanos);
                writtenAt = now + WRITE_NANOS / 1e9;
            }
        }
    }
}
