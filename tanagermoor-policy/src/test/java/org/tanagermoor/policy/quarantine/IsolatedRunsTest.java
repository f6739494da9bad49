package org.tanagermoor.policy.quarantine;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.not;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Which suspects run at which reserved target, and when. */
final class IsolatedRunsTest {

    private static final int PLACES = 4;

    private final IsolatedRuns runs = IsolatedRuns.of();

    private final List<IsolatedRuns.Suspect> waiting = new ArrayList<>();

    /** The places in use by other requests, by target; a target that is not named cannot be used. */
    private final Map<String, Integer> others = new TreeMap<>(Map.of("a", 0, "b", 0, "c", 0, "d", 0));

    private final Set<String> held = new HashSet<>(Set.of("part"));

    private String reserved = "";

    private boolean onlineWaits;

    private int sparePlaces = 2 * PLACES;

    private long now = Duration.ofSeconds(100).toNanos();

    /** Lets the targets start again whose crashes have accused the part. */
    @BeforeEach
    void startTargets() {
        add("0");
        next();
        waiting.clear();
        advance(IsolatedRuns.RESTART_NANOS);
    }

    /** A target was reserved while those were still down whose crashes had just accused the mark. */
    @Test
    void waitsForTheTargetsWhoseCrashesAccusedTheMark() {
        held.add("other");
        waiting.add(new IsolatedRuns.Suspect("1", "1", List.of("other"), Set.of(), now));
        assertThat(next(), is(instanceOf(IsolationStep.Wait.class)));
        advance(IsolatedRuns.RESTART_NANOS - 1);
        assertThat(next(), is(instanceOf(IsolationStep.Wait.class)));
        advance(1);
        assertThat(next(), is(instanceOf(IsolationStep.Reserve.class)));
    }

    /** One suspect at a time runs until two requests have crashed targets; then as many as fit. */
    @Test
    void runsSuspectsTogetherOnceTwoRequestsHaveCrashedTargets() {
        add("1", "2", "3", "4", "5", "6", "7", "8");
        List<List<String>> groups = new ArrayList<>();
        for (int round = 0; round < 4; round++) {
            advance(round < 2 ? 0 : IsolatedRuns.GATHER_NANOS);
            List<String> group = started();
            groups.add(group);
            assertThat(next(), is(instanceOf(IsolationStep.Wait.class)));
            group.forEach(run -> runs.ended(run, IsolationEnd.CRASHED, now));
            assertThat(next(), is(instanceOf(IsolationStep.Release.class)));
            assertThat(next(), is(instanceOf(IsolationStep.Wait.class)));
            advance(IsolatedRuns.RESTART_NANOS);
        }
        assertThat(groups, is(List.of(List.of("1"), List.of("2"), List.of("3", "4", "5", "6"), List.of("7", "8"))));
    }

    /** Suspects with a part that is known to crash targets wait for each other, unless they fill a target. */
    @ParameterizedTest
    @CsvSource({"3, true", "4, false"})
    void gathersSuspectsOfAKnownPart(int count, boolean gathers) {
        add("1", "2");
        for (int run = 0; run < 2; run++) {
            runs.ended(started().get(0), IsolationEnd.CRASHED, now);
            next();
            advance(IsolatedRuns.RESTART_NANOS);
        }
        IntStream.range(3, 3 + count).forEach(number -> add(Integer.toString(number)));
        advance(IsolatedRuns.GATHER_NANOS - 1);
        assertThat(next() instanceof IsolationStep.Wait, is(gathers));
        advance(1);
        assertThat(started(), hasSize(count));
    }

    /** The same request that crashes targets again and again says nothing of others with the part. */
    @Test
    void doesNotCountTheSameRequestTwice() {
        for (int run = 0; run < 3; run++) {
            waiting.add(suspect("run-" + run, "same"));
            runs.ended(started().get(0), IsolationEnd.CRASHED, now);
            next();
            advance(IsolatedRuns.RESTART_NANOS);
        }
        add("1", "2");
        assertThat(started(), hasSize(1));
    }

    /** What cannot be told from a fault of the target confirms nothing. */
    @ParameterizedTest
    @EnumSource(names = {"FAILED", "NOT_RUN", "WITHDRAWN", "ANSWERED"})
    void confirmsByCrashesOnly(IsolationEnd end) {
        add("1", "2", "3", "4", "5");
        for (int run = 0; run < 3; run++) {
            runs.ended(started().get(0), end, now);
            advance(IsolatedRuns.RESTART_NANOS);
        }
        assertThat(started(), hasSize(1));
    }

    /** Other requests of the target end first; one that stays busy is given up for another target. */
    @Test
    void waitsUntilTheTargetIsFree() {
        others.replaceAll((target, inUse) -> 1);
        add("1");
        assertThat(next(), is(new IsolationStep.Reserve("a")));
        assertThat(next(), is(instanceOf(IsolationStep.Wait.class)));
        others.put("a", 0);
        assertThat(next(), is(new IsolationStep.Run("a", List.of("1"))));
        runs.ended("1", IsolationEnd.WITHDRAWN, now);
        next();
        others.put("a", 1);
        add("2");
        assertThat(next(), is(new IsolationStep.Reserve("a")));
        advance(IsolatedRuns.MAX_DRAIN_NANOS + 1);
        assertThat(next(), is(instanceOf(IsolationStep.Release.class)));
        assertThat(next(), is(new IsolationStep.Reserve("b")));
    }

    /** Suspects never ran where online requests last longer than a target was kept for them. */
    @ParameterizedTest
    @ValueSource(ints = {9, 11, 25, 45})
    void runsSuspectsWhereOnlineRequestsLastForLong(int onlineSeconds) {
        add("1");
        long start = now;
        long reservedAt = now;
        IsolationStep step = next();
        while (!(step instanceof IsolationStep.Run)
                && now - start < Duration.ofMinutes(10).toNanos()) {
            reservedAt = step instanceof IsolationStep.Reserve ? now : reservedAt;
            boolean ended =
                    now - reservedAt >= Duration.ofSeconds(onlineSeconds).toNanos();
            others.replaceAll((target, inUse) -> ended && target.equals(reserved) ? 0 : 1);
            advance(Duration.ofMillis(100).toNanos());
            step = next();
        }
        assertThat(
                now - start, is(lessThan(Duration.ofSeconds(4L * onlineSeconds).toNanos())));
    }

    /** Online requests that wait, or would, go first for a bounded time. */
    @ParameterizedTest
    @CsvSource({"true, 8", "false, 3"})
    void leavesTheTargetsToOnlineRequestsForABoundedTime(boolean waits, int spare) {
        onlineWaits = waits;
        sparePlaces = spare;
        add("1");
        assertThat(next(), is(instanceOf(IsolationStep.Wait.class)));
        advance(IsolatedRuns.MAX_DEFERRAL_NANOS);
        assertThat(next(), is(new IsolationStep.Reserve("a")));
    }

    /** The only target of a service is not given up to suspects. */
    @Test
    void reservesNoTargetWithoutAnotherOne() {
        others.keySet().retainAll(Set.of("a"));
        add("1");
        advance(IsolatedRuns.MAX_DEFERRAL_NANOS);
        assertThat(next(), is(instanceOf(IsolationStep.Wait.class)));
    }

    /** Online requests got no target while suspects went on at the last one, which was reserved. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1})
    void leavesTheLastTargetToOnlineRequests(int started) {
        others.keySet().retainAll(Set.of("a", "b"));
        others.put("a", 1 - started);
        others.put("b", 2);
        add("1", "2");
        assertThat(next(), is(new IsolationStep.Reserve("a")));
        assertThat(next() instanceof IsolationStep.Run, is(started == 1));
        others.remove("b");
        if (started == 1) {
            advance(IsolatedRuns.SURVIVAL_NANOS);
            assertThat(next(), is(instanceOf(IsolationStep.Wait.class)));
            runs.ended("1", IsolationEnd.WITHDRAWN, now);
        }
        assertThat(next(), is(instanceOf(IsolationStep.Release.class)));
    }

    /** A target that failed a suspect, and may do so to sound ones, is passed over. */
    @ParameterizedTest
    @EnumSource(names = {"FAILED", "NOT_RUN", "CRASHED"})
    void goesOnAtAnotherTargetAfterAFailure(IsolationEnd end) {
        add("1", "2");
        runs.ended(started().get(0), end, now);
        assertThat(next(), is(instanceOf(IsolationStep.Release.class)));
        advance(IsolatedRuns.RESTART_NANOS);
        assertThat(next(), is(new IsolationStep.Reserve("b")));
    }

    /** A target that has started again may have got other requests, which a crash would cost. */
    @Test
    void leavesATargetThatHasStartedAgain() {
        add("1", "2");
        String run = started().get(0);
        reserved = "";
        runs.ended(run, IsolationEnd.WITHDRAWN, now);
        assertThat(next(), is(instanceOf(IsolationStep.Release.class)));
    }

    /** When a part is released, its suspects no longer keep the target from others. */
    @Test
    void endsTheReservationWhenThePartIsReleased() {
        add("1", "2");
        started();
        held.clear();
        waiting.clear();
        assertThat(next(), is(instanceOf(IsolationStep.Release.class)));
    }

    /** A run that the target has borne for a while lets others join: they need not wait for its end. */
    @Test
    void letsOthersJoinARunThatSurvives() {
        add("1", "2", "3");
        assertThat(started(), is(List.of("1")));
        advance(IsolatedRuns.SURVIVAL_NANOS);
        assertThat(next(), is(new IsolationStep.Run("a", List.of("2", "3"))));
        assertThat(runs.ended("1", IsolationEnd.CRASHED, now).orElseThrow().single(), is(false));
    }

    /** Suspects that have waited for long do not wait for the restart of the target. */
    @Test
    void goesOnSoonerWhenSuspectsHaveWaitedForLong() {
        IntStream.range(0, IsolatedRuns.BACKLOG_TARGETS).forEach(number -> others.put("t-" + number, 0));
        add("1", "2");
        advance(IsolatedRuns.MAX_DEFERRAL_NANOS);
        runs.ended(started().get(0), IsolationEnd.CRASHED, now);
        next();
        advance(IsolatedRuns.BACKLOG_PAUSE_NANOS);
        assertThat(next(), is(not(instanceOf(IsolationStep.Wait.class))));
    }

    /** The last targets of a small service went down one after the other before the first was back. */
    @ParameterizedTest
    @CsvSource({"2, 2", "2, 9", "3, 9", "6, 9"})
    void waitsForTheRestartInASmallService(int targets, int suspects) {
        others.clear();
        IntStream.range(0, targets).forEach(number -> others.put("t-" + number, 0));
        IntStream.range(0, suspects).forEach(number -> add(Integer.toString(number)));
        advance(IsolatedRuns.MAX_DEFERRAL_NANOS);
        runs.ended(started().get(0), IsolationEnd.CRASHED, now);
        next();
        advance(IsolatedRuns.RESTART_NANOS - 1);
        assertThat(next(), is(instanceOf(IsolationStep.Wait.class)));
        advance(1);
        assertThat(next(), is(instanceOf(IsolationStep.Reserve.class)));
    }

    /** Three attempts in a minute: each is offered a run at least each 20 s, and crashes no target more often. */
    @ParameterizedTest
    @CsvSource({"60, 3, 16000", "60, 1, 48000", "60, 0, 48000"})
    void pausesForPartOfTheTimeOfAnAttempt(long seconds, int attempts, long millis) {
        assertThat(
                IsolatedRuns.pauseNanos(Duration.ofSeconds(seconds).toNanos(), attempts),
                is(Duration.ofMillis(millis).toNanos()));
    }

    /** Takes steps until suspects run, and returns their runs. */
    private List<String> started() {
        IsolationStep step = next();
        while (!(step instanceof IsolationStep.Run)) {
            assertThat(step, is(not(instanceOf(IsolationStep.Wait.class))));
            step = next();
        }
        return ((IsolationStep.Run) step).runs();
    }

    private IsolationStep next() {
        List<IsolatedRuns.Target> targets = others.entrySet().stream()
                .map(entry -> new IsolatedRuns.Target(
                        entry.getKey(),
                        entry.getValue(),
                        entry.getValue() + running(entry.getKey()),
                        PLACES,
                        Integer.MAX_VALUE,
                        entry.getKey().equals(reserved),
                        false))
                .toList();
        IsolationStep step =
                runs.next(waiting, targets, new IsolatedRuns.Demand(onlineWaits, sparePlaces), held::contains, now);
        switch (step) {
            case IsolationStep.Reserve reserve -> reserved = reserve.target();
            case IsolationStep.Release release -> reserved = "";
            case IsolationStep.Run run -> waiting.removeIf(suspect -> run.runs().contains(suspect.run()));
            case IsolationStep.Wait wait -> {}
        }
        return step;
    }

    private int running(String target) {
        return target.equals(reserved)
                ? (int) IntStream.range(0, 10)
                        .filter(run -> runs.runs(Integer.toString(run)) || runs.runs("run-" + run))
                        .count()
                : 0;
    }

    private void add(String... names) {
        for (String name : names) {
            waiting.add(suspect(name, name));
        }
    }

    private IsolatedRuns.Suspect suspect(String run, String request) {
        return new IsolatedRuns.Suspect(run, request, List.of("part"), Set.of(), now);
    }

    private void advance(long nanos) {
        now += nanos;
    }
}
