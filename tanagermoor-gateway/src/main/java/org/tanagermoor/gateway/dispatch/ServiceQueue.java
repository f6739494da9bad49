package org.tanagermoor.gateway.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.tanagermoor.gateway.fleet.TargetEntry;
import org.tanagermoor.policy.target.RequestLimit;
import org.tanagermoor.policy.target.TargetPace;
import org.tanagermoor.policy.target.TargetSpeed;

/** The targets of a service and the asks that wait for their places. Not thread-safe. */
final class ServiceQueue {

    /** The time until a recalled item of a job has returned its place, in nanoseconds: a few round trips. */
    static final double RECALL_NANOS = 20e6;

    /**
     * How long a caller that came back once may wait, in nanoseconds: for it a late answer is better than none, but a
     * longer queue would only make more answers late.
     */
    private static final long RETURNING_WAIT_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** The minimum time after which a refused caller is told to come back, in milliseconds. */
    private static final long MIN_RETRY_MILLIS = 50;

    /** The maximum number of prompts for which the most recent target is remembered. */
    private static final int MAX_PROMPTS = 4_096;

    /**
     * The additional load, as a fraction of its places, that is accepted at the target that served a prompt last:
     * reading the shared prefix again takes a few ms, whereas a busier engine takes longer for each token.
     */
    private static final double PROMPT_LOAD = 0.13;

    /** The time for which an online request occupies a place before the first observation, in nanoseconds. */
    private static final double INITIAL_OCCUPANCY_NANOS = 700e6;

    /** The weight of a new observation in the mean time for which a place is occupied. */
    private static final double OCCUPANCY_WEIGHT = 0.05;

    /** The order in which targets are chosen. The figures of each target are determined once for each choice. */
    private static final Comparator<Candidate> PREFERENCE = Comparator.comparing(Candidate::suspected)
            .thenComparing(Candidate::spared)
            .thenComparingDouble(Candidate::load)
            .thenComparing(Candidate::remote);

    /** The targets by identity, with their places. */
    private final Map<String, TargetPlaces> places = new LinkedHashMap<>();

    /** Restricts the targets while the traffic moves to another version. */
    private final RolloutPlacement rollout = new RolloutPlacement(places);

    /** The queued online requests in the order of their arrival. */
    private final List<QueuedAsk> online = new ArrayList<>();

    /** The queued items of jobs in the order of their arrival. */
    private final List<QueuedAsk> batch = new ArrayList<>();

    /** The queued items of jobs with a part that is held back. */
    private final Suspects suspects = new Suspects(this);

    /** The mean time for which an online request occupies a place, in nanoseconds. */
    private double occupancyNanos = INITIAL_OCCUPANCY_NANOS;

    /** The mean time to the first event of an answer, in nanoseconds; 0 before the first one. */
    private double firstEventNanos;

    /** Whether any target of the service has reported its speed. */
    private boolean speedReported;

    /** The number of online requests that have been queued. */
    private long added;

    /** The order of online requests by fair shares; empty if the order of arrival decides. */
    private Optional<FairOrder> fairOrder = Optional.empty();

    /** The number of requests so far that others have overtaken. */
    private long overtakenRequests;

    /** Estimates the fraction of the places that online requests leave free. */
    private HeadroomEstimator estimator = HeadroomEstimator.of();

    /** The identity of the most recent target by the key of the prompt; the least recently used entry is evicted. */
    private final Map<Long, String> prompts = new LinkedHashMap<>(64, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        /** {@inheritDoc} */
        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, String> eldest) {
            return size() > MAX_PROMPTS;
        }
    };

    /** Returns the targets by identity, with their places; changes take effect. */
    Map<String, TargetPlaces> places() {
        return places;
    }

    /** Returns the restriction of the targets while the traffic moves to another version. */
    RolloutPlacement rollout() {
        return rollout;
    }

    /** Sets the order of online requests by fair shares; without one, the order of arrival decides. */
    void fairOrder(Optional<FairOrder> value) {
        fairOrder = value;
    }

    /**
     * Returns the pace of a target that is new, in a service whose targets report their speed, or else no pace.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    TargetPace startingPace(long now) {
        return speedReported ? TargetPace.ofStart(now) : TargetPace.ofFull(now);
    }

    /** Returns the identities of the targets whose requests in progress are limited by their pace. */
    Stream<String> limited() {
        return places.values().stream()
                .filter(TargetPlaces::paced)
                .map(place -> place.entry().id());
    }

    /**
     * Adds a target that has started, or replaces its earlier process. If its pace starts anew, the places that are in
     * use at the earlier process are not counted at this one: their ends would admit further requests to it.
     *
     * @param entry The entry of the target.
     * @param coldPerSecond The requests per second that it can handle while it is cold; 0 for no limit.
     * @param grants The granted places of the service.
     * @param now The current monotonic time in nanoseconds.
     */
    void start(TargetEntry entry, double coldPerSecond, List<Grant> grants, long now) {
        if (speedReported) {
            grants.stream()
                    .filter(grant -> grant.target.equals(entry.id()))
                    .forEach(grant -> grant.earlierProcess = true);
        }
        places.put(entry.id(), new TargetPlaces(entry, coldPerSecond, startingPace(now), now));
    }

    /** Removes the asks of a holder that no longer runs. */
    void forget(String holder) {
        List<QueuedAsk> gone = online.stream()
                .filter(waiting -> waiting.ask().holder().equals(holder))
                .toList();
        online.removeAll(gone);
        gone.forEach(this::withdrawn);
        batch.removeIf(waiting -> waiting.ask().holder().equals(holder));
        suspects.waiting().removeIf(waiting -> waiting.ask().holder().equals(holder));
    }

    /** Returns the queued online requests; changes take effect. */
    List<QueuedAsk> online() {
        return online;
    }

    /** Returns the queued items of jobs; changes take effect. */
    List<QueuedAsk> batch() {
        return batch;
    }

    /** Returns the queued items of jobs with a part that is held back. */
    Suspects suspects() {
        return suspects;
    }

    /** Finds a repeated ask in the queue. */
    Optional<QueuedAsk> find(Ask ask) {
        return (ask.batch() ? Stream.concat(batch.stream(), suspects.waiting().stream()) : online.stream())
                .filter(waiting -> waiting.matches(ask.holder(), ask.permit()))
                .findFirst();
    }

    /** Queues an ask. */
    void add(Ask ask, long now) {
        if (ask.batch()) {
            batch.add(new QueuedAsk(ask, 0, 0, now));
        } else {
            added++;
            online.add(new QueuedAsk(
                    ask, added, fairOrder.map(order -> order.add(ask)).orElse(0.0), now));
        }
    }

    /** Records that a queued ask is not granted a place; the later asks of its team move up. */
    void withdrawn(QueuedAsk waiting) {
        if (waiting.ask().batch() || fairOrder.isEmpty()) {
            return;
        }
        double cost = fairOrder.get().withdrawn(waiting.ask());
        for (QueuedAsk other : online) {
            if (other.number() > waiting.number()
                    && other.ask().team().equals(waiting.ask().team())) {
                other.moveUp(cost);
            }
        }
    }

    /** Records that a queued ask is granted a place. */
    void served(QueuedAsk waiting) {
        if (!waiting.ask().batch()) {
            fairOrder.ifPresent(order -> order.served(waiting.ask(), waiting.position()));
        }
    }

    /** Records that an ask is granted a place without having been queued. */
    void servedAtOnce(Ask ask) {
        if (!ask.batch()) {
            fairOrder.ifPresent(order -> order.served(ask, order.add(ask)));
        }
    }

    /** Removes the ask with a permit of a holder, if it is queued. */
    void remove(String holder, long permit) {
        online.stream().filter(waiting -> waiting.matches(holder, permit)).forEach(this::withdrawn);
        online.removeIf(waiting -> waiting.matches(holder, permit));
        batch.removeIf(waiting -> waiting.matches(holder, permit));
        suspects.waiting().removeIf(waiting -> waiting.matches(holder, permit));
    }

    /** Returns whether an online request that can still be on time is already queued. */
    boolean contended(long now) {
        return online.stream().anyMatch(waiting -> waiting.onTime(now));
    }

    /**
     * Returns the time that a new online request is expected to wait, in nanoseconds: behind those that can be on time
     * and are served before it, while places are returned one after the other. Items of jobs return their places within
     * {@link #RECALL_NANOS}.
     */
    double expectedWait(Ask ask, long now) {
        double own = fairOrder.map(order -> order.position(ask)).orElse(Double.MAX_VALUE);
        return expectedWait(
                online.stream()
                        .filter(waiting -> waiting.onTime(now) && waiting.position() <= own)
                        .count(),
                now);
    }

    /** Returns the time that an online request is expected to wait behind all that can be on time, in nanoseconds. */
    double expectedWait(long now) {
        return expectedWait(
                online.stream().filter(waiting -> waiting.onTime(now)).count(), now);
    }

    /** Returns the time that an online request is expected to wait behind a number of others, in nanoseconds. */
    private double expectedWait(long before, long now) {
        return expectedWait(before, batchPlaces(now), returnedPlaces(now));
    }

    /** Returns the same by the number of places that items of jobs use, and of places that are returned meanwhile. */
    private double expectedWait(long before, int batchPlaces, double returnedPlaces) {
        long position = before + 1 - batchPlaces;
        return position <= 0 ? RECALL_NANOS : position * occupancyNanos / returnedPlaces;
    }

    /** Converts an expected wait into the time after which a caller is told to come back, in milliseconds. */
    static long retryMillis(double waitNanos) {
        return Math.max(MIN_RETRY_MILLIS, (long) (waitNanos / 1e6));
    }

    /**
     * Returns the number of places that are returned in the mean time for which a request occupies one. The first of
     * several is returned sooner; but the requests to targets with a request limit must keep a distance.
     */
    private double returnedPlaces(long now) {
        boolean limited = places.values().stream()
                .filter(rollout.permitted(now))
                .filter(place -> place.open(now))
                .allMatch(place -> place.requestLimit().named());
        double usable = usefulPlaces(now);
        return limited && usable > 0
                ? Math.max(usable, RequestLimit.minUsefulPlaces(occupancyNanos))
                : Math.floor(usable) + 1;
    }

    /**
     * Returns the total number of places of usable targets for any request, free or in use, without those that request
     * limits do not keep in use.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    int usablePlaces(long now) {
        return (int) usefulPlaces(now);
    }

    /** Returns the total number of places of usable targets for any request, free or in use. */
    private int openPlaces(long now) {
        return places.values().stream()
                .filter(rollout.permitted(now))
                .filter(place -> place.open(now))
                .mapToInt(place -> place.places(now))
                .sum();
    }

    /** Returns the same number with fractions, since a low limit keeps less than one place in use. */
    private double usefulPlaces(long now) {
        return places.values().stream()
                .filter(rollout.permitted(now))
                .filter(place -> place.open(now))
                .mapToDouble(place -> place.usefulPlaces(occupancyNanos, now))
                .sum();
    }

    /**
     * Returns the number of places in use by items of jobs at targets for any request. Those at targets whose request
     * limit admits nothing now are not counted, since a request could not use them if they were returned.
     */
    int batchPlaces(long now) {
        return places.values().stream()
                .filter(rollout.permitted(now).and(place -> !place.reserved()))
                .filter(place -> place.requestLimit().allowed(now) > 0)
                .mapToInt(TargetPlaces::batch)
                .sum();
    }

    /** Returns whether any target of the service may get requests and is not draining. */
    boolean hasTargets(long now) {
        return places.values().stream()
                .filter(rollout.serving(now))
                .anyMatch(place -> !place.entry().draining());
    }

    /**
     * Chooses a target with a free place: unsuspected targets first, then those that need not be spared, then the one
     * with the lowest load, then one in the failure domain of the holder. The target that served the prompt last is
     * preferred if its load is hardly higher.
     * In a roll-out, an ask that is offered to the new version gets a place there if one is free.
     *
     * @param ask The ask.
     * @param now The current monotonic time in nanoseconds.
     * @return The target; empty if no place is free for this ask.
     */
    Optional<TargetPlaces> choose(Ask ask, long now) {
        if (ask.batch() && !hasPlaceForBatch(now)) {
            return Optional.empty();
        }
        Set<String> offered = rollout.offered(ask, now);
        Optional<TargetPlaces> place = offered.isEmpty()
                ? Optional.empty()
                : choose(ask, target -> offered.contains(target.entry().id()), now);
        return place.isPresent() ? place : choose(ask, rollout.permitted(now), now);
    }

    /** Chooses among the targets that a condition permits. */
    private Optional<TargetPlaces> choose(Ask ask, Predicate<TargetPlaces> permitted, long now) {
        Optional<Candidate> first = places.values().stream()
                .filter(place -> available(place, ask, now) && permitted.test(place))
                .map(place -> new Candidate(
                        place,
                        place.suspected(ask.domain(), now),
                        spared(place, ask, now),
                        load(place, now),
                        !place.entry().domain().equals(ask.domain())))
                .min(PREFERENCE);
        Optional<TargetPlaces> best = first.map(Candidate::place);
        double promptLoad = speedReported ? PROMPT_LOAD * TargetSpeed.CONTENTION : PROMPT_LOAD;
        double maxLoad = first.map(candidate -> candidate.load() + promptLoad).orElse(0.0);
        return remembered(ask)
                .filter(permitted)
                .filter(last -> !spared(last, ask, now)
                        || best.filter(place -> spared(place, ask, now)).isPresent())
                .filter(last -> available(last, ask, now) && !last.suspected(ask.domain(), now))
                .filter(last -> load(last, now) <= maxLoad)
                .or(() -> best);
    }

    /**
     * Returns whether a target is better left to others while another one is available: one with a request limit to
     * items of jobs and to bursts of online requests, one without to online requests. An item uses the limit once for
     * much work, and its place is not recalled for requests that the limit excludes. A target with a limit that has got
     * no request for some time is not spared, since only an answer shows that its limit has ended.
     */
    private static boolean spared(TargetPlaces place, Ask ask, long now) {
        return ask.batch()
                ? !place.requestLimit().named()
                : place.requestLimit().named() && !place.requestLimit().idle(now);
    }

    /** Returns the load of a target: by the speeds that targets report, if any does, or else by places and times. */
    private double load(TargetPlaces place, long now) {
        return speedReported ? place.expectedTime(now) : place.load(occupancyNanos);
    }

    /** Returns whether a target has a free place now and is not excluded by the ask. */
    private static boolean available(TargetPlaces place, Ask ask, long now) {
        return place.available(now) && !ask.excluded().contains(place.entry().id());
    }

    /**
     * Returns the item of a job that is served next: the one whose caller benefits most relative to the time for which
     * the item occupies a place, and among equal ones the one that must start first. If there are more items than
     * places, few started items are thus left behind, and work is spent on those that can still end in time.
     *
     * @param blocked Sets of targets: no place is free for an item that excludes all targets of one of them.
     * @param now The current monotonic time in nanoseconds.
     * @return The item; empty if there is none that is not blocked.
     */
    Optional<QueuedAsk> nextBatch(Set<Set<String>> blocked, long now) {
        return batch.stream()
                .filter(waiting -> blocked.stream().noneMatch(waiting.ask().excluded()::containsAll))
                .max(Comparator.<QueuedAsk>comparingDouble(waiting -> waiting.benefit(estimator.fraction(), now))
                        .thenComparing(waiting -> waiting.slack(now), Comparator.reverseOrder()));
    }

    /** Returns whether more places are free than items of jobs leave to online requests. */
    boolean hasPlaceForBatch(long now) {
        return free(now) > reserve(now);
    }

    /** Returns the fraction of the places that online requests have recently left free. */
    double headroom() {
        return estimator.fraction();
    }

    /** Replaces the estimate of the headroom by that of another dispatcher, or by an initial one. */
    void resetHeadroom(HeadroomEstimator value) {
        estimator = value;
    }

    /** Records the places in use, and the fraction of the places that online requests currently leave free. */
    void observe(long now) {
        rollout.observe(now);
        int usablePlaces = usablePlaces(now) - reserve(now);
        int online = places.values().stream()
                .filter(rollout.permitted(now))
                .filter(place -> place.open(now))
                .mapToInt(TargetPlaces::online)
                .sum();
        estimator.observe(usablePlaces <= 0 ? 0 : Math.max(0, usablePlaces - online) / (double) usablePlaces, now);
    }

    /**
     * Records how a target answered. The usual time to the first event is learnt from targets that their pace does not
     * limit, or from all if it limits all: otherwise all answers would be late for ever once all take longer.
     *
     * @param target The target.
     * @param outcome How the use of the place ended.
     * @param answer The answer.
     * @param now The current monotonic time in nanoseconds.
     */
    void answered(TargetPlaces target, PlaceOutcome outcome, RunAnswer answer, long now) {
        boolean paced = target.paced();
        target.answered(outcome, answer, firstEventNanos, now);
        speedReported |= target.reportsSpeed();
        boolean learns = !paced || places.values().stream().allMatch(TargetPlaces::paced);
        if (learns && answer.firstEventNanos() > 0 && outcome.success()) {
            firstEventNanos = firstEventNanos == 0
                    ? answer.firstEventNanos()
                    : firstEventNanos + OCCUPANCY_WEIGHT * (answer.firstEventNanos() - firstEventNanos);
        }
    }

    /**
     * Returns the queued online requests that cannot be served in time any more, because requests of teams with a
     * larger claim arrived after them.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    List<QueuedAsk> overtaken(long now) {
        if (fairOrder.isEmpty() || online.isEmpty()) {
            return List.of();
        }
        List<QueuedAsk> result = new ArrayList<>();
        long before = 0;
        int batchPlaces = batchPlaces(now);
        double returnedPlaces = returnedPlaces(now);
        for (QueuedAsk waiting : online.stream()
                .sorted(Comparator.comparingDouble(QueuedAsk::position))
                .toList()) {
            if (expectedWait(before, batchPlaces, returnedPlaces) > waiting.remainingWait(now)) {
                result.add(waiting);
            } else {
                before++;
            }
        }
        overtakenRequests += result.size();
        return result;
    }

    /** Returns the number of requests so far that others have overtaken. */
    long overtakenRequests() {
        return overtakenRequests;
    }

    /** Updates the mean with the time for which an online request occupied its place. */
    void occupied(long nanos) {
        occupancyNanos += OCCUPANCY_WEIGHT * (nanos - occupancyNanos);
    }

    /** Returns the mean time for which an online request occupies a place, in nanoseconds. */
    double occupancyNanos() {
        return occupancyNanos;
    }

    /**
     * Returns the online request that is served next: among those that can still be on time, the first one by fair
     * shares, if these decide, or else the first one whose caller came back after a refusal; otherwise the one that has
     * waited longest.
     *
     * @param now The current monotonic time in nanoseconds.
     * @return The request; the queue must not be empty.
     */
    QueuedAsk nextOnline(long now) {
        if (fairOrder.isPresent()) {
            return online.stream()
                    .filter(waiting -> waiting.onTime(now))
                    .min(Comparator.comparingDouble(QueuedAsk::position))
                    .orElseGet(() -> online.get(0));
        }
        QueuedAsk next = online.get(0);
        boolean found = false;
        for (QueuedAsk waiting : online) {
            if (waiting.onTime(now) && waiting.ask().returning()) {
                return waiting;
            }
            if (waiting.onTime(now) && !found) {
                next = waiting;
                found = true;
            }
        }
        return next;
    }

    /**
     * Returns the maximum expected wait for which it is worth queueing an online request.
     *
     * @param ask The ask for its place.
     * @return The wait in nanoseconds.
     */
    static long maxWait(Ask ask) {
        long useful = ask.returning() ? Math.max(RETURNING_WAIT_NANOS, ask.onTimeNanos()) : ask.onTimeNanos();
        return Math.min(ask.waitNanos(), useful);
    }

    /** Remembers the target of the prompt of a request, if it has a shared prefix. */
    void remember(Ask ask, TargetPlaces place) {
        if (ask.promptKey() != 0) {
            prompts.put(ask.promptKey(), place.entry().id());
        }
    }

    /**
     * Returns the number of places that items of jobs keep free: as many as online requests at full load need until a
     * recalled item has returned its place, but at most half of the places, so that items run however short online
     * requests are.
     */
    int reserve(long now) {
        double needed = Math.ceil(usefulPlaces(now) * RECALL_NANOS / occupancyNanos);
        return Math.min(openPlaces(now) / 2, (int) needed);
    }

    /** Returns the most recent target of the prompt of a request. */
    private Optional<TargetPlaces> remembered(Ask ask) {
        return Optional.ofNullable(ask.promptKey() == 0 ? null : prompts.get(ask.promptKey()))
                .map(places::get);
    }

    /** Returns the total number of requests that usable targets for any request may get at once. */
    private int free(long now) {
        return places.values().stream()
                .filter(rollout.permitted(now))
                .filter(place -> place.open(now))
                .mapToInt(place -> place.freeAndAllowed(now))
                .sum();
    }

    /**
     * A target that may be chosen.
     *
     * @param place The target.
     * @param suspected Whether other targets are preferable.
     * @param spared Whether the target is better left to others, see {@link #spared}.
     * @param load The load of the target.
     * @param remote Whether it runs in another failure domain than the holder.
     */
    private record Candidate(TargetPlaces place, boolean suspected, boolean spared, double load, boolean remote) {}
}
