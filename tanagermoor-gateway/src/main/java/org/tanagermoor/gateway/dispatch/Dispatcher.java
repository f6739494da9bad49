package org.tanagermoor.gateway.dispatch;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;
import org.tanagermoor.gateway.fleet.TargetEntry;
import org.tanagermoor.policy.quarantine.Crash;
import org.tanagermoor.policy.quarantine.IsolationEnd;
import org.tanagermoor.policy.quarantine.Quarantine;
import org.tanagermoor.policy.rollout.Rollout;

/**
 * Decides which ask gets a place at which target. Engines admit requests in the order of arrival and without
 * priorities, so the queue is kept here, and a request is sent only when a place is free. Designed for bursts of online
 * requests above what the targets run at once: a caller that cannot be served on time is refused at once and comes back
 * when the burst is over; a caller that came back once is served first and may wait slightly longer; items of jobs
 * yield. Not thread-safe.
 */
public final class Dispatcher {

    /**
     * How long an ask stays queued if its holder does not repeat it, in nanoseconds: three intervals in which a holder
     * repeats it.
     */
    private static final long ASK_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(900);

    /** The same for an item of a job, whose holder repeats the ask once a second. */
    private static final long BATCH_ASK_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(3);

    /** How long an item of a job waits if it excludes all usable targets, in nanoseconds; it then asks for any. */
    private static final long EXCLUDED_WAIT_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** The time after which a caller is told to come back when no target is known, in milliseconds. */
    private static final long NO_TARGET_RETRY_MILLIS = 500;

    /** The queues by the name of the service. */
    private final Map<String, ServiceQueue> services = new HashMap<>();

    /** The granted places that are in use, by holder and number of the permit. */
    private final Map<String, Map<Long, Grant>> occupied = new HashMap<>();

    /** Whether online requests are served by fair shares of their teams. */
    private boolean fairSharing;

    /** Whether items of jobs are granted no places, because not all places in use are known. */
    private boolean batchPaused;

    /** The queues whose asks are being granted places. */
    private final Set<ServiceQueue> draining = new HashSet<>();

    /** The queues in which a place may have become free meanwhile. */
    private final Set<ServiceQueue> drainAgain = new HashSet<>();

    private final TargetLimits limits;

    /** Receives the decisions on queued asks, and the recalls. */
    private final DispatchSink sink;

    private final Recalls recalls;

    private final TeamRates rates;

    /** Holds back parts of prompts that crash targets. */
    private final PartGuard parts;

    private Dispatcher(DispatchSink sink, TeamRates rates, Quarantine quarantine) {
        this.sink = sink;
        this.rates = rates;
        limits = new TargetLimits(services, rates, this::drain);
        recalls = new Recalls(occupied, sink);
        parts = new PartGuard(quarantine, sink::quarantineChanged);
    }

    /**
     * Returns a dispatcher without targets.
     *
     * @param sink Receives the decisions on queued asks, and the recalls.
     * @param rates The rate limits of the teams.
     * @param quarantine The parts of prompts that are held back; changed by what is learnt of targets.
     * @return A dispatcher.
     */
    public static Dispatcher of(DispatchSink sink, TeamRates rates, Quarantine quarantine) {
        return new Dispatcher(sink, rates, quarantine);
    }

    /**
     * Replaces the targets that may be used.
     *
     * @param targets The targets.
     * @param coldPerSecond The requests per second that a cold target of a service can handle.
     * @param now The current monotonic time in nanoseconds.
     */
    public void targets(Collection<TargetEntry> targets, ToDoubleFunction<String> coldPerSecond, long now) {
        Map<String, Set<String>> current = new HashMap<>();
        for (TargetEntry entry : targets) {
            current.computeIfAbsent(entry.service(), name -> new HashSet<>()).add(entry.id());
            Map<String, TargetPlaces> places = queue(entry.service()).places();
            TargetPlaces place = places.get(entry.id());
            if (place != null && place.entry().startedAtMillis() == entry.startedAtMillis()) {
                if (!place.entry().equals(entry)) {
                    place.update(entry, now);
                }
            } else {
                double cold = coldPerSecond.applyAsDouble(entry.service());
                queue(entry.service()).start(entry, cold, recalls.grants(entry.service()), now);
                limits.started(entry, now);
            }
        }
        services.forEach((name, queue) -> queue.places()
                .keySet()
                .removeIf(id -> !current.getOrDefault(name, Set.of()).contains(id)));
        services.values().forEach(queue -> {
            queue.rollout().targetsChanged();
            drain(queue, now);
        });
    }

    /** Returns the request limits of the targets. */
    TargetLimits limits() {
        return limits;
    }

    /**
     * Replaces the roll-outs. The rules of an ended one hold until it is replaced, and afterwards while there are
     * targets of the versions that it excludes.
     *
     * @param rollouts The roll-outs by the name of the service, including ended ones whose order is not removed.
     */
    public void rollouts(Map<String, Rollout> rollouts) {
        rollouts.keySet().forEach(this::queue);
        services.forEach((name, queue) -> queue.rollout().update(rollouts.get(name)));
    }

    /**
     * Sets the versions that completed roll-outs have replaced. For a service without any, they are those of the
     * targets that are known when the completion is first seen.
     *
     * @param versions The versions by the name of the service.
     */
    public void replacedVersions(Map<String, Set<String>> versions) {
        services.forEach((name, queue) -> queue.rollout().recorded(Optional.ofNullable(versions.get(name))));
    }

    /** Returns whether the traffic of any service is moving to another version. */
    public boolean hasRollouts() {
        return services.values().stream().anyMatch(queue -> queue.rollout().running());
    }

    /**
     * Returns the numbers of places on which the next phase of a roll-out depends.
     *
     * @param service The name of the service.
     * @param now The current monotonic time in nanoseconds.
     * @return The numbers.
     */
    public RolloutPlaces rolloutPlaces(String service, long now) {
        return queue(service).rollout().count(recalls.grants(service), now);
    }

    /**
     * Sets whether queued online requests are served by fair shares of their teams instead of in the order of their
     * arrival. Must be called before the first ask.
     */
    public void fairSharing(boolean value) {
        fairSharing = value;
        services.values()
                .forEach(queue -> queue.fairOrder(value ? Optional.of(new FairOrder(rates::rate)) : Optional.empty()));
    }

    /**
     * Returns the fraction of the places of a service that online requests have recently left free for items of jobs.
     */
    public double headroom(String service) {
        return queue(service).headroom();
    }

    /**
     * Starts to decide, as the successor of another dispatcher or as the first one.
     *
     * @param headroomByService The fraction of the places that online requests leave free, by service, as last
     *     reported.
     */
    public void takeOver(Map<String, Double> headroomByService) {
        services.values().forEach(queue -> queue.places().values().forEach(TargetPlaces::resetPace));
        services.forEach((name, queue) -> queue.resetHeadroom(
                headroomByService.containsKey(name)
                        ? HeadroomEstimator.after(headroomByService.get(name))
                        : HeadroomEstimator.of()));
    }

    /**
     * Decides on an ask, or queues it.
     *
     * @param ask The ask; one that is repeated keeps its position in the queue.
     * @param now The current monotonic time in nanoseconds.
     * @return The decision, or empty if the ask is queued.
     */
    public Optional<PlacementDecision> ask(Ask ask, long now) {
        Grant current = occupied.getOrDefault(ask.holder(), Map.of()).get(ask.permit());
        if (current != null) {
            return Optional.of(new PlacementDecision.Granted(current.target));
        }
        ServiceQueue queue = queue(ask.service());
        Optional<QueuedAsk> waiting = queue.find(ask);
        if (waiting.isPresent()) {
            waiting.get().refresh(now);
            return Optional.empty();
        }
        if (ask.batch() && !parts.heldMarks(ask.prompt()).isEmpty()) {
            queue.suspects().waiting().add(new QueuedAsk(ask, 0, 0, now));
            return Optional.empty();
        }
        Optional<PlacementDecision> held = parts.refusal(ask, now);
        if (held.isPresent()) {
            return held;
        }
        if (!ask.team().isEmpty()) {
            long millis = rates.take(ask.team(), now);
            if (millis > 0) {
                return refused(PlacementDecision.Reason.RATE_LIMITED, millis);
            }
        }
        return place(queue, ask, now);
    }

    /** Returns a permit, or removes an ask from the queue, when it is unknown how the target answered. */
    public void release(String holder, long permit, PlaceOutcome outcome, long now) {
        release(holder, permit, outcome, RunAnswer.NONE, now);
    }

    /**
     * Returns a permit and frees its place, or removes an ask from the queue.
     *
     * @param holder The instance that held the permit.
     * @param permit The number of the permit.
     * @param outcome How the use of the place ended.
     * @param answer How the target answered.
     * @param now The current monotonic time in nanoseconds.
     */
    public void release(String holder, long permit, PlaceOutcome outcome, RunAnswer answer, long now) {
        Map<Long, Grant> permits = occupied.get(holder);
        Grant place = permits == null ? null : permits.remove(permit);
        if (place == null) {
            services.values().forEach(queue -> queue.remove(holder, permit));
            return;
        }
        recalls.returned(place);
        ServiceQueue queue = queue(place.service);
        queue.rollout().ended(place, outcome, answer, now);
        TargetPlaces target = queue.places().get(place.target);
        if (target != null && !place.earlierProcess) {
            target.release(place.batch, outcome, now);
            target.recordOutcome(place.domain, outcome, now);
            queue.answered(target, outcome, answer, now);
            if (!place.batch && outcome.success()) {
                target.occupied(now - place.grantedAt);
                queue.occupied(now - place.grantedAt);
            }
        }
        Trial.report(place, Optional.of(outcome), sink, now);
        parts.ended(place, outcome, answer, now);
        queue.suspects().ended(place, outcome.isolationEnd(answer), sink, now);
        isolate(place.service, queue, now);
        drain(queue, now);
    }

    /**
     * Records a run that broke off when its target had just begun to answer, and holds a part of its prompt back if the
     * evidence suffices.
     *
     * @param crash The run.
     * @param now The current monotonic time in nanoseconds.
     */
    public void crashed(Crash crash, long now) {
        parts.crashed(crash, now);
    }

    /**
     * Replaces the known permits of a holder by those that it reports. Permits granted recently are kept, since the
     * holder may not have received them yet.
     *
     * @param holder The instance.
     * @param permits The places that it occupies.
     * @param now The current monotonic time in nanoseconds.
     */
    public void resync(String holder, Collection<OccupiedPlace> permits, long now) {
        Map<Long, Grant> known = occupied.computeIfAbsent(holder, name -> new HashMap<>());
        Set<Long> reported = new HashSet<>();
        permits.forEach(permit -> reported.add(permit.permit()));
        for (Grant place : List.copyOf(known.values())) {
            if (!reported.contains(place.permit)
                    && !place.recent(queue(place.service).rollout().running(), now)) {
                queue(place.service).rollout().lost(place, now);
                Trial.report(place, Optional.of(PlaceOutcome.UNUSED), sink, now);
                place.trial = List.of();
                queue(place.service).suspects().ended(place, IsolationEnd.FAILED, sink, now);
                release(holder, place.permit, PlaceOutcome.UNUSED, now);
            }
        }
        for (OccupiedPlace permit : permits) {
            if (!known.containsKey(permit.permit())) {
                Grant grant = new Grant(holder, permit, "", now);
                known.put(permit.permit(), grant);
                TargetPlaces place = queue(permit.service()).places().get(permit.target());
                if (place != null) {
                    grant.version = place.entry().version();
                    place.count(permit.batch(), 1);
                }
            }
        }
    }

    /** Returns whether a holder has reported its permits or was granted one. */
    public boolean hasReported(String holder) {
        return occupied.containsKey(holder);
    }

    /** Returns the holders that have reported their permits or were granted one. */
    public Set<String> holders() {
        return Set.copyOf(occupied.keySet());
    }

    /**
     * Removes a holder that no longer runs, and frees its places.
     *
     * @param holder The instance.
     * @param now The current monotonic time in nanoseconds.
     */
    public void forget(String holder, long now) {
        Map<Long, Grant> permits = occupied.remove(holder);
        if (permits == null) {
            return;
        }
        permits.values().forEach(place -> {
            Trial.report(place, Optional.of(PlaceOutcome.UNUSED), sink, now);
            recalls.returned(place);
            queue(place.service).rollout().lost(place, now);
            TargetPlaces target = queue(place.service).places().get(place.target);
            if (target != null && !place.earlierProcess) {
                target.release(place.batch, PlaceOutcome.UNUSED, now);
            }
            queue(place.service).suspects().ended(place, IsolationEnd.FAILED, sink, now);
        });
        services.values().forEach(queue -> {
            queue.forget(holder);
            drain(queue, now);
        });
    }

    /**
     * Refuses asks that have waited too long, and grants places that became available by the passage of time alone.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    public void tick(long now) {
        services.forEach((name, queue) -> {
            queue.observe(now);
            recalls.recallExcluded(recalls.grants(name), queue, now);
            refuseHeldBack(queue, queue.online(), now);
            refuseHeldBack(queue, queue.batch(), now);
            expire(queue, queue.online(), now);
            expire(queue, queue.batch(), now);
            expire(queue, queue.suspects().waiting(), now);
            isolate(name, queue, now);
            drain(queue, now);
            refuseOvertaken(queue, now);
        });
    }

    /** Refuses the queued asks that others have overtaken. */
    private void refuseOvertaken(ServiceQueue queue, long now) {
        List<QueuedAsk> overtaken = queue.overtaken(now);
        if (!overtaken.isEmpty()) {
            queue.online().removeAll(overtaken);
            overtaken.forEach(queue::withdrawn);
            refuseOverloaded(queue, overtaken, now);
        }
    }

    /**
     * Sets whether items of jobs wait because not all places in use are known.
     *
     * @param value Whether they wait.
     * @param now The current monotonic time in nanoseconds.
     */
    public void batchPaused(boolean value, long now) {
        boolean before = batchPaused;
        batchPaused = value;
        if (before && !value) {
            services.values().forEach(queue -> drain(queue, now));
        }
    }

    /** Returns the identities of the targets whose requests in progress are limited by their pace. */
    Set<String> limitedTargets() {
        return services.values().stream().flatMap(ServiceQueue::limited).collect(Collectors.toSet());
    }

    /** Returns the number of queued requests so far that were refused because others overtook them. */
    long overtakenRequests() {
        return services.values().stream()
                .mapToLong(ServiceQueue::overtakenRequests)
                .sum();
    }

    /** Returns whether any ask is queued. */
    public boolean hasWaiting() {
        return services.values().stream()
                .anyMatch(queue -> !queue.online().isEmpty()
                        || !queue.batch().isEmpty()
                        || !queue.suspects().waiting().isEmpty());
    }

    /** Returns the number of queued online requests. */
    public int waiting() {
        return services.values().stream()
                .mapToInt(queue -> queue.online().size())
                .sum();
    }

    /** Grants a place to a new ask, or queues or refuses it. */
    private Optional<PlacementDecision> place(ServiceQueue queue, Ask ask, long now) {
        limits.applyShares(now);
        if (!queue.hasTargets(now) && !ask.batch()) {
            return refused(PlacementDecision.Reason.NO_TARGET, NO_TARGET_RETRY_MILLIS);
        }
        boolean noneAhead = ask.batch()
                ? !batchPaused && queue.batch().isEmpty() && queue.online().isEmpty()
                : !queue.contended(now);
        Optional<TargetPlaces> place = noneAhead ? queue.choose(ask, now) : Optional.empty();
        if (place.isPresent()) {
            queue.servedAtOnce(ask);
            return Optional.of(grant(queue, ask, place.get(), ask.onTimeNanos(), now));
        }
        if (!ask.batch()) {
            double wait = queue.expectedWait(ask, now);
            if (wait > ServiceQueue.maxWait(ask)) {
                return refused(PlacementDecision.Reason.OVERLOADED, ServiceQueue.retryMillis(wait));
            }
        }
        queue.add(ask, now);
        if (!ask.batch()) {
            recalls.recallOne(queue, now);
        }
        return Optional.empty();
    }

    /**
     * Grants free places. A place that is returned in the course of it does not call this again, but lets it run once
     * more: the depth of the calls must not grow with the number of asks.
     */
    private void drain(ServiceQueue queue, long now) {
        limits.applyShares(now);
        drainAgain.add(queue);
        if (!draining.add(queue)) {
            return;
        }
        try {
            while (drainAgain.remove(queue)) {
                drainOnce(queue, now);
            }
        } finally {
            draining.remove(queue);
        }
    }

    /** Grants free places: to online requests that can be on time, then to late ones, then to items of jobs. */
    private void drainOnce(ServiceQueue queue, long now) {
        while (!queue.online().isEmpty()) {
            QueuedAsk next = queue.nextOnline(now);
            if (refuseHeldBack(queue, queue.online(), next, now)) {
                continue;
            }
            if (!serve(queue, queue.online(), next, now)) {
                return;
            }
        }
        Set<Set<String>> blocked = new HashSet<>();
        Optional<QueuedAsk> next = queue.nextBatch(blocked, now);
        while (!batchPaused && next.isPresent()) {
            QueuedAsk item = next.get();
            if (!refuseHeldBack(queue, queue.batch(), item, now) && !serve(queue, queue.batch(), item, now)) {
                blocked.add(queue.hasPlaceForBatch(now) ? item.ask().excluded() : Set.of());
            }
            next = queue.nextBatch(blocked, now);
        }
    }

    /** Grants a place to a queued ask if one is free; returns whether it did. */
    private boolean serve(ServiceQueue queue, List<QueuedAsk> waiting, QueuedAsk next, long now) {
        Optional<TargetPlaces> place = queue.choose(next.ask(), now);
        if (place.isEmpty()) {
            return false;
        }
        waiting.remove(next);
        queue.served(next);
        sink.decided(next.ask(), grant(queue, next.ask(), place.get(), next.slack(now), now));
        return true;
    }

    /** Refuses the asks of a queue that have a part that is held back. */
    private void refuseHeldBack(ServiceQueue queue, List<QueuedAsk> waiting, long now) {
        if (parts.anyHeldBack()) {
            List.copyOf(waiting).forEach(next -> refuseHeldBack(queue, waiting, next, now));
        }
    }

    /**
     * Refuses a queued online request that has a part that is held back, or lets such an item of a job wait for a
     * reserved target; returns whether it did.
     */
    private boolean refuseHeldBack(ServiceQueue queue, List<QueuedAsk> waiting, QueuedAsk next, long now) {
        if (next.ask().batch()) {
            boolean suspect = !parts.heldMarks(next.ask().prompt()).isEmpty();
            if (suspect && waiting.remove(next)) {
                queue.suspects().waiting().add(next);
            }
            return suspect;
        }
        Optional<PlacementDecision> held = parts.refusal(next.ask(), now);
        if (held.isPresent() && waiting.remove(next)) {
            queue.withdrawn(next);
            sink.decided(next.ask(), held.get());
        }
        return held.isPresent();
    }

    /** Grants places at a reserved target to items with a part that is held back, as soon as it is their turn. */
    private void isolate(String service, ServiceQueue queue, long now) {
        if (!batchPaused) {
            queue.suspects()
                    .advance(
                            parts,
                            recalls,
                            step -> sink.isolationChanged(service, step),
                            (next, target) ->
                                    sink.decided(next.ask(), grant(queue, next.ask(), target, next.slack(now), now)),
                            now);
        }
    }

    /** Refuses the asks of a queue that have waited too long, or for no target. */
    private void expire(ServiceQueue queue, List<QueuedAsk> waiting, long now) {
        List<QueuedAsk> expired = waiting.stream()
                .filter(next -> next.expired(now, next.ask().batch() ? BATCH_ASK_TIMEOUT_NANOS : ASK_TIMEOUT_NANOS)
                        || (next.ask().batch()
                                && now - next.arrivedAt() > EXCLUDED_WAIT_NANOS
                                && queue.rollout().excludesAll(next.ask(), now)))
                .toList();
        waiting.removeAll(expired);
        expired.forEach(queue::withdrawn);
        refuseOverloaded(queue, expired, now);
    }

    /** Refuses asks that have been removed from a queue. */
    private void refuseOverloaded(ServiceQueue queue, List<QueuedAsk> asks, long now) {
        long retry = ServiceQueue.retryMillis(queue.expectedWait(now));
        asks.forEach(next ->
                sink.decided(next.ask(), new PlacementDecision.Refused(PlacementDecision.Reason.OVERLOADED, retry)));
    }

    private PlacementDecision grant(ServiceQueue queue, Ask ask, TargetPlaces place, long slack, long now) {
        place.take(ask.batch(), now);
        queue.remember(ask, place);
        OccupiedPlace permit = new OccupiedPlace(
                        ask.permit(), ask.service(), place.entry().id(), ask.batch(), slack, ask.work())
                .withRun(ask.prompt(), 0)
                .withRoute(ask.traits().route());
        Grant grant = new Grant(ask.holder(), permit, ask.domain(), now);
        grant.version = place.entry().version();
        if (!place.reserved()) {
            parts.granted(grant, now);
            Trial.report(grant, Optional.empty(), sink, now);
        }
        occupied.computeIfAbsent(ask.holder(), holder -> new HashMap<>()).put(ask.permit(), grant);
        queue.rollout().placed(grant, now);
        return new PlacementDecision.Granted(place.entry().id());
    }

    /** Returns the queue of a service, created when it is first needed. */
    private ServiceQueue queue(String service) {
        return services.computeIfAbsent(service, name -> {
            ServiceQueue queue = new ServiceQueue();
            queue.fairOrder(fairSharing ? Optional.of(new FairOrder(rates::rate)) : Optional.empty());
            return queue;
        });
    }

    private static Optional<PlacementDecision> refused(PlacementDecision.Reason reason, long millis) {
        return Optional.of(new PlacementDecision.Refused(reason, millis));
    }
}
