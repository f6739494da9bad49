package org.tanagermoor.gateway.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** The targets of a service and what waits for them. */
final class ServiceQueue {

    /** The time until a recalled item of a job has given its place up, in nanoseconds: a few round trips. */
    static final double RECALL_NANOS = 20e6;

    /**
     * How long a caller that came back once may wait, in nanoseconds: a late answer is worth more to it than none, but
     * a longer queue would only make more of them late.
     */
    private static final long RETURNING_WAIT_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** How many times the wait that was expected at most a caller waits, before it is told to come back. */
    private static final long LATE_FACTOR = 2;

    /** The most prompts whose last target is remembered. */
    private static final int PROMPTS_MOST = 4_096;

    /**
     * How much more load the target may have that served a prompt last, as a part of its places: reading the shared
     * part again takes a few ms, a busier engine takes longer for each token.
     */
    private static final double PROMPT_LOAD = 0.13;

    /** The time for which an online request holds a place before any was seen, in nanoseconds. */
    private static final double HOLD_NANOS_FIRST = 700e6;

    /** The weight of a new observation in the mean of the time for which a place is held. */
    private static final double HOLD_WEIGHT = 0.05;

    /** The targets by identity. */
    private final Map<String, Place> places = new LinkedHashMap<>();

    /** The online requests that wait, in the order of their arrival. */
    private final List<Waiting> online = new ArrayList<>();

    /** The items of jobs that wait, in the order of their arrival. */
    private final List<Waiting> batch = new ArrayList<>();

    /** The mean time for which an online request holds a place, in nanoseconds. */
    private double holdNanos = HOLD_NANOS_FIRST;

    /** The places that online requests leave. */
    private LeftPlaces left = LeftPlaces.of();

    /** The last target of each prompt. */
    private final Map<Long, String> prompts = new LinkedHashMap<>(64, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        /** {@inheritDoc} */
        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, String> eldest) {
            return size() > PROMPTS_MOST;
        }
    };

    /** Returns the targets by identity. */
    Map<String, Place> places() {
        return places;
    }

    /** Returns the online requests that wait. */
    List<Waiting> online() {
        return online;
    }

    /** Returns the items of jobs that wait. */
    List<Waiting> batch() {
        return batch;
    }

    /** Returns all places of usable targets. */
    int slots(long now) {
        return places.values().stream()
                .filter(place -> place.usable(now))
                .mapToInt(place -> place.entry().capacity())
                .sum();
    }

    /** Returns the places in use by items of jobs. */
    int batchPlaces() {
        return places.values().stream().mapToInt(Place::batch).sum();
    }

    /** Returns whether the service has a target at all. */
    boolean hasTargets() {
        return places.values().stream().anyMatch(place -> !place.entry().draining());
    }

    /**
     * Chooses a target with a free place: one that serves what it gets before one that is suspected, then the one with
     * the least load, then one of the own failure domain. The target that served the prompt last goes first among those
     * whose load hardly differs.
     *
     * @param ask The request.
     * @param now The present monotonic time in nanoseconds.
     * @return The target, if a place is free for this request.
     */
    Optional<Place> choose(Ask ask, long now) {
        if (ask.batch() && free(places.values(), now) <= reserve(now)) {
            return Optional.empty();
        }
        Optional<Place> best = places.values().stream()
                .filter(place -> open(place, ask, now))
                .min(Comparator.<Place, Boolean>comparing(place -> place.suspected(ask.domain(), now))
                        .thenComparingDouble(place -> place.load(holdNanos))
                        .thenComparing(place -> !place.entry().domain().equals(ask.domain())));
        double most = best.map(place -> place.load(holdNanos) + PROMPT_LOAD).orElse(0.0);
        return remembered(ask)
                .filter(last -> open(last, ask, now) && !last.suspected(ask.domain(), now))
                .filter(last -> last.load(holdNanos) <= most)
                .or(() -> best);
    }

    /** Returns whether a target may get a request now. */
    private static boolean open(Place place, Ask ask, long now) {
        return place.open(now) && !ask.excluded().contains(place.entry().id());
    }

    /**
     * Returns the item of a job that goes next: the one whose caller gains most for the time that it holds a place, and
     * of equal ones the one that must begin first. More items than places thus leave few behind that have begun, and
     * work goes into those that can still end in time.
     *
     * @param now The present monotonic time in nanoseconds.
     * @return The item, of which there must be one.
     */
    Waiting nextBatch(long now) {
        return batch.stream()
                .max(Comparator.<Waiting>comparingDouble(waiting -> waiting.gain(left.part(), now))
                        .thenComparing(waiting -> waiting.slack(now), Comparator.reverseOrder()))
                .orElseThrow();
    }

    /** Returns the part of the places that online requests have lately left. */
    double headroom() {
        return left.part();
    }

    /** Goes on from which part of the places online requests have left by another observer, or from nothing. */
    void expectLeft(LeftPlaces value) {
        left = value;
    }

    /** Takes in how many places online requests leave now. */
    void look(long now) {
        int slots = slots(now) - reserve(now);
        int online = places.values().stream()
                .filter(place -> place.usable(now))
                .mapToInt(Place::online)
                .sum();
        left.look(slots <= 0 ? 0 : Math.max(0, slots - online) / (double) slots, now);
    }

    /** Takes in for how long an online request held its place. */
    void held(long nanos) {
        holdNanos += HOLD_WEIGHT * (nanos - holdNanos);
    }

    /** Returns the mean time for which an online request holds a place, in nanoseconds. */
    double holdNanos() {
        return holdNanos;
    }

    /**
     * Returns the online request that goes next: of those that can still be on time, first one whose caller came back
     * after a refusal; else the one that has waited longest.
     *
     * @param now The present monotonic time in nanoseconds.
     * @return The request, of which there must be one.
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
     * Returns for how long an online request is worth queueing.
     *
     * @param ask The request.
     * @return The longest expected wait in nanoseconds.
     */
    static long patience(Ask ask) {
        long useful = ask.returning() ? Math.max(RETURNING_WAIT_NANOS, ask.onTimeNanos()) : ask.onTimeNanos();
        return Math.min(ask.waitNanos(), useful);
    }

    /** Remembers the target of a prompt. */
    void remember(Ask ask, Place place) {
        if (ask.promptKey() != 0) {
            prompts.put(ask.promptKey(), place.entry().id());
        }
    }

    /** Returns the places that items of jobs leave free: as many as a full load of requests needs within a recall. */
    int reserve(long now) {
        return (int) Math.ceil(slots(now) * RECALL_NANOS / holdNanos);
    }

    /** Returns the last target of the prompt of a request. */
    private Optional<Place> remembered(Ask ask) {
        return Optional.ofNullable(ask.promptKey() == 0 ? null : prompts.get(ask.promptKey()))
                .map(places::get);
    }

    /** Returns the free places. */
    private static int free(Collection<Place> places, long now) {
        return places.stream()
                .filter(place -> place.usable(now))
                .mapToInt(place -> Math.max(0, place.free()))
                .sum();
    }

    /** A request that waits. */
    static final class Waiting {

        /** The request. */
        private final Ask ask;

        /** The monotonic time of its arrival in nanoseconds. */
        private final long since;

        /** The monotonic time in nanoseconds at which its holder last asked. */
        private long askedAt;

        /** Creates a request that waits. */
        Waiting(Ask ask, long now) {
            this.ask = ask;
            since = now;
            askedAt = now;
        }

        /** Returns the request. */
        Ask ask() {
            return ask;
        }

        /** Returns how long it can wait on and still be on time, in nanoseconds; below 0 if it cannot. */
        long slack(long now) {
            return since + ask.onTimeNanos() - now;
        }

        /** Returns whether it can still be on time. */
        boolean onTime(long now) {
            return slack(now) >= 0;
        }

        /**
         * Returns what the caller of an item gains by a place, for the time that the item holds it.
         *
         * @param part The part of the places that online requests leave, and so of the time for which an item runs.
         * @param now The present monotonic time in nanoseconds.
         */
        double gain(double part, long now) {
            return ask.work().gain(slack(now), part);
        }

        /** Returns whether waiting has become useless, or its holder asks no more. */
        boolean expired(long now, long patienceNanos) {
            boolean late = !ask.batch() && now - since > LATE_FACTOR * patience(ask);
            return late || now - since > ask.waitNanos() || now - askedAt > patienceNanos;
        }

        /** Notes that its holder asked again. */
        void asked(long now) {
            askedAt = now;
        }
    }
}
