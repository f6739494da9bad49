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

/** The targets of a service and the asks that wait for their places. Not thread-safe. */
final class ServiceQueue {

    /** The time until a recalled item of a job has returned its place, in nanoseconds: a few round trips. */
    static final double RECALL_NANOS = 20e6;

    /**
     * How long a caller that came back once may wait, in nanoseconds: for it a late answer is better than none, but a
     * longer queue would only make more answers late.
     */
    private static final long RETURNING_WAIT_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** The multiple of {@link #maxWait} after which a queued caller is refused and told to come back. */
    private static final long LATE_FACTOR = 2;

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

    /** The targets by identity, with their places. */
    private final Map<String, TargetPlaces> places = new LinkedHashMap<>();

    /** Restricts the targets while the traffic moves to another version. */
    private final RolloutPlacement rollout = new RolloutPlacement(places);

    /** The queued online requests in the order of their arrival. */
    private final List<Waiting> online = new ArrayList<>();

    /** The queued items of jobs in the order of their arrival. */
    private final List<Waiting> batch = new ArrayList<>();

    /** The mean time for which an online request occupies a place, in nanoseconds. */
    private double occupancyNanos = INITIAL_OCCUPANCY_NANOS;

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

    /** Returns the queued online requests; changes take effect. */
    List<Waiting> online() {
        return online;
    }

    /** Returns the queued items of jobs; changes take effect. */
    List<Waiting> batch() {
        return batch;
    }

    /** Finds a repeated ask in the queue. */
    Optional<Waiting> find(Ask ask) {
        return (ask.batch() ? batch : online)
                .stream()
                        .filter(waiting -> waiting.matches(ask.holder(), ask.permit()))
                        .findFirst();
    }

    /** Removes the ask with a permit of a holder, if it is queued. */
    void remove(String holder, long permit) {
        online.removeIf(waiting -> waiting.matches(holder, permit));
        batch.removeIf(waiting -> waiting.matches(holder, permit));
    }

    /** Returns whether an online request that can still be on time is already queued. */
    boolean contended(long now) {
        return online.stream().anyMatch(waiting -> waiting.onTime(now));
    }

    /**
     * Returns the time that a new online request is expected to wait, in nanoseconds: behind those that can be on time,
     * while places are returned one after the other. Items of jobs return their places within {@link #RECALL_NANOS}.
     */
    double expectedWait(long now) {
        long before = online.stream().filter(waiting -> waiting.onTime(now)).count();
        long position = before + 1 - batchPlaces(now);
        return position <= 0 ? RECALL_NANOS : position * occupancyNanos / (usablePlaces(now) + 1);
    }

    /** Returns the total number of places of usable targets for any request, free or in use. */
    int usablePlaces(long now) {
        return places.values().stream()
                .filter(rollout.permitted(now))
                .filter(place -> place.usable(now))
                .mapToInt(place -> place.entry().capacity())
                .sum();
    }

    /** Returns the number of places in use by items of jobs at targets for any request. */
    int batchPlaces(long now) {
        return places.values().stream()
                .filter(rollout.permitted(now))
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
     * Chooses a target with a free place: unsuspected targets first, then the one with the lowest load, then one in the
     * failure domain of the holder. The target that served the prompt last is preferred if its load is hardly higher.
     * In a roll-out, an ask that is offered to the new version gets a place there if one is free.
     *
     * @param ask The ask.
     * @param now The current monotonic time in nanoseconds.
     * @return The target; empty if no place is free for this ask.
     */
    Optional<TargetPlaces> choose(Ask ask, long now) {
        if (ask.batch() && free(now) <= reserve(now)) {
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
        Optional<TargetPlaces> best = places.values().stream()
                .filter(place -> available(place, ask, now) && permitted.test(place))
                .min(Comparator.<TargetPlaces, Boolean>comparing(place -> place.suspected(ask.domain(), now))
                        .thenComparingDouble(place -> place.load(occupancyNanos))
                        .thenComparing(place -> !place.entry().domain().equals(ask.domain())));
        double maxLoad =
                best.map(place -> place.load(occupancyNanos) + PROMPT_LOAD).orElse(0.0);
        return remembered(ask)
                .filter(permitted)
                .filter(last -> available(last, ask, now) && !last.suspected(ask.domain(), now))
                .filter(last -> last.load(occupancyNanos) <= maxLoad)
                .or(() -> best);
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
     * @param now The current monotonic time in nanoseconds.
     * @return The item; the queue must not be empty.
     */
    Waiting nextBatch(long now) {
        return batch.stream()
                .max(Comparator.<Waiting>comparingDouble(waiting -> waiting.benefit(estimator.fraction(), now))
                        .thenComparing(waiting -> waiting.slack(now), Comparator.reverseOrder()))
                .orElseThrow();
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
                .filter(place -> place.usable(now))
                .mapToInt(TargetPlaces::online)
                .sum();
        estimator.observe(usablePlaces <= 0 ? 0 : Math.max(0, usablePlaces - online) / (double) usablePlaces, now);
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
     * Returns the online request that is served next: among those that can still be on time, the first one whose caller
     * came back after a refusal; otherwise the one that has waited longest.
     *
     * @param now The current monotonic time in nanoseconds.
     * @return The request; the queue must not be empty.
     */
    Waiting nextOnline(long now) {
        Waiting next = online.get(0);
        boolean found = false;
        for (Waiting waiting : online) {
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
     * recalled item has returned its place.
     */
    int reserve(long now) {
        return (int) Math.ceil(usablePlaces(now) * RECALL_NANOS / occupancyNanos);
    }

    /** Returns the most recent target of the prompt of a request. */
    private Optional<TargetPlaces> remembered(Ask ask) {
        return Optional.ofNullable(ask.promptKey() == 0 ? null : prompts.get(ask.promptKey()))
                .map(places::get);
    }

    /** Returns the total number of free places of usable targets for any request. */
    private int free(long now) {
        return places.values().stream()
                .filter(rollout.permitted(now))
                .filter(place -> place.usable(now))
                .mapToInt(place -> Math.max(0, place.free()))
                .sum();
    }

    /** A queued ask. */
    static final class Waiting {

        private final Ask ask;

        /** The monotonic time of its arrival in nanoseconds. */
        private final long arrivedAt;

        /** The monotonic time in nanoseconds at which its holder last repeated it. */
        private long lastAskedAt;

        /** Creates a queued ask that arrived now. */
        Waiting(Ask ask, long now) {
            this.ask = ask;
            arrivedAt = now;
            lastAskedAt = now;
        }

        Ask ask() {
            return ask;
        }

        /** Returns whether this is the ask with a permit of a holder. */
        boolean matches(String holder, long permit) {
            return ask.permit() == permit && ask.holder().equals(holder);
        }

        /** Returns how much longer it can wait and still be on time, in nanoseconds; below 0 if it is late. */
        long slack(long now) {
            return arrivedAt + ask.onTimeNanos() - now;
        }

        /** Returns whether it can still be on time. */
        boolean onTime(long now) {
            return slack(now) >= 0;
        }

        /**
         * Returns the benefit to the caller of an item of granting it a place, relative to the time for which it
         * occupies the place.
         *
         * @param fraction The fraction of the places that online requests leave free, and so of the time for which
         *     an item runs.
         * @param now The current monotonic time in nanoseconds.
         */
        double benefit(double fraction, long now) {
            return ask.work().benefit(slack(now), fraction);
        }

        /** Returns whether further waiting is useless, or the holder has stopped repeating the ask. */
        boolean expired(long now, long timeoutNanos) {
            boolean late = !ask.batch() && now - arrivedAt > LATE_FACTOR * maxWait(ask);
            return late || now - arrivedAt > ask.waitNanos() || now - lastAskedAt > timeoutNanos;
        }

        /** Records that the holder repeated the ask. */
        void refresh(long now) {
            lastAskedAt = now;
        }
    }
}
