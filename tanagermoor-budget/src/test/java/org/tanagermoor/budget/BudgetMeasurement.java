package org.tanagermoor.budget;

import com.codahale.metrics.Counter;
import io.vavr.control.Either;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.kernel.time.TimeSource;
import org.tanagermoor.policy.budget.RateLimit;
import org.tanagermoor.policy.budget.TokenBucket;
import org.tanagermoor.policy.configuration.Team;
import org.tanagermoor.policy.fleet.TeamId;

/**
 * Measures shared budgets over real links within one process. This is not a test; run it by hand with the seed as its
 * argument.
 */
public final class BudgetMeasurement {

    private static final PrintStream OUT = System.out;

    private static final long WARM_UP_NANOS = TimeUnit.SECONDS.toNanos(3);

    private static final long RUN_NANOS = TimeUnit.SECONDS.toNanos(8);

    private static final long REQUEST_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(1);

    private static final TimeSource TIME = TimeSource.ForSystem.INSTANCE;

    private BudgetMeasurement() {}

    public static void main(String[] arguments) {
        long seed = arguments.length > 0 ? Long.parseLong(arguments[0]) : 1;
        OUT.println("seed " + seed);
        OUT.println(
                "case mode offered ideal served refused_inside refused_total overshoot latency_p50_us latency_p99_us");
        for (BudgetPlugin.Mode mode : BudgetPlugin.Mode.values()) {
            skew(mode, seed);
            flood(mode, seed);
        }
        OUT.println("instances teams messages_per_second_per_instance bytes_per_second_per_instance");
        for (int instances : new int[] {3, 6, 12, 24}) {
            measureControlTraffic(instances, 8, seed);
        }
        for (int teams : new int[] {1, 16, 64}) {
            measureControlTraffic(6, teams, seed);
        }
    }

    /** One team sends nine tenths of its rate, and nine tenths of that traffic to one instance. */
    private static void skew(BudgetPlugin.Mode mode, long seed) {
        try (Fleet fleet = new Fleet(3, mode)) {
            fleet.adopt(List.of(team(0, 200, 100)));
            Load load = new Load(fleet, new SplittableRandom(seed), 200, 100);
            load.run(List.of(new Source(0, 180, 0.9)));
            load.report("skewed", mode, 0);
        }
    }

    /** One team sends five times its rate, while seven teams stay within theirs; the traffic is spread evenly. */
    private static void flood(BudgetPlugin.Mode mode, long seed) {
        try (Fleet fleet = new Fleet(3, mode)) {
            List<Team> teams = new ArrayList<>();
            List<Source> sources = new ArrayList<>();
            for (int team = 0; team < 8; team++) {
                teams.add(team(team, 50, 25));
                sources.add(new Source(team, team == 0 ? 250 : 45, 1.0 / 3));
            }
            fleet.adopt(teams);
            Load load = new Load(fleet, new SplittableRandom(seed), 50, 25);
            load.run(sources);
            load.report("flood-offender", mode, 0);
            for (int team = 1; team < 8; team++) {
                load.report("flood-other-" + team, mode, team);
            }
        }
    }

    private static void measureControlTraffic(int instances, int teams, long seed) {
        try (Fleet fleet = new Fleet(instances, BudgetPlugin.Mode.LENT)) {
            List<Team> teamList = new ArrayList<>();
            List<Source> sources = new ArrayList<>();
            for (int team = 0; team < teams; team++) {
                teamList.add(team(team, 40, 40));
                sources.add(new Source(team, 20, 1.0 / instances));
            }
            fleet.adopt(teamList);
            Load load = new Load(fleet, new SplittableRandom(seed), 40, 40);
            load.run(sources);
            double seconds = RUN_NANOS / 1e9;
            OUT.printf(
                    "%d %d %.1f %.0f%n",
                    instances, teams, load.messages / seconds / instances, load.bytes / seconds / instances);
        }
    }

    private static Team team(int number, double rate, double burst) {
        return Team.of(TeamId.of("t" + number), rate, burst, 1);
    }

    private record Source(int team, double rate, double firstInstanceFraction) {}

    /** Poisson arrivals. For each team, an ideal token bucket decides which requests are within the rate. */
    private static final class Load {

        private final Fleet fleet;

        private final SplittableRandom random;

        private final RateLimit limit;

        private final List<Tally> tallies = new ArrayList<>();

        private long messages;

        private long bytes;

        private Load(Fleet fleet, SplittableRandom random, double rate, double burst) {
            this.fleet = fleet;
            this.random = random;
            limit = RateLimit.of(rate, burst);
        }

        private void run(List<Source> sources) {
            long start = TIME.nanos();
            List<Long> next = new ArrayList<>();
            for (Source source : sources) {
                tallies.add(new Tally(limit, start));
                next.add(start + nextInterval(source));
            }
            long end = start + WARM_UP_NANOS + RUN_NANOS;
            boolean counting = false;
            while (TIME.nanos() < end) {
                int earliest = 0;
                for (int index = 1; index < next.size(); index++) {
                    earliest = next.get(index) < next.get(earliest) ? index : earliest;
                }
                while (TIME.nanos() < next.get(earliest)) {
                    LockSupport.parkNanos(next.get(earliest) - TIME.nanos());
                }
                if (!counting && next.get(earliest) >= start + WARM_UP_NANOS) {
                    counting = true;
                    messages = -messages();
                    bytes = -bytes();
                }
                send(sources.get(earliest), tallies.get(earliest), counting);
                next.set(earliest, next.get(earliest) + nextInterval(sources.get(earliest)));
            }
            messages += messages();
            bytes += bytes();
            LockSupport.parkNanos(REQUEST_TIMEOUT_NANOS);
        }

        private long nextInterval(Source source) {
            return (long) (-Math.log(1 - random.nextDouble()) / source.rate() * 1e9);
        }

        private void send(Source source, Tally tally, boolean counting) {
            int size = fleet.instances.size();
            int instance = random.nextDouble() < source.firstInstanceFraction() ? 0 : 1 + random.nextInt(size - 1);
            long now = TIME.nanos();
            boolean inside = tally.ideal.take(1, now);
            fleet.instances
                    .get(instance)
                    .budgets
                    .take(Budgets.ofTeam("t" + source.team()), 1, now + REQUEST_TIMEOUT_NANOS)
                    .subscribe(outcome -> tally.count(outcome, inside, counting, now));
        }

        private long bytes() {
            return fleet.instances.stream()
                    .mapToLong(instance -> instance.link.bytes())
                    .sum();
        }

        private long messages() {
            return fleet.instances.stream()
                    .map(instance -> instance.metrics.counter("budget.messages"))
                    .mapToLong(Counter::getCount)
                    .sum();
        }

        private void report(String name, BudgetPlugin.Mode mode, int team) {
            Tally tally = tallies.get(team);
            List<Long> sorted = tally.latencies.stream().sorted().toList();
            OUT.printf(
                    "%s %s %d %d %d %d %d %.1f %d %d%n",
                    name,
                    mode,
                    tally.offered.get(),
                    tally.inside.get(),
                    tally.served.get(),
                    tally.refusedInside.get(),
                    tally.refused.get(),
                    Math.max(0, -tally.lowestLevel),
                    sorted.get(sorted.size() / 2) / 1_000,
                    sorted.get(sorted.size() * 99 / 100) / 1_000);
        }
    }

    private static final class Tally {

        private final TokenBucket ideal;

        private final AtomicLong offered = new AtomicLong();

        private final AtomicLong inside = new AtomicLong();

        private final AtomicLong served = new AtomicLong();

        private final AtomicLong refused = new AtomicLong();

        private final AtomicLong refusedInside = new AtomicLong();

        private final List<Long> latencies = new ArrayList<>();

        private final RateLimit limit;

        private double level;

        private long levelUpdatedAt;

        private double lowestLevel;

        private Tally(RateLimit limit, long now) {
            this.limit = limit;
            ideal = TokenBucket.empty(limit, now);
            level = limit.burst();
            levelUpdatedAt = now;
        }

        private synchronized void count(
                Either<Failure, Double> outcome, boolean withinRate, boolean counting, long sentAt) {
            long now = TIME.nanos();
            if (outcome.isRight()) {
                level = Math.min(limit.burst(), level + limit.accrued(now - levelUpdatedAt)) - 1;
                levelUpdatedAt = now;
                lowestLevel = Math.min(lowestLevel, level);
            }
            if (!counting) {
                return;
            }
            offered.incrementAndGet();
            inside.addAndGet(withinRate ? 1 : 0);
            served.addAndGet(outcome.isRight() ? 1 : 0);
            refused.addAndGet(outcome.isLeft() ? 1 : 0);
            refusedInside.addAndGet(outcome.isLeft() && withinRate ? 1 : 0);
            if (outcome.isRight()) {
                latencies.add(now - sentAt);
            }
        }
    }
}
