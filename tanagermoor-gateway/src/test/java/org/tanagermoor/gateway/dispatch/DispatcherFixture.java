package org.tanagermoor.gateway.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.BeforeEach;
import org.tanagermoor.gateway.fleet.TargetEntry;
import org.tanagermoor.kernel.setting.Address;
import org.tanagermoor.policy.prompt.Prompt;
import org.tanagermoor.policy.quarantine.Crash;
import org.tanagermoor.policy.quarantine.IsolatedRuns;
import org.tanagermoor.policy.quarantine.IsolationStep;
import org.tanagermoor.policy.quarantine.Quarantine;
import org.tanagermoor.policy.quarantine.QuarantineEntry;

/** A dispatcher with a simulated clock, and asks to it. */
abstract class DispatcherFixture {

    /** The service of the tests. */
    static final String SERVICE = "assistant";

    /** The ways in which the use of a place ends. */
    static final List<PlaceOutcome> OUTCOMES = List.of(PlaceOutcome.values());

    /** The permits of the asks that were decided after they had been queued, in the order of the decisions. */
    final List<String> decidedPermits = new ArrayList<>();

    /** The decisions on queued asks, by permit. */
    final Map<Long, PlacementDecision> decisions = new HashMap<>();

    /** What the holders do at the decision on a queued ask. */
    Consumer<Ask> onDecision = ask -> {};

    /** The recalled permits in the order of the recalls. */
    final List<Long> recalled = new ArrayList<>();

    /** The records of parts of prompts in the order of the decisions. */
    final List<QuarantineEntry> quarantined = new ArrayList<>();

    /** The beginnings and ends of trials. */
    final List<Trial> trials = new ArrayList<>();

    /** What was done for items with a part that is held back. */
    final List<IsolationStep> isolation = new ArrayList<>();

    /** What the runs of items at reserved targets showed. */
    final List<IsolatedRuns.Verdict> verdicts = new ArrayList<>();

    final TeamRates rates = TeamRates.of();

    /** The current time in nanoseconds. */
    long now = TimeUnit.SECONDS.toNanos(1_000);

    Dispatcher dispatcher = dispatcher();

    /** Gives the dispatcher two targets with two places each. */
    @BeforeEach
    void targets() {
        dispatcher.targets(List.of(target("a", 2, 0), target("b", 2, 0)), service -> 0, now);
    }

    /** Occupies all places with online requests 1 to 4. */
    void fill() {
        for (long permit = 1; permit <= 4; permit++) {
            ask(permit, false);
        }
    }

    /** Returns a dispatcher whose decisions on queued asks are recorded. */
    Dispatcher dispatcher() {
        return Dispatcher.of(
                new DispatchSink() {
                    /** {@inheritDoc} */
                    @Override
                    public void decided(Ask ask, PlacementDecision decision) {
                        decidedPermits.add(Long.toString(ask.permit()));
                        decisions.put(ask.permit(), decision);
                        onDecision.accept(ask);
                    }

                    /** {@inheritDoc} */
                    @Override
                    public void recall(String holder, long permit) {
                        recalled.add(permit);
                    }

                    /** {@inheritDoc} */
                    @Override
                    public void quarantineChanged(QuarantineEntry entry) {
                        quarantined.add(entry);
                    }

                    /** {@inheritDoc} */
                    @Override
                    public void trial(Trial trial) {
                        trials.add(trial);
                    }

                    /** {@inheritDoc} */
                    @Override
                    public void isolationChanged(String service, IsolationStep step) {
                        isolation.add(step);
                    }

                    /** {@inheritDoc} */
                    @Override
                    public void isolatedRunEnded(String service, String run, IsolatedRuns.Verdict verdict) {
                        verdicts.add(verdict);
                    }
                },
                rates,
                Quarantine.of());
    }

    /** Lets a part be accused: three crashes under different requests, and answers to others. */
    void holdBack(String part) {
        for (int run = 0; run < 3; run++) {
            long sentAt = now - TimeUnit.SECONDS.toNanos(9 - 2 * run);
            dispatcher.crashed(
                    new Crash(
                            part + "/" + run,
                            "z-" + run,
                            "old-" + part + run,
                            new Prompt(List.of("first", part), "earlier-" + run),
                            sentAt,
                            sentAt + TimeUnit.MILLISECONDS.toNanos(100)),
                    now);
        }
        for (long permit = 900_001; permit <= 900_003; permit++) {
            dispatcher.ask(online(permit).withPrompt(new Prompt(List.of("first"), "answered-" + permit)), now);
            release(permit, PlaceOutcome.SERVED);
        }
    }

    /** Advances the time by the given milliseconds. */
    void advance(long millis) {
        now += TimeUnit.MILLISECONDS.toNanos(millis);
    }

    /** Asks for a place for an online request or for an item of a job. */
    Optional<PlacementDecision> ask(long permit, boolean batch) {
        return dispatcher.ask(ask(permit, batch, 5_000, ""), now);
    }

    /** Returns a permit of holder x. */
    void release(long permit, PlaceOutcome outcome) {
        dispatcher.release("x", permit, outcome, now);
    }

    /** Asks for a place for an online request, and returns the target of the granted place. */
    String target(long permit) {
        return ((PlacementDecision.Granted) ask(permit, false).orElseThrow()).target();
    }

    /** Returns the ask of an item that must start within the given milliseconds to end in time. */
    static Ask item(long permit, long startMillis) {
        Ask ask = ask(permit, true, 10_000, "");
        long nanos = TimeUnit.MILLISECONDS.toNanos(startMillis);
        return new Ask(
                "x", permit, SERVICE, "", ask.domain(), 0, ask.waitNanos(), nanos, Work.NONE, true, false, Set.of());
    }

    /** Returns the ask of an online request at an instance in the given failure domain. */
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

    /** Returns the ask of a caller that comes back after a refusal. */
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

    /** Returns the ask of an online request. */
    static Ask online(long permit) {
        return ask(permit, false, 5_000, "");
    }

    /** Returns an ask of holder x. */
    static Ask ask(long permit, boolean batch, long waitMillis, String team) {
        return ask("x", permit, batch, waitMillis, team, Set.of());
    }

    /** Returns an ask of the given holder with excluded targets. */
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

    /** Returns the entry of a target that stays cold for the given milliseconds. */
    static TargetEntry target(String id, int capacity, long warmupMillis) {
        return new TargetEntry(id, SERVICE, Address.of("127.0.0.1", 1), "lisbon-a", capacity, false, warmupMillis, 0);
    }
}
