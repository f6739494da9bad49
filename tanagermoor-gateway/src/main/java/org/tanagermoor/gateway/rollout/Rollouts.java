package org.tanagermoor.gateway.rollout;

import com.codahale.metrics.MetricRegistry;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.tanagermoor.gateway.FleetState;
import org.tanagermoor.gateway.GatewayEvent;
import org.tanagermoor.gateway.fleet.RolloutEntry;
import org.tanagermoor.gateway.follow.TableFollower;
import org.tanagermoor.kernel.event.EventLog;
import org.tanagermoor.policy.rollout.Rollout;
import org.tanagermoor.policy.rollout.RolloutEvidence;
import org.tanagermoor.policy.rollout.RolloutLimits;
import org.tanagermoor.policy.rollout.RolloutPhase;
import org.tanagermoor.policy.rollout.RolloutView;

/**
 * Joins the orders for roll-outs, their state in the store and the dispatcher. Each instance obeys the phase in the
 * store; the one that dispatches decides on the next phase and writes it. A phase other than a roll-back takes effect
 * once its write is acknowledged; a roll-back takes effect at once at the instance that decided it. Confined to the
 * event loop.
 */
public final class Rollouts {

    /** The age from which the state counts as unknown, in nanoseconds: nothing new goes to the new version then. */
    private static final long FRESH_NANOS = TimeUnit.SECONDS.toNanos(5);

    /** The minimum time between two writes that only tell new counts, in nanoseconds. */
    private static final long COUNT_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final FleetState fleet;

    private final RolloutTable table;

    private final RolloutDispatch dispatch;

    private final RolloutLimits limits;

    /** Returns the revision up to which the operator table is known; 0 before the first copy. */
    private final LongSupplier ordersRevision;

    /** The name of this instance. */
    private final String self;

    private final EventLog events;

    private final RolloutMetrics metrics;

    /** Decides on the next phase of a roll-out; replaced in tests of what follows from a decision. */
    private Decision decision = Rollout::decide;

    /** The orders that are known, also those that have ended, by service. */
    private final Map<String, RolloutRun> runs = new TreeMap<>();

    private Rollouts(
            FleetState fleet,
            RolloutTable table,
            RolloutDispatch dispatch,
            RolloutLimits limits,
            LongSupplier ordersRevision,
            String self,
            EventLog events,
            MetricRegistry registry) {
        this.fleet = fleet;
        this.table = table;
        this.dispatch = dispatch;
        this.limits = limits;
        this.ordersRevision = ordersRevision;
        this.self = self;
        this.events = events;
        metrics = new RolloutMetrics(registry);
    }

    /**
     * Returns roll-outs that have not begun.
     *
     * @param fleet The orders and the targets.
     * @param table The states in the store.
     * @param dispatch The dispatcher of this instance.
     * @param limits The bounds on what a bad version may get.
     * @param ordersRevision Returns the revision up to which the operator table is known; 0 before the first copy.
     * @param self The name of this instance.
     * @param events The log.
     * @param registry The metrics.
     */
    public static Rollouts of(
            FleetState fleet,
            RolloutTable table,
            RolloutDispatch dispatch,
            RolloutLimits limits,
            LongSupplier ordersRevision,
            String self,
            EventLog events,
            MetricRegistry registry) {
        return new Rollouts(fleet, table, dispatch, limits, ordersRevision, self, events, registry);
    }

    /** Replaces what decides on the next phases. */
    void decision(Decision value) {
        decision = value;
    }

    /** Starts to follow the states in the store. */
    public void start() {
        table.start();
    }

    /** Stops following the states in the store. */
    public void stop() {
        table.stop();
    }

    /** Returns what follows the states, so that other instances can be given the copy of this one. */
    public TableFollower follower() {
        return table.follower();
    }

    /**
     * Takes new orders and states over, and as the dispatcher decides on the next phases and writes what has changed.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    public void tick(long now) {
        update(now);
        boolean deciding = dispatch.dispatching(now);
        runs.values().forEach(run -> step(run, deciding, now));
        if (deciding) {
            removeFinished();
        }
        publish();
    }

    /**
     * Takes new orders and states over without deciding anything. Called after each change of the orders, the targets
     * or the states.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    public void changed(long now) {
        update(now);
        publish();
    }

    /**
     * Describes the roll-outs for operators.
     *
     * @param now The current monotonic time in nanoseconds.
     * @return One line for each order, and one with the evidence for each that runs.
     */
    public String text(long now) {
        StringBuilder text = new StringBuilder();
        String dispatcher = dispatch.dispatcher(now);
        for (RolloutRun run : runs.values()) {
            RolloutPhase phase = run.phase();
            text.append(run.order().service())
                    .append(" to ")
                    .append(run.order().version())
                    .append(": ")
                    .append(name(phase));
            if (phase instanceof RolloutPhase.RolledBack rolledBack) {
                text.append(" (").append(rolledBack.reason()).append(')');
            }
            if (phase.isFinal()) {
                text.append('\n');
                continue;
            }
            text.append(", ")
                    .append(run.rollout().elapsed(now).toMillis())
                    .append(" of ")
                    .append(run.order().duration().toMillis())
                    .append(" ms, decided by ")
                    .append(dispatcher);
            known(run)
                    .ifPresent(entry -> text.append(", written by ")
                            .append(entry.state().writer())
                            .append(": ")
                            .append(entry.state().newRequests())
                            .append(" requests, ")
                            .append(entry.state().newBadAnswers())
                            .append(" bad"));
            text.append('\n');
            RolloutEvidence evidence = run.rollout().evidence(now);
            text.append("  evidence here: ").append(evidence).append('\n');
        }
        return text.toString();
    }

    /** Brings the known orders and their phases up to date with the operator table and the states. */
    private void update(long now) {
        Set<String> services = new TreeSet<>(fleet.orders().keySet());
        services.addAll(table.services());
        runs.keySet().retainAll(services);
        for (String service : services) {
            RolloutRun run = current(service, now);
            known(run).ifPresent(entry -> run.adopt(entry, now));
            logPhase(run, now);
        }
    }

    /**
     * Returns the order that counts for a service: that of the operator table, or that of the state if the operator
     * table is known to be outdated, or holds no valid order.
     */
    private RolloutRun current(String service, long now) {
        Optional<RolloutEntry> ordered = Optional.ofNullable(fleet.orders().get(service));
        RolloutEntry entry = table.entry(service)
                .map(RolloutTable.Entry::state)
                .filter(state ->
                        ordered.isEmpty() || state.revision() > ordered.get().revision())
                .map(state -> new RolloutEntry(state.order(), state.revision()))
                .or(() -> ordered)
                .orElseThrow();
        RolloutRun known = runs.get(service);
        if (known == null || known.revision() != entry.revision()) {
            known = new RolloutRun(entry.revision(), entry.order(), limits, now);
            runs.put(service, known);
            // The new version gets nothing before the next check has found the state written and current.
            decision.next(known.rollout(), new RolloutView(0, 0, 0, false, false), now);
        }
        return known;
    }

    /** Returns the row about an order; empty if there is none yet. */
    private Optional<RolloutTable.Entry> known(RolloutRun run) {
        return table.entry(run.order().service()).filter(entry -> entry.state().revision() == run.revision());
    }

    /** Decides on the next phase of a roll-out, and writes what has changed. */
    private void step(RolloutRun run, boolean deciding, long now) {
        Optional<RolloutTable.Entry> known = known(run);
        if (known.isPresent() && known.get().state().phase().isFinal()) {
            return;
        }
        if (run.ended()) {
            // A roll-back that was decided here is written also if another instance dispatches meanwhile.
            write(run, run.phase(), now);
            return;
        }
        boolean fresh = known.isPresent() && table.answeredWithin(FRESH_NANOS, now);
        RolloutView view = dispatch.view(run.order().service(), fresh, now);
        Optional<RolloutPhase> next = decision.next(run.rollout(), view, now);
        if (!deciding) {
            return;
        }
        RolloutEvidence evidence = run.rollout().evidence(now);
        metrics.update(run, evidence);
        if (known.isPresent() || run.rollout().elapsed(now).toNanos() > FRESH_NANOS) {
            logWaiting(run, view);
        }
        if (withdrawn(run)) {
            next = Optional.of(new RolloutPhase.RolledBack("the order was withdrawn"));
        }
        if (next.isEmpty() && evidence.newRequests() == 0 && view.oldPlacesInUse() == 0 && nothingToMove(run, now)) {
            next = Optional.of(new RolloutPhase.Completed());
        }
        if (next.isPresent()) {
            decided(run, next.get(), evidence, now);
        } else if (known.isEmpty()) {
            write(run, run.phase(), now);
        } else if (run.countsChanged(evidence) && run.sinceWrite(now) >= COUNT_INTERVAL_NANOS) {
            write(run, run.phase(), now);
        }
    }

    /** Applies a decision as far as it takes effect at once, and writes it. */
    private void decided(RolloutRun run, RolloutPhase next, RolloutEvidence evidence, long now) {
        if (table.writing(run.order().service()) && !(next instanceof RolloutPhase.RolledBack)) {
            return;
        }
        events.record(
                GatewayEvent.ROLLOUT_DECIDED,
                "service",
                run.order().service(),
                "to",
                run.order().version(),
                "phase",
                name(next),
                "reason",
                reason(next),
                "evidence",
                evidence);
        if (next instanceof RolloutPhase.RolledBack) {
            run.rollout().adopt(next, now);
            logPhase(run, now);
        }
        write(run, next, now);
    }

    /**
     * Returns whether the order was removed: the copy of the operator table is not older than the order, and has no row
     * of it.
     */
    private boolean withdrawn(RolloutRun run) {
        String service = run.order().service();
        return !fleet.orders().containsKey(service)
                && !fleet.invalidOrder(service)
                && ordersRevision.getAsLong() >= run.revision();
    }

    /**
     * Returns whether no other version than the ordered one has served the service, apart from versions that an earlier
     * order has replaced. There is nothing to compare it with then, and to wait for a verdict until the deadline would
     * end in a roll-back that leaves the service without a target.
     */
    private boolean nothingToMove(RolloutRun run, long now) {
        String service = run.order().service();
        Set<String> only = Set.of(run.order().version());
        Set<String> had = new HashSet<>(fleet.pastVersions(service));
        had.removeAll(carried(run));
        return run.phase() instanceof RolloutPhase.Canary
                && had.equals(only)
                && fleet.versions(service).equals(only)
                && fleet.established(service, now);
    }

    /** Writes a phase, unless the outcome of an earlier write is not known yet or the store has not been read. */
    private void write(RolloutRun run, RolloutPhase phase, long now) {
        String service = run.order().service();
        if (!table.known() || ordersRevision.getAsLong() == 0 || table.writing(service)) {
            return;
        }
        RolloutState known = known(run).map(RolloutTable.Entry::state).orElse(null);
        table.write(run.toState(phase, replaced(run, phase), known, self, now));
    }

    /**
     * Returns the versions other than the ordered one that get no requests: those that an earlier order excluded or
     * left unproven, while they have targets, and once the order is completed all others.
     */
    private Set<String> replaced(RolloutRun run, RolloutPhase phase) {
        Set<String> result = new HashSet<>(carried(run));
        Set<String> present = fleet.versions(run.order().service());
        result.retainAll(present);
        if (phase instanceof RolloutPhase.Completed) {
            result.addAll(present);
        }
        result.remove(run.order().version());
        return Set.copyOf(result);
    }

    /** Returns the versions that get no requests because of what the state says of this order or an earlier one. */
    private Set<String> carried(RolloutRun run) {
        Optional<RolloutState> state = table.entry(run.order().service()).map(RolloutTable.Entry::state);
        if (state.isEmpty()) {
            return Set.of();
        }
        return state.get().revision() == run.revision()
                ? state.get().replaced()
                : state.get().unproven();
    }

    /** Removes the states of orders that have ended and were removed, once their excluded versions have no targets. */
    private void removeFinished() {
        for (RolloutRun run : runs.values()) {
            String service = run.order().service();
            Optional<RolloutState> state = known(run).map(RolloutTable.Entry::state);
            boolean over = state.filter(found -> found.phase().isFinal()).isPresent() && withdrawn(run);
            if (over && !table.writing(service)) {
                Set<String> left = new HashSet<>(fleet.versions(service));
                left.retainAll(state.get().excluded());
                if (left.isEmpty()) {
                    table.remove(service);
                }
            }
        }
    }

    /** Passes the roll-outs on to the dispatcher, and the excluded versions on to the targets. */
    private void publish() {
        Map<String, Rollout> rollouts = new HashMap<>();
        Map<String, Set<String>> replaced = new HashMap<>();
        Map<String, Set<String>> excluded = new HashMap<>();
        runs.forEach((service, run) -> {
            rollouts.put(service, run.rollout());
            if (run.phase() instanceof RolloutPhase.Completed) {
                replaced.put(service, carried(run));
            }
            Set<String> versions = new HashSet<>(carried(run));
            if (run.phase() instanceof RolloutPhase.RolledBack) {
                versions.add(run.order().version());
            } else {
                versions.remove(run.order().version());
            }
            if (!versions.isEmpty()) {
                excluded.put(service, Set.copyOf(versions));
            }
        });
        dispatch.rollouts(Map.copyOf(rollouts), Map.copyOf(replaced));
        fleet.exclude(excluded);
    }

    private void logPhase(RolloutRun run, long now) {
        RolloutPhase phase = run.phaseToLog();
        if (phase == null) {
            return;
        }
        String source = known(run).map(entry -> entry.state().writer()).orElse(self);
        events.record(
                phase.isFinal() ? GatewayEvent.ROLLOUT_ENDED : GatewayEvent.ROLLOUT_PHASE_CHANGED,
                "service",
                run.order().service(),
                "to",
                run.order().version(),
                "revision",
                run.revision(),
                "phase",
                name(phase),
                "reason",
                reason(phase),
                "elapsed-ms",
                run.rollout().elapsed(now).toMillis(),
                "writer",
                source);
    }

    /** Records why a roll-out cannot proceed, if that has changed. */
    private void logWaiting(RolloutRun run, RolloutView view) {
        String reason = waitingFor(run.phase(), view);
        if (run.waitsFor(reason)) {
            events.record(
                    GatewayEvent.ROLLOUT_WAITING,
                    "service",
                    run.order().service(),
                    "to",
                    run.order().version(),
                    "phase",
                    name(run.phase()),
                    "reason",
                    reason);
        }
    }

    private static String waitingFor(RolloutPhase phase, RolloutView view) {
        if (!view.stateFresh()) {
            return "the state in the store has not been read or written for 5 s";
        }
        if (phase instanceof RolloutPhase.Canary) {
            return view.newPlaces() == 0
                    ? "there is no usable target of the version"
                    : view.newPlaces() < view.placesInUse()
                            ? "the targets of the version have fewer places than the service has in use"
                            : "";
        }
        return !view.allReported()
                ? "not all instances have reported their places"
                : view.oldPlacesInUse() > 0 ? "places at targets of other versions are in use" : "";
    }

    /** Returns the name of a phase for people. */
    private static String name(RolloutPhase phase) {
        return switch (phase) {
            case RolloutPhase.Canary canary -> "canary";
            case RolloutPhase.Moving moving -> "moving";
            case RolloutPhase.Completed completed -> "completed";
            case RolloutPhase.RolledBack rolledBack -> "rolled back";
        };
    }

    private static String reason(RolloutPhase phase) {
        return phase instanceof RolloutPhase.RolledBack rolledBack ? rolledBack.reason() : "";
    }

    /** Decides on the next phase of a roll-out. */
    @FunctionalInterface
    interface Decision {

        /** Returns the next phase if it is due. */
        Optional<RolloutPhase> next(Rollout rollout, RolloutView view, long now);
    }
}
