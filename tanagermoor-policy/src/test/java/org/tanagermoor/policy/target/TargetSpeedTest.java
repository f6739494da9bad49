package org.tanagermoor.policy.target;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against targets that are chosen by a speed that they no longer have. */
final class TargetSpeedTest {

    private static final long START = TimeUnit.SECONDS.toNanos(1_000);

    /** A report of long ago, or none, must not make a target look slow or fast, nor must one that cannot be right. */
    @ParameterizedTest
    @CsvSource({"0, 100, 1.0", "250, 0, 2.5", "250, 1200000, 1.0", "50, 0, 0.5", "1, 0, 0.25", "99999, 0, 10.0"})
    void forgetsReports(int percent, long ageMillis, double slowness) {
        TargetSpeed speed = TargetSpeed.of();
        speed.report(percent, START);
        assertThat(speed.slowness(START + millis(ageMillis)), closeTo(slowness, 1e-9));
    }

    /** A late report of an earlier moment must not replace a newer one. */
    @Test
    void ignoresAReportThatIsOlderThanTheLastOne() {
        TargetSpeed speed = TargetSpeed.of();
        speed.report(100, START);
        speed.report(400, START - millis(5));
        assertThat(speed.slowness(START), closeTo(1, 1e-9));
    }

    /** An old report must count for less than a new one: the estimate returns to the mean of the target. */
    @Test
    void weighsAReportByItsAge() {
        TargetSpeed speed = TargetSpeed.of();
        for (int report = 0; report < 200; report++) {
            speed.report(100, START + millis(20L * report));
        }
        long last = START + millis(20L * 200);
        speed.report(300, last);
        double fresh = speed.slowness(last + millis(10));
        double old = speed.slowness(last + millis(400));
        assertThat(old, is(lessThan(fresh)));
        assertThat(fresh, closeTo(3, 0.15));
    }

    /**
     * Forty targets with eight places each, a quarter of them at half speed, all with a speed that changes every half
     * second, at 0.8 of the load that they can serve. Choosing by a stale speed, or by none, lets requests wait for
     * places or run at slow targets: the time to the first event must stay within 1.3 of that at equal targets with the
     * same total speed, for 99 of 100 requests. The first second, in which no target has reported yet, is left out.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void keepsFirstEventsNearThoseOfEqualTargets(long seed) {
        double equal = percentile(simulate(seed, true));
        double uneven = percentile(simulate(seed, false));
        assertThat(uneven + " ms, equal targets " + equal + " ms", uneven / equal, is(lessThan(1.3)));
    }

    /** Returns the times to the first event, in milliseconds. */
    private static List<Double> simulate(long seed, boolean equal) {
        Random random = new Random(seed);
        List<Target> targets = new ArrayList<>();
        for (int index = 0; index < 40; index++) {
            targets.add(new Target(equal ? 0.875 : index % 4 == 0 ? 0.5 : 1, !equal));
        }
        double perMilli = 0.8 * 40 * 8 * 0.875 / Target.WORK_MILLIS;
        List<Double> times = new ArrayList<>();
        List<Long> queue = new ArrayList<>();
        for (long millis = 0; millis < 20_000; millis++) {
            long now = START + millis(millis);
            for (Target target : targets) {
                target.advance(millis, random, now);
            }
            int arrived = poisson(perMilli, random);
            for (int request = 0; request < arrived; request++) {
                queue.add(millis);
            }
            while (!queue.isEmpty()) {
                Target best = null;
                for (Target target : targets) {
                    if (target.running() < 8 && (best == null || target.time(now) < best.time(now))) {
                        best = target;
                    }
                }
                if (best == null) {
                    break;
                }
                best.start(millis, queue.remove(0), millis < 1_000 ? new ArrayList<>() : times);
            }
        }
        return times;
    }

    private static int poisson(double mean, Random random) {
        double limit = Math.exp(-mean);
        int count = 0;
        for (double product = random.nextDouble(); product > limit; product *= random.nextDouble()) {
            count++;
        }
        return count;
    }

    private static double percentile(List<Double> times) {
        return times.stream().sorted().toList().get((int) (0.99 * times.size()));
    }

    private static long millis(long value) {
        return TimeUnit.MILLISECONDS.toNanos(value);
    }

    /** A target whose speed changes every half second, and that reports it with each answer. */
    private static final class Target {

        /** The work of a request at usual speed, in milliseconds. */
        private static final double WORK_MILLIS = 500;

        /** The part of it before the first event: 450 tokens are read at 85 per ms, and a step takes 3 ms. */
        private static final double FIRST_MILLIS = 8;

        /** The time of a first event on the network and at two instances, whatever the target. */
        private static final double NETWORK_MILLIS = 10;

        private final double base;

        private final boolean changes;

        private final TargetSpeed estimate = TargetSpeed.of();

        private final List<Run> runs = new ArrayList<>();

        private double current;

        Target(double base, boolean changes) {
            this.base = base;
            this.changes = changes;
            current = base;
        }

        int running() {
            return runs.size();
        }

        double time(long now) {
            return estimate.expectedTime(runs.size(), 8, now);
        }

        void start(long millis, long arrived, List<Double> times) {
            runs.add(new Run(millis, arrived, times));
        }

        void advance(long millis, Random random, long now) {
            if (changes && millis % 500 == 0) {
                current = base * (0.85 + 0.3 * random.nextDouble());
            }
            for (Run run : List.copyOf(runs)) {
                double before = run.done;
                run.done += current;
                if (before < FIRST_MILLIS && run.done >= FIRST_MILLIS) {
                    run.times.add(NETWORK_MILLIS + millis - run.arrived);
                    estimate.report((int) Math.round(100 / current), now);
                }
                if (run.done >= WORK_MILLIS) {
                    runs.remove(run);
                    estimate.report((int) Math.round(100 / current), now);
                }
            }
        }
    }

    /** A request in progress. */
    private static final class Run {

        private final long arrived;

        private final List<Double> times;

        private double done;

        Run(long started, long arrived, List<Double> times) {
            this.arrived = Math.min(started, arrived);
            this.times = times;
        }
    }
}
