package org.tanagermoor.gateway.rollout;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.not;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.tanagermoor.gateway.GatewayEvent;
import org.tanagermoor.policy.rollout.Rollout;
import org.tanagermoor.policy.rollout.RolloutPhase;
import org.tanagermoor.policy.rollout.RolloutView;
import org.tanagermoor.policy.rollout.RunReport;

/** Several instances that carry out orders over one store, on a simulated clock and with scripted decisions. */
final class RolloutsTest {

    private static final String SERVICE = "s";

    private static final RolloutPhase CANARY = new RolloutPhase.Canary();

    private static final RolloutPhase MOVING = new RolloutPhase.Moving();

    private static final RolloutPhase COMPLETED = new RolloutPhase.Completed();

    private static final RolloutPhase BAD = new RolloutPhase.RolledBack("bad");

    /** The ticks within which a decision is in the store and known to all instances. */
    private static final int SETTLE_TICKS = 8;

    /** The number of ticks of an instance in a second. */
    private static final int TICKS_PER_SECOND = 4;

    private long now = TimeUnit.SECONDS.toNanos(100);

    private final SimulatedStore store = new SimulatedStore(() -> now);

    private final List<SimulatedInstance> instances = new ArrayList<>();

    /** Starts two instances, of which the first dispatches, with targets of one version. */
    @BeforeEach
    void start() {
        store.put("targets", "old-1", SERVICE + " v1");
        store.put("targets", "old-2", SERVICE + " v1");
        instance("a").dispatching(true);
        instance("b");
        ticks(6 * TICKS_PER_SECOND);
    }

    /** An order is carried out in steps, each of which all instances obey and operators can read. */
    @Test
    void carriesOutAnOrder() {
        order("v2 20");
        ticks(SETTLE_TICKS);
        assertThat(status(), is("running v2"));
        assertThat(phases(), is(List.of(CANARY)));
        assertThat(usable(1), is(Set.of("old-1", "old-2", "new-1")));
        first().next(MOVING);
        ticks(SETTLE_TICKS);
        assertThat(status(), is("running v2"));
        assertThat(second().obeyed(SERVICE), is(Optional.of(MOVING)));
        first().next(COMPLETED);
        ticks(SETTLE_TICKS);
        assertThat(status(), is("completed v2"));
        assertThat(phases(), is(List.of(CANARY, MOVING, COMPLETED)));
        assertThat(state().replaced(), is(Set.of("v1")));
        assertThat(usable(0), is(Set.of("new-1")));
        assertThat(usable(1), is(Set.of("new-1")));
        assertThat(second().logged(GatewayEvent.ROLLOUT_ENDED), is(1L));
        assertThat(first().text(), is("s to v2: completed\n"));
    }

    /** A roll-back holds for all instances, and for targets that register later. */
    @Test
    void excludesARolledBackVersion() {
        order("v2 20");
        ticks(SETTLE_TICKS);
        first().next(BAD);
        ticks(SETTLE_TICKS);
        assertThat(status(), is("rolled_back v2"));
        assertThat(state().phase(), is(BAD));
        store.put("targets", "new-2", SERVICE + " v2");
        ticks(SETTLE_TICKS);
        assertThat(usable(0), is(Set.of("old-1", "old-2")));
        assertThat(usable(1), is(Set.of("old-1", "old-2")));
    }

    /** The rule of a rolled-back order holds after its removal until no target of the version is left. */
    @Test
    void excludesARolledBackVersionWhileItHasTargets() {
        order("v2 20");
        ticks(SETTLE_TICKS);
        first().next(BAD);
        ticks(SETTLE_TICKS);
        store.put("op", "rollout/" + SERVICE, "");
        ticks(SETTLE_TICKS);
        assertThat(usable(1), is(Set.of("old-1", "old-2")));
        store.put("targets", "new-1", "");
        ticks(5 * TICKS_PER_SECOND);
        assertThat(store.row(RolloutTable.TABLE, SERVICE).isEmpty(), is(true));
        assertThat(status(), is("rolled_back v2"));
        store.put("targets", "new-3", SERVICE + " v2");
        ticks(SETTLE_TICKS);
        assertThat(usable(1), is(Set.of("old-1", "old-2", "new-3")));
    }

    /**
     * Another instance goes on wherever the deciding one was lost, and no phase is left out or decided twice.
     *
     * @param lostAt The number of ticks after the order at which the deciding instance ends.
     * @param end The decision at the end.
     */
    @ParameterizedTest
    @MethodSource("losses")
    void goesOnAfterALoss(int lostAt, RolloutPhase end) {
        store.put("targets", "new-1", SERVICE + " v2");
        store.put("op", "rollout/" + SERVICE, "v2 20");
        List<RolloutPhase> script = new ArrayList<>(List.of(CANARY, MOVING, end));
        for (int tick = 0; tick < 40; tick++) {
            if (tick == lostAt) {
                instances.remove(0);
                first().dispatching(true);
            }
            first().next(script.get(Math.min(2, tick / 4)));
            ticks(1);
        }
        assertThat(status(), is((end.equals(COMPLETED) ? "completed" : "rolled_back") + " v2"));
        assertThat(phases(), is(List.of(CANARY, MOVING, end)));
    }

    private static Stream<Arguments> losses() {
        return IntStream.range(0, 14)
                .boxed()
                .flatMap(tick -> Stream.of(Arguments.of(tick, COMPLETED), Arguments.of(tick, BAD)));
    }

    /**
     * A commit whose answer is lost is read back: what took effect is obeyed, and what did not is written again.
     *
     * @param fault What is lost.
     * @param lostFor The number of ticks for which it is lost, from the decision on.
     */
    @ParameterizedTest
    @CsvSource({"LOSES_ANSWERS, 1", "LOSES_ANSWERS, 3", "LOSES_COMMITS, 1", "LOSES_COMMITS, 3", "AWAY, 1", "AWAY, 12"})
    void survivesLostAnswers(SimulatedStore.Fault fault, int lostFor) {
        store.put("targets", "new-1", SERVICE + " v2");
        store.put("op", "rollout/" + SERVICE, "v2 20");
        for (RolloutPhase phase : List.of(CANARY, MOVING, COMPLETED)) {
            first().run();
            first().next(phase);
            first().store().fault(fault);
            ticks(lostFor);
            first().store().fault(SimulatedStore.Fault.NONE);
            ticks(3 * SETTLE_TICKS);
            assertThat(state().phase(), is(phase));
        }
        assertThat(phases(), is(List.of(CANARY, MOVING, COMPLETED)));
        assertThat(first().usable(), is(Set.of("new-1")));
    }

    /** A move takes effect only once it is in the store, since other instances must be able to learn of it. */
    @ParameterizedTest
    @EnumSource(
            value = SimulatedStore.Fault.class,
            names = {"AWAY", "LOSES_COMMITS"})
    void movesOnlyOnceItIsWritten(SimulatedStore.Fault fault) {
        order("v2 20");
        ticks(SETTLE_TICKS);
        first().store().fault(fault);
        first().next(MOVING);
        ticks(20);
        assertThat(first().obeyed(SERVICE), is(Optional.of(CANARY)));
        first().store().fault(SimulatedStore.Fault.NONE);
        ticks(SETTLE_TICKS);
        assertThat(first().obeyed(SERVICE), is(Optional.of(MOVING)));
    }

    /** A bad verdict takes effect at once while the store is away, and is written when it is back. */
    @Test
    void rollsBackWithoutTheStore() {
        order("v2 20");
        ticks(SETTLE_TICKS);
        instances.forEach(instance -> instance.store().fault(SimulatedStore.Fault.AWAY));
        first().next(BAD);
        ticks(1);
        assertThat(usable(0), is(Set.of("old-1", "old-2")));
        assertThat(status(), is("running v2"));
        first().next(null);
        first().dispatching(false);
        second().dispatching(true);
        ticks(6 * TICKS_PER_SECOND);
        assertThat(second().lastView().stateFresh(), is(false));
        instances.forEach(instance -> instance.store().fault(SimulatedStore.Fault.NONE));
        ticks(2 * SETTLE_TICKS);
        assertThat(status(), is("rolled_back v2"));
        assertThat(usable(1), is(Set.of("old-1", "old-2")));
    }

    /**
     * The state counts as known only while the store answers, and once the order is written. The last answer is 2 s old
     * when the store goes away, since a call waits for changes.
     *
     * @param awaySeconds The time for which the store has been away.
     * @param fresh Whether the state still counts as known.
     */
    @ParameterizedTest
    @CsvSource({"1, true", "2, true", "4, false", "30, false"})
    void doesNotTrustAnOldState(int awaySeconds, boolean fresh) {
        order("v2 60");
        ticks(SETTLE_TICKS);
        assertThat(first().lastView().stateFresh(), is(true));
        first().store().fault(SimulatedStore.Fault.AWAY);
        ticks(awaySeconds * TICKS_PER_SECOND);
        assertThat(first().lastView().stateFresh(), is(fresh));
        first().store().fault(SimulatedStore.Fault.NONE);
        ticks(2 * TICKS_PER_SECOND);
        assertThat(first().lastView().stateFresh(), is(true));
    }

    /** An order that cannot be written is not acted upon. */
    @Test
    void doesNotTrustAStateThatWasNeverWritten() {
        order("v2 60");
        first().run();
        first().store().fault(SimulatedStore.Fault.LOSES_COMMITS);
        ticks(SETTLE_TICKS);
        assertThat(first().lastView().stateFresh(), is(false));
    }

    /** Of two instances that both believe that they decide, one prevails, and both obey it. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void agreesAfterAConflict(boolean badFirst) {
        order("v2 20");
        ticks(SETTLE_TICKS);
        first().next(MOVING);
        ticks(SETTLE_TICKS);
        second().dispatching(true);
        first().next(badFirst ? BAD : COMPLETED);
        second().next(badFirst ? COMPLETED : BAD);
        ticks(2 * SETTLE_TICKS);
        RolloutPhase end = badFirst ? BAD : COMPLETED;
        assertThat(phases(), is(List.of(CANARY, MOVING, end)));
        Set<String> serving = badFirst ? Set.of("old-1", "old-2") : Set.of("new-1");
        assertThat(usable(0), is(serving));
        assertThat(usable(1), is(serving));
    }

    /** A final phase is never left, whatever is decided later or by a new dispatcher. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void neverLeavesAFinalPhase(boolean completed) {
        order("v2 20");
        ticks(SETTLE_TICKS);
        first().next(completed ? COMPLETED : BAD);
        ticks(SETTLE_TICKS);
        List<RolloutPhase> before = phases();
        instances.remove(0);
        SimulatedInstance late = instance("c");
        for (SimulatedInstance instance : instances) {
            instance.dispatching(true).next(completed ? BAD : COMPLETED);
        }
        ticks(60 * TICKS_PER_SECOND);
        store.dropHistory();
        ticks(SETTLE_TICKS);
        assertThat(phases(), is(before));
        assertThat(late.usable(), is(completed ? Set.of("new-1") : Set.of("old-1", "old-2")));
    }

    /** The same revision of an order, read again after the history was dropped, is the same order. */
    @Test
    void takesAnOrderOnce() {
        order("v2 20");
        ticks(SETTLE_TICKS);
        Rollout before = first().rollout(SERVICE).orElseThrow();
        store.dropHistory();
        ticks(5 * TICKS_PER_SECOND);
        assertThat(first().logged(GatewayEvent.HISTORY_LOST), greaterThan(0L));
        assertThat(first().rollout(SERVICE).orElseThrow() == before, is(true));
        assertThat(first().logged(GatewayEvent.ROLLOUT_ORDERED), is(1L));
    }

    /**
     * An order in the middle of another one takes its place, and does not bring back the version that has not proved
     * itself.
     *
     * @param moving Whether the first order has come to its move, so that its version has proved itself.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void takesANewOrderInTheMiddle(boolean moving) {
        order("v2 20");
        ticks(SETTLE_TICKS);
        first().next(moving ? MOVING : null);
        ticks(SETTLE_TICKS);
        first().next(null);
        store.put("targets", "newer-1", SERVICE + " v3");
        store.put("op", "rollout/" + SERVICE, "v3 20");
        ticks(SETTLE_TICKS);
        assertThat(status(), is("running v3"));
        assertThat(first().obeyed(SERVICE), is(Optional.of(CANARY)));
        assertThat(usable(1).contains("new-1"), is(moving));
        assertThat(usable(1).contains("newer-1"), is(true));
        first().next(COMPLETED);
        ticks(SETTLE_TICKS);
        assertThat(status(), is("completed v3"));
        assertThat(usable(0), is(Set.of("newer-1")));
    }

    /** The same version can be ordered again after a roll-back. */
    @Test
    void takesTheSameVersionAgain() {
        order("v2 20");
        ticks(SETTLE_TICKS);
        first().next(BAD);
        ticks(SETTLE_TICKS);
        first().next(null);
        store.put("op", "rollout/" + SERVICE, "v2 20");
        ticks(SETTLE_TICKS);
        assertThat(status(), is("running v2"));
        assertThat(usable(1), is(Set.of("old-1", "old-2", "new-1")));
    }

    /**
     * An order that is withdrawn in the middle ends as rolled back, also if the deciding instance learnt of it from the
     * state alone.
     *
     * @param moving Whether it had come to its move.
     * @param lost Whether the deciding instance is lost together with the order.
     */
    @ParameterizedTest
    @CsvSource({"false, false", "true, false", "false, true", "true, true"})
    void rollsBackAWithdrawnOrder(boolean moving, boolean lost) {
        order("v2 20");
        ticks(SETTLE_TICKS);
        first().next(moving ? MOVING : null);
        ticks(SETTLE_TICKS);
        first().next(null);
        store.put("op", "rollout/" + SERVICE, "");
        if (lost) {
            instances.clear();
            instance("c").dispatching(true);
        }
        ticks(SETTLE_TICKS);
        assertThat(status(), is("rolled_back v2"));
        assertThat(usable(0), is(Set.of("old-1", "old-2")));
    }

    /**
     * An invalid order gets one line and changes nothing, also for an instance that starts later.
     *
     * @param after Whether a valid order ran before.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void ignoresAnInvalidOrder(boolean after) {
        if (after) {
            order("v2 20");
            ticks(SETTLE_TICKS);
        }
        String before = status();
        store.put("op", "rollout/" + SERVICE, "v3");
        SimulatedInstance late = instance("c");
        ticks(10 * TICKS_PER_SECOND);
        store.dropHistory();
        ticks(SETTLE_TICKS);
        assertThat(status(), is(before));
        assertThat(first().logged(GatewayEvent.ROLLOUT_ORDER_INVALID), is(1L));
        assertThat(late.obeyed(SERVICE), is(after ? Optional.of(CANARY) : Optional.empty()));
    }

    /** An order without targets of its version is taken and waits for them. */
    @Test
    void waitsForTargets() {
        first().places(new RolloutView(0, 2, 3, true, true));
        store.put("op", "rollout/" + SERVICE, "v2 20");
        ticks(SETTLE_TICKS);
        assertThat(status(), is("running v2"));
        assertThat(first().logged(GatewayEvent.ROLLOUT_WAITING), is(1L));
        store.put("targets", "new-1", SERVICE + " v2");
        ticks(1);
        assertThat(usable(1).contains("new-1"), is(true));
    }

    /** An order to the only version that there is must not end in a roll-back that leaves no target. */
    @Test
    void completesAnOrderToTheVersionInUse() {
        first().places(new RolloutView(4, 2, 0, true, true));
        store.put("op", "rollout/" + SERVICE, "v1 20");
        ticks(2 * SETTLE_TICKS);
        assertThat(status(), is("completed v1"));
        assertThat(usable(0), is(Set.of("old-1", "old-2")));
    }

    /** The decision gets what the dispatcher sees, on which the completion depends. */
    @Test
    void passesTheUseOfPlacesOn() {
        order("v2 20");
        first().places(new RolloutView(7, 5, 1, false, true));
        ticks(SETTLE_TICKS);
        assertThat(first().lastView().newPlaces(), is(7));
        assertThat(first().lastView().placesInUse(), is(5));
        assertThat(first().lastView().oldPlacesInUse(), is(1));
        assertThat(first().lastView().allReported(), is(false));
    }

    /** An instance that saw an order late counts from the time that the row tells, not from its own. */
    @Test
    void continuesTheTimeOfAnOrder() {
        order("v2 60");
        ticks(20 * TICKS_PER_SECOND);
        first().next(MOVING);
        ticks(SETTLE_TICKS);
        instances.clear();
        SimulatedInstance late = instance("c").dispatching(true);
        ticks(SETTLE_TICKS);
        long elapsed = late.rollout(SERVICE).orElseThrow().elapsed(now).toMillis();
        assertThat(elapsed, is(allOf(greaterThanOrEqualTo(20_000L), lessThan(26_000L))));
    }

    /** A version that appears before its order gets no request until the order is known or 2 s are over. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void withholdsANewVersion(boolean ordered) {
        store.put("targets", "new-1", SERVICE + " v2");
        ticks(1);
        store.put("targets", "new-2", SERVICE + " v2");
        ticks(TICKS_PER_SECOND);
        assertThat(usable(0), is(Set.of("old-1", "old-2")));
        if (ordered) {
            store.put("op", "rollout/" + SERVICE, "v2 20");
            ticks(1);
            assertThat(first().obeyed(SERVICE), is(Optional.of(CANARY)));
        } else {
            ticks(2 * TICKS_PER_SECOND);
        }
        assertThat(usable(0), is(Set.of("old-1", "old-2", "new-1", "new-2")));
    }

    /** Targets that start together with their service, or of a version that it has had, are not withheld. */
    @Test
    void doesNotWithholdOtherTargets() {
        store.put("targets", "old-3", SERVICE + " v1");
        store.put("targets", "first-1", "other v1");
        ticks(1);
        store.put("targets", "first-2", "other v2");
        ticks(1);
        assertThat(usable(0), is(Set.of("old-1", "old-2", "old-3", "first-1", "first-2")));
    }

    /**
     * The evidence decides, and the completion waits until nothing is left at old targets and each instance has
     * reported.
     *
     * @param oldPlaces The places at old targets that stay in use.
     * @param reported Whether all instances report.
     */
    @ParameterizedTest
    @CsvSource({"0, true", "1, true", "0, false"})
    void completesOnlyWhenNothingIsLeft(int oldPlaces, boolean reported) {
        first().decideByEvidence();
        order("v2 20");
        first().places(new RolloutView(40, 10, 10, true, true));
        serve(15 * TICKS_PER_SECOND, 1);
        assertThat(phases(), is(List.of(CANARY, MOVING)));
        first().places(new RolloutView(40, 10, oldPlaces, reported, true));
        serve(10 * TICKS_PER_SECOND, 1);
        boolean completes = oldPlaces == 0 && reported;
        assertThat(status(), is(completes ? "completed v2" : "running v2"));
        first().places(new RolloutView(40, 10, 0, true, true));
        serve(4 * TICKS_PER_SECOND, 1);
        assertThat(status(), is("completed v2"));
    }

    /** A version that fails a fifth of its answers is rolled back, and operators see why. */
    @Test
    void rollsBackABadVersion() {
        first().decideByEvidence();
        order("v2 20");
        first().places(new RolloutView(40, 10, 10, true, true));
        serve(20 * TICKS_PER_SECOND, 5);
        assertThat(status(), is("rolled_back v2"));
        assertThat(usable(1), is(Set.of("old-1", "old-2")));
        assertThat(first().logged(GatewayEvent.ROLLOUT_DECIDED), is(1L));
        assertThat(first().text(), containsString("s to v2: rolled back (bad on "));
        assertThat(
                first().metrics(),
                allOf(
                        containsString("tanagermoor_rollout_requests_total{service=\"s\",side=\"new\"}"),
                        containsString("tanagermoor_rollout_requests_total{service=\"s\",side=\"old\"}"),
                        containsString("tanagermoor_rollout_bad_answers_total{service=\"s\",side=\"new\"}")));
    }

    /** Operators see a running order with its evidence. */
    @Test
    void describesARunningOrder() {
        order("v2 20");
        ticks(SETTLE_TICKS);
        assertThat(
                first().text(),
                allOf(
                        containsString("s to v2: canary, "),
                        containsString(" of 20000 ms, decided by dispatcher, written by a"),
                        containsString("\n  evidence here: "),
                        not(containsString("null"))));
    }

    private SimulatedInstance instance(String name) {
        SimulatedInstance instance = new SimulatedInstance(name, store, () -> now);
        instances.add(instance);
        return instance;
    }

    private SimulatedInstance first() {
        return instances.get(0);
    }

    private SimulatedInstance second() {
        return instances.get(1);
    }

    /** Writes an order, after a target of its version. */
    private void order(String order) {
        store.put("targets", "new-1", SERVICE + " " + order.substring(0, order.indexOf(' ')));
        store.put("op", "rollout/" + SERVICE, order);
    }

    /** Advances the clock by a number of ticks of all instances. */
    private void ticks(int count) {
        for (int tick = 0; tick < count; tick++) {
            now += SimulatedStore.STEP_NANOS;
            store.tick();
            instances.forEach(SimulatedInstance::tick);
            instances.forEach(SimulatedInstance::run);
        }
    }

    /**
     * Lets the first instance place 50 requests in each tick, all of which are answered in it.
     *
     * @param count The number of ticks.
     * @param failEvery The new version fails each request with this position among its requests; 1 for none.
     */
    private void serve(int count, int failEvery) {
        int served = 0;
        for (int tick = 0; tick < count; tick++) {
            Optional<Rollout> rollout = first().rollout(SERVICE);
            for (int request = 0; rollout.isPresent() && request < 50; request++) {
                Rollout running = rollout.get();
                running.active(List.of("new-1", "new-2"), 10, now);
                boolean newVersion = running.offerNew("r", now);
                String target = newVersion ? "new-" + (1 + served % 2) : "old-" + (1 + request % 2);
                served += newVersion ? 1 : 0;
                boolean failed = newVersion && failEvery > 1 && served % failEvery == 0;
                running.placed("r", newVersion, target, now);
                running.ended(new RunReport("r", newVersion, target, failed, 20_000_000, 1_000_000), now);
            }
            ticks(1);
        }
    }

    private Set<String> usable(int instance) {
        return instances.get(instance).usable();
    }

    private String status() {
        return store.text("status", "rollout/" + SERVICE);
    }

    private RolloutState state() {
        return RolloutCodec.fromRow(
                        SERVICE,
                        store.row(RolloutTable.TABLE, SERVICE).orElseThrow().value())
                .get();
    }

    /** Returns the phases that the row has had, without repetitions. */
    private List<RolloutPhase> phases() {
        List<RolloutPhase> phases = new ArrayList<>();
        for (byte[] value : store.values(RolloutTable.TABLE, SERVICE)) {
            RolloutPhase phase = RolloutCodec.fromRow(SERVICE, value).get().phase();
            if (phases.isEmpty() || !phases.get(phases.size() - 1).equals(phase)) {
                phases.add(phase);
            }
        }
        return phases;
    }
}
