package org.tanagermoor.policy.rollout;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The phases of one roll-out, and its share of requests, step by step. */
final class RolloutTest {

    private static final RolloutLimits LIMITS = new RolloutLimits(0.1, 50, Duration.ofSeconds(5));

    private static final RolloutView IDLE = new RolloutView(100, 10, 0, true, true);

    private final Rollout rollout = Rollout.of(new RolloutOrder("service", "v2", Duration.ofSeconds(12)), LIMITS, 0);

    /** The share must hold at every moment, also when many requests are offered before one is placed. */
    @Test
    void keepsTheShareAtEveryMoment() {
        int placedNew = 0;
        for (int request = 1; request <= 2_000; request++) {
            boolean first = rollout.offerNew("route", seconds(1));
            boolean toNew = rollout.offerNew("route", seconds(1));
            assertThat(toNew, is(first));
            rollout.placed("route", toNew, toNew ? "new" : "old", seconds(1));
            placedNew += toNew ? 1 : 0;
            assertThat((double) placedNew, is(lessThanOrEqualTo(0.05 * request)));
        }
        assertThat(placedNew, is(100));
    }

    /** A new version must get nothing while the state of the roll-out may have changed unseen. */
    @ParameterizedTest
    @CsvSource({"true, true", "false, false"})
    void offersNothingWhileTheStateIsUnknown(boolean fresh, boolean offered) {
        place(100);
        rollout.decide(new RolloutView(100, 10, 10, true, fresh), seconds(1));
        assertThat(rollout.offerNew("route", seconds(1)), is(offered));
    }

    /** What a lost dispatcher counted must hold back a version of which this one knows nothing. */
    @ParameterizedTest
    @CsvSource({"49, 4, true", "50, 1, true", "50, 4, false"})
    void holdsAVersionBackThatHadManyBadAnswersElsewhere(long bad, int afterSeconds, boolean offered) {
        place(100);
        rollout.adoptProgress(Duration.ZERO, bad, seconds(1));
        assertThat(rollout.offerNew("route", seconds(1 + afterSeconds)), is(offered));
    }

    /** The limit on bad answers must count those that a lost dispatcher saw and those that came after it together. */
    @ParameterizedTest
    @ValueSource(ints = {9, 10})
    void addsItsBadAnswersToThoseOfALostDispatcher(int bad) {
        place(2_000);
        rollout.adoptProgress(Duration.ZERO, 40, seconds(1));
        for (int run = 0; run < 5; run++) {
            rollout.ended(new RunReport("route", false, "old", true, 0, 0), seconds(1));
        }
        for (int run = 0; run < bad; run++) {
            rollout.ended(new RunReport("route", true, "new-" + run % 3, true, 0, 0), seconds(1));
        }
        assertThat(rollout.evidence(seconds(1)).newBad(), is(40L + bad));
        // The row that this instance wrote itself comes back and must not be counted again.
        rollout.adoptProgress(Duration.ZERO, 40L + bad, seconds(1));
        assertThat(rollout.evidence(seconds(1)).newBad(), is(40L + bad));
    }

    /** A dispatcher that was frozen must not offer requests by a state that was current before. */
    @ParameterizedTest
    @CsvSource({"1.9, true", "2.5, false", "20, false"})
    void offersNothingAfterAPauseBeforeTheStateIsChecked(double at, boolean offered) {
        place(100);
        rollout.decide(new RolloutView(100, 10, 10, true, true), seconds(1));
        assertThat(rollout.offerNew("route", seconds(at)), is(offered));
        rollout.decide(new RolloutView(100, 10, 10, true, true), seconds(at));
        assertThat(rollout.offerNew("route", seconds(at)), is(true));
    }

    /** Old targets must not be stopped while anything may still be on its way to one. */
    @ParameterizedTest
    @CsvSource({
        "2.0, 0, true, true, true",
        "1.0, 0, true, true, false",
        "2.0, 1, true, true, false",
        "2.0, 0, false, true, false",
        "2.0, 0, true, false, false"
    })
    void completesOnlyWhenNothingIsLeft(
            double since, int oldInUse, boolean reported, boolean fresh, boolean completed) {
        rollout.adopt(new RolloutPhase.Moving(), seconds(10.5));
        Optional<RolloutPhase> next =
                rollout.decide(new RolloutView(100, 10, oldInUse, reported, fresh), seconds(10.5 + since));
        assertThat(next.isPresent(), is(completed));
    }

    /** The deadline ends a roll-out only before the move. */
    @ParameterizedTest
    @CsvSource({"100, true", "11, false"})
    void rollsBackAtTheDeadlineWithTooFewPlaces(int newPlaces, boolean moves) {
        rollout.decide(IDLE, seconds(0.1));
        Optional<RolloutPhase> next = rollout.decide(new RolloutView(newPlaces, 10, 10, true, true), seconds(12.5));
        assertThat(
                next.orElseThrow(), is(instanceOf(moves ? RolloutPhase.Moving.class : RolloutPhase.RolledBack.class)));
    }

    /** An instance that saw the order late must not start its time anew. */
    @Test
    void countsTheTimeOfTheInstanceThatSawTheOrderFirst() {
        rollout.adoptProgress(Duration.ofSeconds(8), 0, seconds(2));
        assertThat(rollout.elapsed(seconds(3)), is(Duration.ofSeconds(9)));
        rollout.adoptProgress(Duration.ofSeconds(1), 0, seconds(3));
        assertThat(rollout.elapsed(seconds(3)), is(Duration.ofSeconds(9)));
    }

    /** A late message of an earlier phase must not reopen a roll-out. */
    @Test
    void leavesNoFinalPhase() {
        rollout.adopt(new RolloutPhase.RolledBack("withdrawn"), seconds(1));
        rollout.adopt(new RolloutPhase.Moving(), seconds(2));
        assertThat(rollout.phase(), is(new RolloutPhase.RolledBack("withdrawn")));
        assertThat(rollout.offerNew("route", seconds(2)), is(false));
        assertThat(rollout.active(Set.of("a"), 1, seconds(2)), is(Set.of()));
    }

    /** A faulty target that is never in the sample would be found by users. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 5, 12})
    void exchangesTheActiveTargets(int targets) {
        Set<String> names = new HashSet<>();
        for (int target = 0; target < targets; target++) {
            names.add("target-" + target);
        }
        Set<String> seen = new HashSet<>();
        for (double at = 0; at < 12; at += 0.5) {
            Set<String> active = rollout.active(names, 10, seconds(at));
            assertThat(active, hasSize(Math.min(2, targets)));
            seen.addAll(active);
        }
        assertThat(seen, is(names));
    }

    /** A verdict must hold before its write is acknowledged. */
    @Test
    void offersNothingAfterTheVerdict() {
        for (int run = 0; run < 40; run++) {
            rollout.placed("route", true, "new-" + run % 3, seconds(1));
            rollout.ended(new RunReport("route", true, "new-" + run % 3, true, 0, 0), seconds(1));
        }
        place(2_000);
        assertThat(rollout.phase(), is(new RolloutPhase.Canary()));
        assertThat(rollout.offerNew("route", seconds(1)), is(false));
        assertThat(rollout.decide(IDLE, seconds(1)).orElseThrow(), is(instanceOf(RolloutPhase.RolledBack.class)));
    }

    /** A place that was not used must not count for the share. */
    @Test
    void returnsWhatDidNotRun() {
        place(39);
        rollout.placed("route", true, "new", seconds(1));
        assertThat(rollout.offerNew("route", seconds(1)), is(false));
        rollout.notRun(true);
        place(1);
        assertThat(rollout.offerNew("route", seconds(1)), is(true));
        assertThat(rollout.evidence(seconds(1)).newRequests(), is(0L));
        assertThat(
                rollout.evidence(seconds(1)).routes().stream()
                        .map(RolloutEvidence.Route::route)
                        .toList(),
                is(List.of("route")));
    }

    private void place(int requests) {
        for (int request = 0; request < requests; request++) {
            rollout.placed("route", false, "old", seconds(1));
        }
    }

    private static long seconds(double seconds) {
        return (long) (seconds * 1e9);
    }
}
