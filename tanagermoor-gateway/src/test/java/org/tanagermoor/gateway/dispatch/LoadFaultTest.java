package org.tanagermoor.gateway.dispatch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.tanagermoor.gateway.fleet.FleetTeam;
import org.tanagermoor.gateway.fleet.TargetEntry;
import org.tanagermoor.gateway.forward.TargetLoad;
import org.tanagermoor.kernel.setting.Address;
import org.tanagermoor.policy.budget.RateLimit;

/** Guards against targets that get too few or too many requests by their pace, and teams that are charged too much. */
final class LoadFaultTest extends DispatcherFixture {

    private static final int USUAL_MILLIS = 20;

    private long permits = 10_000;

    /** The ways in which queued asks go without a place. */
    private enum Withdrawal {
        RETURNED,
        HOLDER_GONE,
        NOT_REPEATED
    }

    /**
     * An instance that dispatches again must not limit targets that started while another one dispatched: it has not
     * seen their answers.
     */
    @Test
    void usesAllPlacesWhenItDispatchesAgain() {
        reportSpeed();
        dispatcher.targets(List.of(restarted("a", 2), restarted("b", 2)), service -> 0, now);
        advance(60_000);
        dispatcher.takeOver(Map.of());
        assertThat(grantedAtOnce(4), is(4));
    }

    /** A target that started again must not get more requests because requests at its earlier process end. */
    @Test
    void countsNoPlaceOfAnEarlierProcess() {
        dispatcher.targets(List.of(target("a", 8, 0)), service -> 0, now);
        reportSpeed();
        LongStream.rangeClosed(1, 8).forEach(permit -> ask(permit, false));
        dispatcher.targets(List.of(restarted("a", 8)), service -> 0, now);
        LongStream.rangeClosed(1, 8).forEach(permit -> release(permit, PlaceOutcome.FAILED));
        advance(10_000);
        assertThat(grantedAtOnce(8), is(1));
    }

    /** A new target that answers nothing must not get more requests because callers leave. */
    @Test
    void admitsNoMoreWhenCallersLeaveBeforeTheFirstEvent() {
        reportSpeed();
        dispatcher.targets(List.of(restarted("a", 8)), service -> 0, now);
        for (int round = 0; round < 10; round++) {
            ask(++permits, false);
            advance(300);
            release(permits, PlaceOutcome.ABANDONED);
        }
        assertThat(grantedAtOnce(8), is(1));
    }

    /** A new target that cannot be reached at first must be tried every 2 s at least, as one that was up before. */
    @Test
    void triesANewTargetThatCannotBeReachedAtFirst() {
        reportSpeed();
        dispatcher.targets(List.of(restarted("a", 8)), service -> 0, now);
        long longest = 0;
        for (int attempt = 0; attempt < 6; attempt++) {
            long waited = 0;
            while (!granted(++permits)) {
                waited += 10;
                advance(10);
            }
            longest = Math.max(longest, waited);
            release(permits, PlaceOutcome.UNREACHABLE);
        }
        assertThat(longest, is(lessThanOrEqualTo(2_010L)));
    }

    /**
     * If all targets failed and then answer more slowly than before, that is the usual time; measured by the time
     * before, their answers would be late for ever.
     */
    @Test
    void learnsTheUsualTimeWhileAllTargetsArePaced() {
        reportSpeed();
        for (int round = 0; round < 8; round++) {
            ask(++permits, false);
            release(permits, PlaceOutcome.UNREACHABLE);
        }
        for (int round = 0; round < 200; round++) {
            advance(250);
            long one = ++permits;
            long other = ++permits;
            boolean oneGranted = granted(one);
            if (granted(other)) {
                serve(other, 3 * USUAL_MILLIS, 100);
            }
            if (oneGranted) {
                serve(one, 3 * USUAL_MILLIS, 100);
            }
        }
        assertThat(grantedAtOnce(4), is(4));
    }

    /** A target on a slow machine must regain all its places when it answers as usual for that machine. */
    @Test
    void givesASlowTargetAllItsPlacesBack() {
        reportSpeed();
        ask(1, false);
        release(1, PlaceOutcome.UNREACHABLE);
        ask(2, false);
        String other = target(2);
        advance(1_000);
        List<String> targets = new ArrayList<>(List.of("a", "b"));
        targets.remove(other);
        String slow = targets.get(0);
        dispatcher.targets(List.of(target(slow, 8, 0)), service -> 0, now);
        for (int round = 0; round < 100; round++) {
            advance(250);
            ask(++permits, false);
            serve(permits, 5 * USUAL_MILLIS / 2, 250);
        }
        assertThat(grantedAtOnce(8), is(8));
    }

    /** A team must not be served later for asks that were never granted a place. */
    @ParameterizedTest
    @EnumSource(Withdrawal.class)
    void chargesATeamForNoAskThatIsNotServed(Withdrawal withdrawal) {
        dispatcher.fairSharing(true);
        dispatcher.targets(List.of(target("a", 1, 0)), service -> 0, now);
        dispatcher.ask(request("x", 1, "other"), now);
        dispatcher.resync("y", List.of(), now);
        LongStream.range(10, 30).forEach(permit -> dispatcher.ask(request("y", permit, "one"), now));
        switch (withdrawal) {
            case RETURNED ->
                LongStream.range(10, 30).forEach(permit -> dispatcher.release("y", permit, PlaceOutcome.UNUSED, now));
            case HOLDER_GONE -> dispatcher.forget("y", now);
            case NOT_REPEATED -> {
                advance(1_000);
                dispatcher.tick(now);
            }
        }
        assertThat(dispatcher.waiting(), is(0));
        LongStream.range(100, 110).forEach(permit -> dispatcher.ask(request("x", permit, "two"), now));
        LongStream.range(200, 210).forEach(permit -> dispatcher.ask(request("x", permit, "one"), now));
        assertThat(serveQueued(1, 10).stream().filter(permit -> permit >= 200).count(), is(5L));
    }

    /** The asks of a team behind one that is withdrawn must move up, so that later ones do not overtake them. */
    @Test
    void keepsTheOrderOfATeamWhoseFirstAskIsWithdrawn() {
        dispatcher.fairSharing(true);
        dispatcher.targets(List.of(target("a", 1, 0)), service -> 0, now);
        dispatcher.ask(request("x", 1, "other"), now);
        LongStream.range(10, 20).forEach(permit -> dispatcher.ask(request("x", permit, "one"), now));
        LongStream.range(10, 15).forEach(permit -> release(permit, PlaceOutcome.UNUSED));
        LongStream.range(20, 25).forEach(permit -> dispatcher.ask(request("x", permit, "one"), now));
        assertThat(serveQueued(1, 10), is(LongStream.range(15, 25).boxed().toList()));
    }

    /** A team whose rate is 0 must not end the fair shares of the others. */
    @Test
    void keepsFairSharesBesideATeamWithoutRate() {
        rates.teams(
                List.of(
                        new FleetTeam("none", RateLimit.of(0, 10), true),
                        new FleetTeam("one", RateLimit.of(100, 1_000), true),
                        new FleetTeam("two", RateLimit.of(100, 1_000), true)),
                now);
        dispatcher.fairSharing(true);
        dispatcher.targets(List.of(target("a", 1, 0)), service -> 0, now);
        dispatcher.ask(request("x", 1, "none"), now);
        release(1, PlaceOutcome.SERVED);
        dispatcher.ask(request("x", 2, "none"), now);
        LongStream.range(100, 120).forEach(permit -> dispatcher.ask(request("x", permit, "one"), now));
        LongStream.range(200, 220).forEach(permit -> dispatcher.ask(request("x", permit, "two"), now));
        List<Long> served = serveQueued(2, 20);
        assertThat(
                served.toString(),
                served.stream().filter(permit -> permit >= 200).count(),
                is(10L));
    }

    /** A team whose rate is raised must not wait for its earlier charges at the old rate. */
    @Test
    void appliesARaisedRateToEarlierCharges() {
        rates.teams(
                List.of(
                        new FleetTeam("one", RateLimit.of(0.1, 1_000), true),
                        new FleetTeam("two", RateLimit.of(100, 1_000), true)),
                now);
        dispatcher.fairSharing(true);
        dispatcher.targets(List.of(target("a", 1, 0)), service -> 0, now);
        dispatcher.ask(request("x", 1, "two"), now);
        LongStream.range(10, 18).forEach(permit -> dispatcher.ask(request("x", permit, "one"), now));
        LongStream.range(20, 28).forEach(permit -> dispatcher.ask(request("x", permit, "two"), now));
        long running = 1;
        List<Long> first = serveQueued(running, 16);
        rates.teams(
                List.of(
                        new FleetTeam("one", RateLimit.of(100, 1_000), true),
                        new FleetTeam("two", RateLimit.of(100, 1_000), true)),
                now);
        // The rate limits admit all of the following asks.
        advance(10_000);
        LongStream.range(100, 120).forEach(permit -> dispatcher.ask(request("x", permit, "two"), now));
        LongStream.range(200, 220).forEach(permit -> dispatcher.ask(request("x", permit, "one"), now));
        List<Long> served = serveQueued(first.get(15), 16);
        assertThat(
                served.toString(),
                (int) served.stream().filter(permit -> permit >= 200).count(),
                is(greaterThanOrEqualTo(6)));
    }

    /** Lets both targets answer some requests, and report their speed. */
    private void reportSpeed() {
        for (int round = 0; round < 20; round++) {
            long one = ++permits;
            long other = ++permits;
            ask(one, false);
            ask(other, false);
            serve(one, USUAL_MILLIS, 100);
            serve(other, USUAL_MILLIS, 100);
        }
    }

    private void serve(long permit, int firstEventMillis, int workPercent) {
        dispatcher.release(
                "x",
                permit,
                PlaceOutcome.SERVED,
                new RunAnswer(
                        false,
                        TimeUnit.MILLISECONDS.toNanos(firstEventMillis),
                        10,
                        TimeUnit.MILLISECONDS.toNanos(500),
                        Optional.of(new LoadReport(new TargetLoad(1, 0, 8, workPercent), now))),
                now);
    }

    private boolean granted(long permit) {
        boolean granted = ask(permit, false)
                .filter(decision -> decision instanceof PlacementDecision.Granted)
                .isPresent();
        if (!granted) {
            release(permit, PlaceOutcome.UNUSED);
        }
        return granted;
    }

    /** Returns how many of some asks are granted a place at once. */
    private int grantedAtOnce(int asks) {
        Set<Long> granted = new HashSet<>();
        for (int number = 0; number < asks; number++) {
            if (granted(++permits)) {
                granted.add(permits);
            }
        }
        return granted.size();
    }

    /** Serves queued asks one after the other, the first one after a running request; returns them in their order. */
    private List<Long> serveQueued(long first, int count) {
        List<Long> served = new ArrayList<>();
        long running = first;
        while (served.size() < count) {
            decisions.clear();
            release(running, PlaceOutcome.SERVED);
            running = decisions.keySet().iterator().next();
            served.add(running);
        }
        return served;
    }

    private static TargetEntry restarted(String id, int capacity) {
        return new TargetEntry(id, SERVICE, Address.of("127.0.0.1", 1), "lisbon-a", capacity, false, 0, 1);
    }

    /** Returns the ask of a team for an online request that can wait for long. */
    private static Ask request(String holder, long permit, String team) {
        return new Ask(
                holder,
                permit,
                SERVICE,
                team,
                "lisbon-a",
                0,
                TimeUnit.MINUTES.toNanos(1),
                TimeUnit.MINUTES.toNanos(1),
                Work.NONE,
                false,
                false,
                Set.of());
    }
}
