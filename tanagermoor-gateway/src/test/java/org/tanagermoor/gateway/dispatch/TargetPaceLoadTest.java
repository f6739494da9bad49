package org.tanagermoor.gateway.dispatch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.tanagermoor.gateway.fleet.TargetEntry;
import org.tanagermoor.gateway.forward.TargetLoad;

/** Guards against a target that is flooded, or left idle, when it is new or has recovered. */
final class TargetPaceLoadTest extends DispatcherFixture {

    private static final int TARGETS = 10;

    private static final int RUN_MILLIS = 500;

    /** The requests per millisecond: 0.8 of what all places serve. */
    private static final double PER_MILLI = 0.8 * TARGETS * 8 / RUN_MILLIS;

    /** A target that is added while the others are busy must have half of a fair share after 2 s, and all after 5 s. */
    @Test
    void givesANewTargetItsShareWithinFiveSeconds() {
        int others = 0;
        int afterTwoSeconds = 0;
        int afterFiveSeconds = 0;
        for (long seed = 1; seed <= 40; seed++) {
            dispatcher = dispatcher();
            Run run = new Run(seed, millis -> millis >= 3_000);
            run.until(9_000);
            assertThat("in the first 200 ms", run.startedBetween("t0", 3_000, 3_200), is(lessThanOrEqualTo(2)));
            for (int other = 1; other < TARGETS; other++) {
                others += run.startedBetween("t" + other, 8_000, 9_000);
            }
            afterTwoSeconds += run.startedBetween("t0", 5_000, 6_000);
            afterFiveSeconds += run.startedBetween("t0", 8_000, 9_000);
        }
        int fair = others / (TARGETS - 1);
        assertThat(afterTwoSeconds, is(greaterThanOrEqualTo(fair / 2)));
        assertThat(afterFiveSeconds, is(greaterThanOrEqualTo(fair * 9 / 10)));
    }

    /** A target that breaks every request must get fewer requests than before in each second, and be found again. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void sendsLessAndLessToATargetThatFailsAgain(long seed) {
        Run run = new Run(seed, millis -> true);
        run.fails = millis -> millis >= 3_000 && millis < 11_000;
        run.until(18_000);
        int first = run.startedBetween("t0", 3_000, 7_000);
        int second = run.startedBetween("t0", 7_000, 11_000);
        assertThat("requests in the first half " + first, second, is(lessThanOrEqualTo(first)));
        assertThat(
                "after its return",
                run.startedBetween("t0", 16_000, 18_000),
                is(greaterThanOrEqualTo(run.startedBetween("t1", 16_000, 18_000) * 8 / 10)));
    }

    /** Without reports of the speed, a target must be used as before: at once when it is new. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void limitsNoTargetOfAServiceThatReportsNoSpeed(long seed) {
        Run run = new Run(seed, millis -> millis >= 3_000);
        run.reports = false;
        run.until(3_200);
        assertThat(run.startedBetween("t0", 3_000, 3_200), is(greaterThanOrEqualTo(4)));
    }

    /** A simulated load. */
    private final class Run {

        private final Random random;

        private final java.util.function.IntPredicate present;

        private java.util.function.IntPredicate fails = millis -> false;

        private boolean reports = true;

        private final Map<String, List<Integer>> starts = new HashMap<>();

        private final TreeMap<Integer, List<Long>> ends = new TreeMap<>();

        private final Map<Long, String> targetOf = new HashMap<>();

        private final long start = now;

        private long permit;

        private int millis;

        private boolean known;

        Run(long seed, java.util.function.IntPredicate present) {
            random = new Random(seed);
            this.present = present;
            known = present.test(0);
            targets();
        }

        private void targets() {
            List<TargetEntry> entries = new ArrayList<>();
            for (int index = known ? 0 : 1; index < TARGETS; index++) {
                entries.add(target("t" + index, 8, 0));
            }
            dispatcher.targets(entries, service -> 0, now);
        }

        void until(int end) {
            for (; millis < end; millis++) {
                now = start + TimeUnit.MILLISECONDS.toNanos(millis);
                if (present.test(millis) != known) {
                    known = !known;
                    targets();
                }
                while (!ends.isEmpty() && ends.firstKey() <= millis) {
                    ends.pollFirstEntry().getValue().forEach(this::end);
                }
                if (random.nextDouble() < PER_MILLI) {
                    permit++;
                    long asked = permit;
                    dispatcher
                            .ask(ask(asked, false, 4_900, ""), now)
                            .ifPresent(decision -> decisions.put(asked, decision));
                }
                if (millis % 25 == 0) {
                    dispatcher.tick(now);
                }
                Map.copyOf(decisions).forEach(this::started);
                decisions.clear();
            }
        }

        private void started(long asked, PlacementDecision decision) {
            if (decision instanceof PlacementDecision.Granted granted) {
                targetOf.put(asked, granted.target());
                starts.computeIfAbsent(granted.target(), id -> new ArrayList<>())
                        .add(millis);
                boolean broken = granted.target().equals("t0") && fails.test(millis);
                int end = millis + (broken ? 3 : RUN_MILLIS / 2 + random.nextInt(RUN_MILLIS));
                ends.computeIfAbsent(end, key -> new ArrayList<>()).add(asked);
            }
        }

        private void end(long ended) {
            boolean broken = targetOf.get(ended).equals("t0") && fails.test(millis);
            RunAnswer answer = new RunAnswer(
                    false,
                    TimeUnit.MILLISECONDS.toNanos(20),
                    10,
                    TimeUnit.MILLISECONDS.toNanos(RUN_MILLIS),
                    reports ? Optional.of(new LoadReport(new TargetLoad(1, 0, 8, 100), now)) : Optional.empty());
            dispatcher.release(
                    "x",
                    ended,
                    broken ? PlaceOutcome.FAILED : PlaceOutcome.SERVED,
                    broken ? RunAnswer.NONE : answer,
                    now);
        }

        int startedBetween(String target, int from, int to) {
            return (int) starts.getOrDefault(target, List.of()).stream()
                    .filter(at -> at >= from && at < to)
                    .count();
        }
    }
}
