package org.tanagermoor.gateway.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.tanagermoor.gateway.fleet.TargetEntry;
import org.tanagermoor.kernel.setting.Address;

/** A dispatcher with a clock of its own, and what is asked of it. */
abstract class DispatcherFixture {

    /** The service of the tests. */
    static final String SERVICE = "assistant";

    /** The ways in which the use of a place ends. */
    static final List<PlaceOutcome> OUTCOMES = List.of(PlaceOutcome.values());

    /** The decisions that came later. */
    final List<String> later = new ArrayList<>();

    /** The verdicts that came later, by permit. */
    final Map<Long, PlacementDecision> verdicts = new HashMap<>();

    /** The recalled permits. */
    final List<Long> recalled = new ArrayList<>();

    /** The rates. */
    final TeamRates rates = TeamRates.of();

    /** The present time in nanoseconds. */
    long now = TimeUnit.SECONDS.toNanos(1_000);

    /** The dispatcher. */
    Dispatcher dispatcher = dispatcher();

    /** Gives the dispatcher two targets with two places each. */
    @BeforeEach
    void targets() {
        dispatcher.targets(List.of(target("a", 2, 0), target("b", 2, 0)), service -> 0, now);
    }

    /** Takes all places for online requests 1 to 4. */
    void fill() {
        for (long permit = 1; permit <= 4; permit++) {
            ask(permit, false);
        }
    }

    /** Returns a dispatcher that notes what it decides later. */
    Dispatcher dispatcher() {
        return Dispatcher.of(
                new Dispatcher.Sink() {
                    /** {@inheritDoc} */
                    @Override
                    public void decided(Ask ask, PlacementDecision verdict) {
                        later.add(Long.toString(ask.permit()));
                        verdicts.put(ask.permit(), verdict);
                    }

                    /** {@inheritDoc} */
                    @Override
                    public void recall(String holder, long permit) {
                        recalled.add(permit);
                    }
                },
                rates);
    }

    /** Lets time pass, in milliseconds. */
    void pass(long millis) {
        now += TimeUnit.MILLISECONDS.toNanos(millis);
    }

    /** Asks for a place. */
    Optional<PlacementDecision> ask(long permit, boolean batch) {
        return dispatcher.ask(ask(permit, batch, 5_000, ""), now);
    }

    /** Returns a permit. */
    void release(long permit, PlaceOutcome outcome) {
        dispatcher.release("x", permit, outcome, now);
    }

    /** Asks for a place for an online request, and returns the target that it got. */
    String target(long permit) {
        return ((PlacementDecision.Granted) ask(permit, false).orElseThrow()).target();
    }

    /** Returns the ask of an item that must begin within a time in milliseconds to end in time. */
    static Ask item(long permit, long beginMillis) {
        Ask ask = ask(permit, true, 10_000, "");
        long nanos = TimeUnit.MILLISECONDS.toNanos(beginMillis);
        return new Ask(
                "x", permit, SERVICE, "", ask.domain(), 0, ask.waitNanos(), nanos, Work.NONE, true, false, Set.of());
    }

    /** Returns the ask of an online request that an instance in a failure domain has. */
    static Ask inDomain(long permit, String domain) {
        Ask ask = online(permit);
        return new Ask(
                "x",
                permit,
                SERVICE,
                "",
                domain,
                0,
                ask.waitNanos(),
                ask.onTimeNanos(),
                Work.NONE,
                false,
                false,
                Set.of());
    }

    /** Returns the ask of a caller that comes back. */
    static Ask returning(long permit, long waitMillis) {
        Ask ask = ask(permit, false, waitMillis, "");
        return new Ask(
                ask.holder(),
                permit,
                SERVICE,
                "",
                ask.domain(),
                0,
                ask.waitNanos(),
                ask.onTimeNanos(),
                Work.NONE,
                false,
                true,
                Set.of());
    }

    /** Returns an online ask. */
    static Ask online(long permit) {
        return ask(permit, false, 5_000, "");
    }

    /** Returns an ask. */
    static Ask ask(long permit, boolean batch, long waitMillis, String team) {
        return ask("x", permit, batch, waitMillis, team, Set.of());
    }

    /** Returns an ask. */
    static Ask ask(String holder, long permit, boolean batch, long waitMillis, String team, Set<String> excluded) {
        return new Ask(
                holder,
                permit,
                SERVICE,
                team,
                "lisbon-a",
                0,
                TimeUnit.MILLISECONDS.toNanos(waitMillis),
                TimeUnit.MILLISECONDS.toNanos(240),
                Work.NONE,
                batch,
                false,
                excluded);
    }

    /** Returns a target. */
    static TargetEntry target(String id, int capacity, long warmupMillis) {
        return new TargetEntry(id, SERVICE, Address.of("127.0.0.1", 1), "lisbon-a", capacity, false, warmupMillis, 0);
    }
}
