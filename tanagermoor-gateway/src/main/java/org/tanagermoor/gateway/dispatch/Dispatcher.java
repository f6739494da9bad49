package org.tanagermoor.gateway.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.ToDoubleFunction;
import org.jspecify.annotations.Nullable;
import org.tanagermoor.gateway.fleet.TargetEntry;

/**
 * Decides which request gets which place. Engines admit in the order of arrival and know no priorities, so the queue
 * is kept here, and a request goes out only when a place is free. Answers bursts of online requests above what the
 * targets run at once: a caller that cannot be served on time is refused at once and comes back when the burst is over;
 * who came back once goes first and may wait a little longer; items of jobs yield. Not safe for use by several threads.
 */
public final class Dispatcher {

    /** How long a request stays queued without being asked for again, in nanoseconds: three rounds of its holder. */
    private static final long PATIENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(900);

    /** The same for an item of a job, whose holder asks once a second. */
    private static final long BATCH_PATIENCE_NANOS = TimeUnit.SECONDS.toNanos(3);

    /** The age from which a permit that its holder does not know of is taken back, in nanoseconds: two round trips. */
    private static final long RESYNC_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** The least time after which a refused caller is told to come back, in milliseconds. */
    private static final long RETRY_MILLIS_LEAST = 50;

    /** The time after which a caller is told to come back when no target is known, in milliseconds. */
    private static final long NO_TARGET_RETRY_MILLIS = 500;

    /** The services by name. */
    private final Map<String, ServiceQueue> services = new HashMap<>();

    /** The permits in use, by holder and number. */
    private final Map<String, Map<Long, Held>> held = new HashMap<>();

    /** The permits that were asked to be given up. */
    private final Set<Held> recalled = new HashSet<>();

    /** Whether items of jobs get no place, since not all places in use are known. */
    private boolean itemsWait;

    /** Receives what is decided later. */
    private final Sink sink;

    /** The rates of the teams. */
    private final TeamRates rates;

    /** Creates a dispatcher without targets. */
    private Dispatcher(Sink sink, TeamRates rates) {
        this.sink = sink;
        this.rates = rates;
    }

    /**
     * Returns a dispatcher without targets.
     *
     * @param sink Receives what is decided later.
     * @param rates The rates of the teams.
     * @return A dispatcher.
     */
    public static Dispatcher of(Sink sink, TeamRates rates) {
        return new Dispatcher(sink, rates);
    }

    /**
     * Takes over the targets that may be used.
     *
     * @param targets The targets.
     * @param coldPerSecond The requests a second that a cold target of a service bears.
     * @param now The present monotonic time in nanoseconds.
     */
    public void targets(Collection<TargetEntry> targets, ToDoubleFunction<String> coldPerSecond, long now) {
        Map<String, Set<String>> present = new HashMap<>();
        for (TargetEntry entry : targets) {
            present.computeIfAbsent(entry.service(), name -> new HashSet<>()).add(entry.id());
            Map<String, Place> places = queue(entry.service()).places();
            Place place = places.get(entry.id());
            if (place != null && place.entry().startedAtMillis() == entry.startedAtMillis()) {
                if (!place.entry().equals(entry)) {
                    place.update(entry, now);
                }
            } else {
                places.put(entry.id(), new Place(entry, coldPerSecond.applyAsDouble(entry.service()), now));
            }
        }
        services.forEach((name, queue) -> queue.places()
                .keySet()
                .removeIf(id -> !present.getOrDefault(name, Set.of()).contains(id)));
        services.values().forEach(queue -> drain(queue, now));
    }

    /** Returns the part of the places that online requests of a service have lately left to items of jobs. */
    public double leftPart(String service) {
        return queue(service).leftPart();
    }

    /**
     * Begins to decide, after another dispatcher or none.
     *
     * @param leftParts The part of the places that online requests leave, by service, as it was last told.
     */
    public void begin(Map<String, Double> leftParts) {
        services.forEach((name, queue) -> queue.expectLeft(
                leftParts.containsKey(name) ? LeftPlaces.after(leftParts.get(name)) : LeftPlaces.of()));
    }

    /**
     * Decides on a request, or queues it.
     *
     * @param ask The request; one that is asked for again keeps its place in the queue.
     * @param now The present monotonic time in nanoseconds.
     * @return The verdict, or empty if it is queued.
     */
    public Optional<Verdict> ask(Ask ask, long now) {
        Held present = held.getOrDefault(ask.holder(), Map.of()).get(ask.permit());
        if (present != null) {
            return Optional.of(new Verdict.Granted(present.target));
        }
        ServiceQueue queue = queue(ask.service());
        Optional<ServiceQueue.Waiting> waiting = find(queue, ask);
        if (waiting.isPresent()) {
            waiting.get().asked(now);
            return Optional.empty();
        }
        if (!ask.team().isEmpty()) {
            long millis = rates.take(ask.team(), now);
            if (millis > 0) {
                return refused(Verdict.Reason.RATE_LIMITED, millis);
            }
        }
        return place(queue, ask, now);
    }

    /**
     * Takes a permit back, or an ask that still waits.
     *
     * @param holder The instance that held it.
     * @param permit The number of the permit.
     * @param outcome How its use ended.
     * @param now The present monotonic time in nanoseconds.
     */
    public void release(String holder, long permit, PlaceOutcome outcome, long now) {
        Map<Long, Held> permits = held.get(holder);
        Held place = permits == null ? null : permits.remove(permit);
        if (place == null) {
            services.values().forEach(queue -> {
                queue.online().removeIf(waiting -> is(waiting.ask(), holder, permit));
                queue.batch().removeIf(waiting -> is(waiting.ask(), holder, permit));
            });
            return;
        }
        recalled.remove(place);
        ServiceQueue queue = queue(place.service);
        Place target = queue.places().get(place.target);
        if (target != null) {
            target.release(place.batch, outcome, now);
            target.note(place.domain, outcome, now);
            if (!place.batch && outcome == PlaceOutcome.SERVED) {
                target.held(now - place.since);
                queue.held(now - place.since);
            }
        }
        drain(queue, now);
    }

    /**
     * Replaces what is known of the permits of a holder by what it says it holds. Permits that were granted a moment
     * ago stay, since the holder may not have heard of them.
     *
     * @param holder The instance.
     * @param permits Its permits.
     * @param now The present monotonic time in nanoseconds.
     */
    public void resync(String holder, Collection<HeldPlace> permits, long now) {
        Map<Long, Held> known = held.computeIfAbsent(holder, name -> new HashMap<>());
        Set<Long> told = new HashSet<>();
        permits.forEach(permit -> told.add(permit.permit()));
        for (Held place : List.copyOf(known.values())) {
            if (!told.contains(place.permit) && now - place.since > RESYNC_NANOS) {
                release(holder, place.permit, PlaceOutcome.UNUSED, now);
            }
        }
        for (HeldPlace permit : permits) {
            if (!known.containsKey(permit.permit())) {
                known.put(permit.permit(), new Held(holder, permit, "", now));
                Place place = queue(permit.service()).places().get(permit.target());
                if (place != null) {
                    place.count(permit.batch(), 1);
                }
            }
        }
    }

    /** Returns whether a holder has told what it holds. */
    public boolean knows(String holder) {
        return held.containsKey(holder);
    }

    /** Returns the holders that have told what they hold. */
    public Set<String> holders() {
        return Set.copyOf(held.keySet());
    }

    /**
     * Forgets a holder that is gone, and frees its places.
     *
     * @param holder The instance.
     * @param now The present monotonic time in nanoseconds.
     */
    public void forget(String holder, long now) {
        Map<Long, Held> permits = held.remove(holder);
        if (permits == null) {
            return;
        }
        permits.values().forEach(place -> {
            recalled.remove(place);
            Place target = queue(place.service).places().get(place.target);
            if (target != null) {
                target.release(place.batch, PlaceOutcome.UNUSED, now);
            }
        });
        services.values().forEach(queue -> {
            queue.online().removeIf(waiting -> waiting.ask().holder().equals(holder));
            queue.batch().removeIf(waiting -> waiting.ask().holder().equals(holder));
            drain(queue, now);
        });
    }

    /**
     * Refuses what has waited in vain, and gives out places that time alone has opened.
     *
     * @param now The present monotonic time in nanoseconds.
     */
    public void tick(long now) {
        for (ServiceQueue queue : services.values()) {
            queue.look(now);
            expire(queue, queue.online(), now);
            expire(queue, queue.batch(), now);
            drain(queue, now);
        }
    }

    /**
     * Lets items of jobs wait until all places in use are known, or no longer.
     *
     * @param value Whether they wait.
     * @param now The present monotonic time in nanoseconds.
     */
    public void itemsWait(boolean value, long now) {
        boolean before = itemsWait;
        itemsWait = value;
        if (before && !value) {
            services.values().forEach(queue -> drain(queue, now));
        }
    }

    /** Returns whether anything waits. */
    public boolean waits() {
        return services.values().stream()
                .anyMatch(queue -> !queue.online().isEmpty() || !queue.batch().isEmpty());
    }

    /** Returns the online requests that wait. */
    public int waiting() {
        return services.values().stream()
                .mapToInt(queue -> queue.online().size())
                .sum();
    }

    /** Gives a place to a request that was not seen before, or queues or refuses it. */
    private Optional<Verdict> place(ServiceQueue queue, Ask ask, long now) {
        if (!queue.hasTargets() && !ask.batch()) {
            return refused(Verdict.Reason.NO_TARGET, NO_TARGET_RETRY_MILLIS);
        }
        boolean first = ask.batch()
                ? !itemsWait && queue.batch().isEmpty() && queue.online().isEmpty()
                : !contended(queue, now);
        Optional<Place> place = first ? queue.choose(ask, now) : Optional.empty();
        if (place.isPresent()) {
            return Optional.of(grant(queue, ask, place.get(), ask.onTimeNanos(), now));
        }
        if (!ask.batch()) {
            double wait = expectedWait(queue, now);
            if (wait > ServiceQueue.patience(ask)) {
                return refused(Verdict.Reason.OVERLOADED, millis(wait));
            }
        }
        (ask.batch() ? queue.batch() : queue.online()).add(new ServiceQueue.Waiting(ask, now));
        if (!ask.batch()) {
            recallOne(queue, now);
        }
        return Optional.empty();
    }

    /** Returns whether an online request that can be on time waits before a new one. */
    private static boolean contended(ServiceQueue queue, long now) {
        return queue.online().stream().anyMatch(waiting -> waiting.onTime(now));
    }

    /**
     * Returns the time that a new online request is expected to wait, in nanoseconds: behind those that can be on time,
     * while places are given back one after the other. Places of items of jobs are given up at once.
     */
    private double expectedWait(ServiceQueue queue, long now) {
        long before =
                queue.online().stream().filter(waiting -> waiting.onTime(now)).count();
        long position = before + 1 - queue.batchPlaces();
        return position <= 0 ? ServiceQueue.RECALL_NANOS : position * queue.holdNanos() / (queue.slots(now) + 1);
    }

    /** Gives out free places: to online requests that can be on time, to late ones, then to items of jobs. */
    private void drain(ServiceQueue queue, long now) {
        while (!queue.online().isEmpty()) {
            ServiceQueue.Waiting next = queue.nextOnline(now);
            if (!serve(queue, queue.online(), next, now)) {
                return;
            }
        }
        while (!itemsWait && !queue.batch().isEmpty()) {
            if (!serve(queue, queue.batch(), queue.nextBatch(now), now)) {
                return;
            }
        }
    }

    /** Gives a place to a request that waits, if one is free. */
    private boolean serve(ServiceQueue queue, List<ServiceQueue.Waiting> waiting, ServiceQueue.Waiting next, long now) {
        Optional<Place> place = queue.choose(next.ask(), now);
        if (place.isEmpty()) {
            return false;
        }
        waiting.remove(next);
        sink.decided(next.ask(), grant(queue, next.ask(), place.get(), next.slack(now), now));
        return true;
    }

    /** Refuses what has waited in vain. */
    private void expire(ServiceQueue queue, List<ServiceQueue.Waiting> waiting, long now) {
        Iterator<ServiceQueue.Waiting> iterator = waiting.iterator();
        List<ServiceQueue.Waiting> expired = new ArrayList<>();
        while (iterator.hasNext()) {
            ServiceQueue.Waiting next = iterator.next();
            if (next.expired(now, next.ask().batch() ? BATCH_PATIENCE_NANOS : PATIENCE_NANOS)) {
                iterator.remove();
                expired.add(next);
            }
        }
        long retry = millis(expectedWait(queue, now));
        expired.forEach(next -> sink.decided(next.ask(), new Verdict.Refused(Verdict.Reason.OVERLOADED, retry)));
    }

    /** Asks for the place of the item of a job whose caller loses least. */
    private void recallOne(ServiceQueue queue, long now) {
        Held best = null;
        for (Map<Long, Held> permits : held.values()) {
            for (Held place : permits.values()) {
                if (place.batch
                        && queue.places().containsKey(place.target)
                        && !recalled.contains(place)
                        && (best == null || place.losesLess(best, queue.leftPart(), now))) {
                    best = place;
                }
            }
        }
        if (best != null) {
            recalled.add(best);
            sink.recall(best.holder, best.permit);
        }
    }

    /** Grants a place. */
    private Verdict grant(ServiceQueue queue, Ask ask, Place place, long slack, long now) {
        place.take(ask.batch(), now);
        queue.remember(ask, place);
        HeldPlace permit =
                new HeldPlace(ask.permit(), ask.service(), place.entry().id(), ask.batch(), slack, ask.work());
        held.computeIfAbsent(ask.holder(), holder -> new HashMap<>())
                .put(ask.permit(), new Held(ask.holder(), permit, ask.domain(), now));
        return new Verdict.Granted(place.entry().id());
    }

    /** Finds an ask that waits. */
    private static Optional<ServiceQueue.Waiting> find(ServiceQueue queue, Ask ask) {
        return (ask.batch() ? queue.batch() : queue.online())
                .stream()
                        .filter(waiting -> is(waiting.ask(), ask.holder(), ask.permit()))
                        .findFirst();
    }

    /** Returns whether an ask has the given identity. */
    private static boolean is(Ask ask, String holder, long permit) {
        return ask.permit() == permit && ask.holder().equals(holder);
    }

    /** Returns the queue of a service. */
    private ServiceQueue queue(String service) {
        return services.computeIfAbsent(service, name -> new ServiceQueue());
    }

    /** Returns a refusal. */
    private static Optional<Verdict> refused(Verdict.Reason reason, long millis) {
        return Optional.of(new Verdict.Refused(reason, millis));
    }

    /** Returns a time to come back, in milliseconds. */
    private static long millis(double nanos) {
        return Math.max(RETRY_MILLIS_LEAST, (long) (nanos / 1e6));
    }

    /** Receives what is decided later. */
    public interface Sink {

        /** Takes the verdict on an ask that waited. */
        void decided(Ask ask, Verdict verdict);

        /** Asks the holder of a batch permit to give it up. */
        void recall(String holder, long permit);
    }

    /**
     * A place that a holder says it holds.
     *
     * @param permit The number of the permit.
     * @param service The name of the service.
     * @param target The identity of the target.
     * @param batch Whether an item of a job uses it.
     * @param slackNanos How long the request could wait on and be on time, in nanoseconds; below 0 if it is late.
     * @param work The work that is left of an item of a job.
     */
    public record HeldPlace(long permit, String service, String target, boolean batch, long slackNanos, Work work) {}

    /** A place in use. */
    private static final class Held {

        /** The holder. */
        private final String holder;

        /** The number of the permit. */
        private final long permit;

        /** The name of the service. */
        private final String service;

        /** The identity of the target. */
        private final String target;

        /** Whether an item of a job uses it. */
        private final boolean batch;

        /** The failure domain of the holder; empty if it is not known. */
        private final String domain;

        /** How long the request could have waited on and been on time, in nanoseconds; below 0 if it is late. */
        private final long slack;

        /** The work that was left at the grant. */
        private final Work work;

        /** The monotonic time of the grant in nanoseconds. */
        private final long since;

        /** Creates a place in use. */
        Held(String holder, HeldPlace place, String domain, long since) {
            this.holder = holder;
            this.domain = domain;
            slack = place.slackNanos();
            work = place.work();
            permit = place.permit();
            service = place.service();
            target = place.target();
            batch = place.batch();
            this.since = since;
        }

        /** Returns whether the caller of an item loses less by a recall than that of another one. */
        private boolean losesLess(Held other, double leftPart, long now) {
            double gain = work.after(now - since).gain(slack, leftPart);
            double otherGain = other.work.after(now - other.since).gain(other.slack, leftPart);
            if (gain != otherGain) {
                return gain < otherGain;
            }
            return slack == other.slack ? since - other.since > 0 : slack > other.slack;
        }

        /** {@inheritDoc} */
        @Override
        public boolean equals(@Nullable Object other) {
            return this == other;
        }

        /** {@inheritDoc} */
        @Override
        public int hashCode() {
            return System.identityHashCode(this);
        }
    }
}
