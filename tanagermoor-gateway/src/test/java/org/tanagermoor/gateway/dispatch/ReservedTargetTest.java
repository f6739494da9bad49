package org.tanagermoor.gateway.dispatch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.both;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.tanagermoor.gateway.fleet.TargetEntry;
import org.tanagermoor.policy.prompt.Prompt;
import org.tanagermoor.policy.quarantine.Crash;
import org.tanagermoor.policy.quarantine.IsolationStep;

/** Where and when items with a part that is held back run. */
final class ReservedTargetTest extends DispatcherFixture {

    private static final String PART = "part";

    /** The time within which an item must be offered a run if its job has 60 s and three attempts, in milliseconds. */
    private static final long OFFER_MILLIS = 20_000;

    private static final long TICK_MILLIS = 25;

    private final List<TargetEntry> targets = new ArrayList<>();

    /** Items waited without a bound in a service with several targets of which only one could be used. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 5})
    void runsAnItemWhileAllTargetsButOneAreDraining(int draining) {
        start(target("a", 4, 0));
        for (int number = 0; number < draining; number++) {
            TargetEntry entry = target("draining-" + number, 4, 0);
            start(new TargetEntry(
                    entry.id(), entry.service(), entry.address(), entry.domain(), entry.capacity(), true, 0, 0));
        }
        holdBack();
        assertThat(grantMillis(1, OFFER_MILLIS), is(lessThanOrEqualTo(OFFER_MILLIS)));
    }

    /** An item that excludes the only target of its service kept the others with the part from it. */
    @Test
    void passesAnItemThatExcludesTheOnlyTarget() {
        start(target("a", 4, 0));
        holdBack();
        advance(3_000);
        dispatcher.ask(suspect(1, "a"), now);
        assertThat(grantMillis(2, 1_000), is(lessThanOrEqualTo(1_000L)));
    }

    /** A target stayed reserved for ever after an item was withdrawn while others were granted their places there. */
    @ParameterizedTest
    @EnumSource(names = {"CRASHED", "FAILED", "UNREACHABLE", "UNUSED"})
    void endsTheReservationAlthoughAnItemIsWithdrawnMeanwhile(PlaceOutcome outcome) {
        start(target("a", 4, 0), target("b", 4, 0), target("c", 4, 0));
        holdBack();
        confirm();
        ask(11);
        ask(12);
        onDecision = ask -> dispatcher.release("y", ask.permit() == 11 ? 12 : 11, PlaceOutcome.UNUSED, now);
        grantMillis(11, OFFER_MILLIS);
        onDecision = ask -> {};
        dispatcher.release("y", 11, outcome, now);
        advance(TICK_MILLIS);
        dispatcher.tick(now);
        assertThat(isolation.get(isolation.size() - 1), is(instanceOf(IsolationStep.Release.class)));
        assertThat(grantMillis(13, OFFER_MILLIS), is(lessThanOrEqualTo(OFFER_MILLIS)));
    }

    /** Items that ran together exceeded the rate of a cold target. */
    @Test
    void keepsTheRateOfAColdTarget() {
        start(target("a", 8, 0), target("b", 8, 0), target("c", 8, 0));
        holdBack();
        confirm();
        targets.clear();
        start(cold("a"), cold("b"), cold("c"));
        advance(5_000);
        long[] permits = LongStream.range(11, 19).toArray();
        Arrays.stream(permits).forEach(this::ask);
        for (int tick = 0; tick < 5_000 / TICK_MILLIS; tick++) {
            advance(TICK_MILLIS);
            dispatcher.tick(now);
            if (tick % 40 == 0) {
                Arrays.stream(permits).forEach(this::ask);
            }
        }
        long granted = Arrays.stream(permits)
                .filter(permit -> decisions.get(permit) instanceof PlacementDecision.Granted)
                .count();
        assertThat(granted, is(both(greaterThan(0L)).and(lessThanOrEqualTo(6L))));
    }

    /** Items that ran together exceeded the limit that their target names: here one request at a time, in 4.2 s. */
    @Test
    void keepsTheRequestLimitOfATarget() {
        start(target("a", 8, 0), target("b", 8, 0), target("c", 8, 0));
        holdBack();
        confirm();
        for (TargetEntry entry : targets) {
            dispatcher.limits().report(new LimitReport(entry.id(), 0, OptionalDouble.of(0), now), now);
        }
        long[] permits = LongStream.range(11, 19).toArray();
        Arrays.stream(permits).forEach(this::ask);
        for (int tick = 0; tick < 12_000 / TICK_MILLIS; tick++) {
            advance(TICK_MILLIS);
            dispatcher.tick(now);
            if (tick % 40 == 0) {
                Arrays.stream(permits).forEach(this::ask);
            }
        }
        long granted = Arrays.stream(permits)
                .filter(permit -> decisions.get(permit) instanceof PlacementDecision.Granted)
                .count();
        assertThat(granted, is(both(greaterThan(0L)).and(lessThanOrEqualTo(3L))));
    }

    /** Lets two items crash a target each. */
    private void confirm() {
        for (long permit = 1; permit <= 2; permit++) {
            grantMillis(permit, OFFER_MILLIS);
            dispatcher.release("y", permit, PlaceOutcome.CRASHED, now);
            advance(4_000);
            dispatcher.tick(now);
        }
        assertThat(verdicts.get(verdicts.size() - 1).confirmed(), is(true));
    }

    /** Returns the entry of a target that has started again and takes one request a second. */
    private static TargetEntry cold(String id) {
        TargetEntry entry = target(id, 8, 60_000);
        return new TargetEntry(
                id, entry.service(), entry.address(), entry.domain(), entry.capacity(), false, 60_000, 1);
    }

    private void start(TargetEntry... added) {
        targets.addAll(Arrays.asList(added));
        dispatcher.targets(targets, service -> 1, now);
    }

    /** Returns the time until an item with the part is granted a place, in milliseconds, at most some time more. */
    private long grantMillis(long permit, long maxMillis) {
        long start = now;
        while (!(decisions.get(permit) instanceof PlacementDecision.Granted)
                && now - start <= TimeUnit.MILLISECONDS.toNanos(maxMillis)) {
            if (TimeUnit.NANOSECONDS.toMillis(now - start) % 500 == 0) {
                ask(permit);
            }
            advance(TICK_MILLIS);
            dispatcher.tick(now);
        }
        return TimeUnit.NANOSECONDS.toMillis(now - start);
    }

    private void ask(long permit) {
        dispatcher.ask(suspect(permit), now);
    }

    private Ask suspect(long permit, String... excluded) {
        return ask("y", permit, true, OFFER_MILLIS, "", Set.of(excluded)).withPrompt(prompt(PART, "own-" + permit));
    }

    /** Lets the part be accused: three crashes under different requests, and answers to others. */
    private void holdBack() {
        for (int run = 0; run < 3; run++) {
            long sentAt = now - TimeUnit.SECONDS.toNanos(9 - 2 * run);
            long brokeAt = sentAt + TimeUnit.MILLISECONDS.toNanos(100);
            Prompt prompt = prompt(PART, "earlier-" + run);
            dispatcher.crashed(new Crash("z/" + run, "z-" + run, "old-" + run, prompt, sentAt, brokeAt), now);
        }
        for (long permit = 10_001; permit <= 10_003; permit++) {
            dispatcher.ask(online(permit).withPrompt(prompt("sound", "answered-" + permit)), now);
            release(permit, PlaceOutcome.SERVED);
        }
        assertThat(quarantined.get(quarantined.size() - 1).held(), is(true));
    }

    private static Prompt prompt(String part, String own) {
        return new Prompt(List.of("first", part), own);
    }
}
