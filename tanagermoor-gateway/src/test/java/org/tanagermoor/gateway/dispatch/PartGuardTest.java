package org.tanagermoor.gateway.dispatch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.tanagermoor.policy.prompt.Prompt;
import org.tanagermoor.policy.quarantine.Crash;

/** What the dispatcher does with asks whose prompts have a part that crashes targets. */
final class PartGuardTest extends DispatcherFixture {

    /** Permits from this number on are those of requests with the part. */
    private static final long FIRST_DEADLY = 1_000;

    private static final int TARGETS = 20;

    private long permits;

    private int crashes;

    /** The targets that have crashed: they get no request before they can have started again. */
    private final Set<String> crashed = new HashSet<>();

    /** Replaces the targets by many, since each crash avoids one for a while. */
    @BeforeEach
    void manyTargets() {
        dispatcher.targets(
                IntStream.range(0, TARGETS)
                        .mapToObj(number -> target("t-" + number, 1, 0))
                        .toList(),
                service -> 0,
                now);
    }

    /** Asks that wait when the part becomes known are refused as well as later ones. */
    @Test
    void refusesQueuedAndLaterAsks() {
        crash(2);
        answers(1);
        assertThat(granted(dispatcher.ask(deadly(FIRST_DEADLY + 50), now)), is(true));
        // The targets have started again, and all places are in use.
        crashed.clear();
        IntStream.range(1, TARGETS).forEach(place -> sound());
        assertThat(dispatcher.ask(deadly(FIRST_DEADLY + 51), now), is(Optional.empty()));
        advance(10);
        dispatcher.release("y", FIRST_DEADLY + 50, PlaceOutcome.CRASHED, now);
        assertThat(quarantined, hasSize(1));
        PlacementDecision later = dispatcher.ask(deadly(FIRST_DEADLY + 52), now).orElseThrow();
        for (PlacementDecision decision : Arrays.asList(decisions.get(FIRST_DEADLY + 51), later)) {
            PlacementDecision.Refused refused = (PlacementDecision.Refused) decision;
            assertThat(refused.reason(), is(PlacementDecision.Reason.QUARANTINED));
            assertThat(refused.retryAfterMillis(), is(3_000L));
        }
    }

    /** After the first period one request is let through; what becomes of it decides on the part. */
    @ParameterizedTest
    @CsvSource({"SERVED, false", "CRASHED, true", "ABANDONED, true", "FAILED, true"})
    void triesThePartOnce(PlaceOutcome outcome, boolean held) {
        answers(3);
        crash(3);
        assertThat(quarantined, hasSize(1));
        advance(3_000);
        assertThat(granted(dispatcher.ask(deadly(FIRST_DEADLY + 60), now)), is(true));
        assertThat(granted(dispatcher.ask(deadly(FIRST_DEADLY + 61), now)), is(false));
        advance(200);
        dispatcher.release("y", FIRST_DEADLY + 60, outcome, now);
        advance(1_000);
        assertThat(granted(dispatcher.ask(deadly(FIRST_DEADLY + 62), now)), is(!held));
    }

    /** The log could not tell which request at which target was the trial of a part, and how it ended. */
    @ParameterizedTest
    @CsvSource({"SERVED, false, SERVED", "CRASHED, false, CRASHED", "SERVED, true, UNUSED"})
    void reportsTheTrialOfAPart(PlaceOutcome outcome, boolean holderLost, PlaceOutcome reported) {
        answers(3);
        crash(3);
        advance(3_000);
        assertThat(trials, is(empty()));
        Ask trial = deadly("y", FIRST_DEADLY + 60);
        String target = grantedTarget(dispatcher.ask(trial, now));
        advance(200);
        if (holderLost) {
            dispatcher.forget("y", now);
        } else {
            dispatcher.release("y", trial.permit(), outcome, now);
        }
        String part = quarantined.get(0).part();
        assertThat(
                trials,
                is(List.of(
                        new Trial(List.of(part), "y", trial.permit(), target, Optional.empty(), 0),
                        new Trial(List.of(part), "y", trial.permit(), target, Optional.of(reported), 200_000_000))));
    }

    /**
     * A trial that never reached a target counted like one that crashed it, and the next one came 10 s later. Not so if
     * it may have run: its run was cut, or its holder does not report it any more.
     */
    @ParameterizedTest
    @CsvSource({
        "UNUSED, 0, true",
        "UNREACHABLE, 0, true",
        "FULL, 0, true",
        "UNUSED, 1, false",
        "FAILED, 1, false",
        "CRASHED, 1, false",
        "ABANDONED, 1, false",
    })
    void repeatsATrialThatNoTargetRanSoon(PlaceOutcome outcome, long runNanos, boolean repeated) {
        answers(3);
        crash(3);
        advance(3_000);
        assertThat(granted(dispatcher.ask(deadly(FIRST_DEADLY + 60), now)), is(true));
        advance(200);
        RunAnswer answer = new RunAnswer(false, 0, 0, runNanos, Optional.empty());
        dispatcher.release("y", FIRST_DEADLY + 60, outcome, answer, now);
        advance(1_000);
        assertThat(granted(dispatcher.ask(deadly(FIRST_DEADLY + 61), now)), is(repeated));
    }

    /** See {@link #repeatsATrialThatNoTargetRanSoon}. */
    @Test
    void countsATrialWhoseEndIsUnknown() {
        answers(3);
        crash(3);
        advance(3_000);
        assertThat(granted(dispatcher.ask(deadly(FIRST_DEADLY + 60), now)), is(true));
        advance(2_000);
        dispatcher.resync("y", List.of(), now);
        advance(1_000);
        assertThat(granted(dispatcher.ask(deadly(FIRST_DEADLY + 61), now)), is(false));
    }

    /** What the holders saw under the dispatcher before counts at the next one, each run once. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2})
    void goesOnWithTheEvidenceOfTheDispatcherBefore(int reported) {
        for (int repetition = 0; repetition < 2; repetition++) {
            for (int run = 0; run < reported; run++) {
                long sentAt = now - 5_000_000_000L + run * 1_000_000_000L;
                dispatcher.crashed(
                        new Crash("z/" + run, "z", "old-" + run, prompt(500 + run), sentAt, sentAt + 200_000_000L),
                        now);
            }
        }
        answers(3);
        crash(2 - reported);
        assertThat(quarantined, is(empty()));
        crash(1);
        assertThat(quarantined, hasSize(1));
    }

    /** A request that crashed its target was placed again, at any instance, whenever its caller sent it again. */
    @ParameterizedTest
    @CsvSource({"CRASHED, true, 3", "CRASHED, false, 3", "BROKEN_OFF, false, 3", "FAILED, false, 10"})
    void placesARequestThatCrashesTargetsThreeTimes(PlaceOutcome outcome, boolean partsAnswered, int times) {
        int placed = 0;
        for (long permit = FIRST_DEADLY; permit < FIRST_DEADLY + 10; permit++) {
            Ask ask = ask(permit % 2 == 0 ? "x" : "y", permit, false, 5_000, "", Set.of())
                    .withPrompt(new Prompt(List.of("first", "second"), "own", "request:repeated"));
            if (granted(dispatcher.ask(ask, now))) {
                placed++;
                advance(100);
                dispatcher.release(ask.holder(), permit, outcome, now);
            }
            advance(100);
            answers(3);
            if (partsAnswered) {
                answer(new Prompt(List.of("first", "second"), "own-" + permit, "request:" + permit));
            }
            advance(2_000);
        }
        assertThat(placed, is(times));
        answer(new Prompt(List.of("first", "second"), "other", "request:other"));
    }

    /** Lets requests with the part crash their targets, one after the other, at two instances in turn. */
    private void crash(int count) {
        for (int run = 0; run < count; run++) {
            long permit = FIRST_DEADLY + permits++;
            Ask ask = deadly(++crashes % 2 == 0 ? "x" : "y", permit);
            crashed.add(grantedTarget(dispatcher.ask(ask, now)));
            advance(100);
            dispatcher.release(ask.holder(), permit, PlaceOutcome.CRASHED, now);
            advance(100);
            answers(1);
        }
    }

    /** Lets sound requests be answered. */
    private void answers(int count) {
        for (int answer = 0; answer < count; answer++) {
            dispatcher.release("x", sound(), PlaceOutcome.SERVED, now);
        }
    }

    /** Lets a request with the given prompt be answered. */
    private void answer(Prompt prompt) {
        dispatcher.release("x", place(prompt), PlaceOutcome.SERVED, now);
    }

    /** Occupies a place with a sound request, and returns the number of its permit. */
    private long sound() {
        return place(new Prompt(List.of("first"), "own-" + (permits + 1)));
    }

    /** Occupies a place with a request that has the given prompt, and returns the number of its permit. */
    private long place(Prompt prompt) {
        long permit = ++permits;
        Ask ask = ask("x", permit, false, 5_000, "", crashed).withPrompt(prompt);
        assertThat(granted(dispatcher.ask(ask, now)), is(true));
        return permit;
    }

    private Ask deadly(long permit) {
        return deadly("y", permit);
    }

    private Ask deadly(String holder, long permit) {
        return ask(holder, permit, false, 5_000, "", Set.copyOf(crashed)).withPrompt(prompt(permit));
    }

    private static String grantedTarget(Optional<PlacementDecision> decision) {
        return ((PlacementDecision.Granted) decision.orElseThrow()).target();
    }

    private static boolean granted(Optional<PlacementDecision> decision) {
        return decision.orElseThrow() instanceof PlacementDecision.Granted;
    }

    private static Prompt prompt(long permit) {
        return new Prompt(List.of("first", "deadly"), "own-" + permit);
    }
}
