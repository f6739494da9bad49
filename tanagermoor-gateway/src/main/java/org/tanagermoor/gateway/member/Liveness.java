package org.tanagermoor.gateway.member;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.tanagermoor.policy.fleet.InstanceId;
import org.tanagermoor.policy.fleet.Rendezvous;

/**
 * Tracks which instances run, from heartbeats that are passed from instance to instance together with their age. This
 * requires neither the store nor a majority. Not thread-safe.
 */
public final class Liveness {

    /**
     * The silence after which an instance counts as lost, in nanoseconds. The directory must have dropped a lost
     * instance 6 s after its end under the tightest bounds; a heartbeat takes up to 4 s to reach the last of 90
     * instances.
     */
    static final long SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(4_600);

    /**
     * The time after which a lost instance is no longer tried, in nanoseconds: longer than any network partition that
     * must be survived.
     */
    private static final long FORGET_NANOS = TimeUnit.SECONDS.toNanos(60);

    /**
     * How long the complete description of an instance is passed on, in nanoseconds; afterwards its incarnation
     * suffices.
     */
    private static final long FULL_DETAIL_NANOS = TimeUnit.SECONDS.toNanos(4);

    /**
     * The minimum time for which an instance that did not answer is not used as the dispatcher, in nanoseconds: a few
     * heartbeats.
     */
    private static final long SUSPECT_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** The key of the hash by which the dispatcher is ranked. */
    private static final String DISPATCHER_KEY = "dispatcher";

    /**
     * The minimum processor share in cores with which an instance is preferred as the dispatcher of a fleet: that of
     * the usual machines.
     */
    private static final double MIN_DISPATCHER_SHARE = 1.0;

    /** The span within which starts count as simultaneous, in milliseconds: a fleet starts within it. */
    private static final long START_SPAN_MILLIS = TimeUnit.SECONDS.toMillis(10);

    private final Instance self;

    /** The identity of this instance as text. */
    private final String selfText;

    /** The runs of other instances by identity, including silent ones and those that are only candidates. */
    private final Map<InstanceId, State> others = new HashMap<>();

    /** The same runs by incarnation. */
    private final Map<Long, State> incarnations = new HashMap<>();

    /** Whether this instance is stopping. */
    private boolean stopping;

    /** What the heartbeats imply; {@code null} if it must be derived again. */
    @Nullable
    private View view;

    private Liveness(Instance self) {
        this.self = self;
        selfText = self.id().toString();
    }

    /** Returns a tracker that knows only this instance. */
    public static Liveness of(Instance self) {
        return new Liveness(self);
    }

    /** Returns this instance, which the tracker never counts as silent. */
    public Instance self() {
        return self;
    }

    /** Records that this instance is stopping. */
    public void stop() {
        stopping = true;
        view = null;
    }

    /** Returns whether this instance is stopping. */
    public boolean stopping() {
        return stopping;
    }

    /**
     * Records a heartbeat. One of this instance itself, or one that is too old to matter, is ignored.
     *
     * @param heartbeat The heartbeat.
     * @param now The current monotonic time in nanoseconds.
     */
    public void observe(Heartbeat heartbeat, long now) {
        if (heartbeat.instance().id().equals(self.id())) {
            return;
        }
        long seenAt = now - heartbeat.ageNanos();
        if (now - seenAt > FORGET_NANOS) {
            return;
        }
        State state = others.get(heartbeat.instance().id());
        if (state == null) {
            state = new State(heartbeat.instance(), seenAt, now);
            others.put(heartbeat.instance().id(), state);
            incarnations.put(heartbeat.instance().id().incarnation(), state);
            view = null;
        }
        if (heartbeat.stopping() && !state.stopping) {
            state.stopping = true;
            view = null;
        }
        if (!state.heard && heartbeat.ageNanos() <= SILENCE_NANOS) {
            state.heard = true;
            view = null;
        }
        updateLastSeen(state, seenAt);
    }

    /**
     * Records that a run of an instance was alive.
     *
     * @param incarnation The incarnation of the run.
     * @param ageNanos The time since it was last known to run, in nanoseconds.
     * @param now The current monotonic time in nanoseconds.
     * @return Whether the incarnation is known, or too old for its description to be needed.
     */
    public boolean observe(long incarnation, long ageNanos, long now) {
        State state = incarnations.get(incarnation);
        if (state == null) {
            return incarnation == self.id().incarnation() || ageNanos > SILENCE_NANOS;
        }
        if (!state.heard && ageNanos <= SILENCE_NANOS) {
            state.heard = true;
            view = null;
        }
        updateLastSeen(state, now - ageNanos);
        return true;
    }

    /**
     * Records that an instance did not answer this one. This instance does not use it as the dispatcher until it
     * receives another heartbeat of it, so that requests need not wait until it counts as lost.
     *
     * @param id The identity.
     * @param now The current monotonic time in nanoseconds.
     */
    public void suspect(InstanceId id, long now) {
        State state = others.get(id);
        if (state != null) {
            state.suspected = true;
            state.suspectedAt = now;
            view = null;
        }
    }

    /**
     * Returns the names of the other known instances that are not stopping, including those that are silent or only
     * candidates.
     *
     * @param now The current monotonic time in nanoseconds.
     * @return The names; the same object while nothing has changed.
     */
    public Set<String> known(long now) {
        return view(now).known;
    }

    /**
     * Returns the number of these instances of which this one has received a heartbeat, so that they are not only
     * candidates.
     *
     * @param now The current monotonic time in nanoseconds.
     * @return The number, without this instance.
     */
    public int heard(long now) {
        return view(now).heard;
    }

    /** Updates the time at which a run was last known to be alive. */
    private void updateLastSeen(State state, long seenAt) {
        if (seenAt - state.lastSeenAt > 0) {
            state.lastSeenAt = seenAt;
            View known = view;
            if (known != null && !known.stable.contains(state)) {
                view = null;
            }
        }
    }

    /**
     * Adds an instance that may run, without a heartbeat of it.
     *
     * @param instance The instance.
     * @param now The current monotonic time in nanoseconds.
     */
    public void addCandidate(Instance instance, long now) {
        observe(new Heartbeat(instance, SILENCE_NANOS + 1, false), now);
    }

    /**
     * Returns the heartbeats to pass on to other instances, that of this instance first.
     *
     * @param now The current monotonic time in nanoseconds.
     * @return The heartbeats of all runs that are not silent.
     */
    public List<Heartbeat> heartbeats(long now) {
        List<Heartbeat> result = new ArrayList<>();
        result.add(new Heartbeat(self, 0, stopping, true));
        forget(now);
        for (State state : others.values()) {
            if (now - state.lastSeenAt <= SILENCE_NANOS) {
                boolean recentlyChanged = state.stopping || now - state.firstSeenAt <= FULL_DETAIL_NANOS;
                result.add(new Heartbeat(state.instance, now - state.lastSeenAt, state.stopping, recentlyChanged));
            }
        }
        return result;
    }

    /** Removes runs that have been silent for longer than {@link #FORGET_NANOS}. */
    private void forget(long now) {
        if (others.values().removeIf(state -> now - state.lastSeenAt > FORGET_NANOS)) {
            incarnations.values().retainAll(others.values());
        }
    }

    /**
     * Returns whether a run of an instance is alive.
     *
     * @param id The identity.
     * @param now The current monotonic time in nanoseconds.
     * @return Whether it is this one, or was alive recently and no later run of the same instance is known.
     */
    public boolean runs(InstanceId id, long now) {
        return runs(id.toString(), now);
    }

    /**
     * Returns whether a run of an instance is alive.
     *
     * @param id The identity as text.
     * @param now The current monotonic time in nanoseconds.
     * @return Whether it is this one, or was alive recently and no later run of the same instance is known.
     */
    public boolean runs(String id, long now) {
        return id.equals(selfText) || view(now).running.containsKey(id);
    }

    /**
     * Returns whether a run of another instance is known to dispatch no more: it is stopping, or a later run of the
     * same instance was alive.
     *
     * @param id The identity.
     * @return Whether it is; not if it is only silent.
     */
    public boolean ended(InstanceId id) {
        State state = others.get(id);
        return state != null && (state.stopping || replaced(state, newest()));
    }

    /**
     * Finds another instance that runs.
     *
     * @param id The identity as text.
     * @param now The current monotonic time in nanoseconds.
     * @return The instance; empty if it does not run or is this one.
     */
    public Optional<Instance> running(String id, long now) {
        return Optional.ofNullable(view(now).running.get(id));
    }

    /**
     * Returns the instances that run and are not stopping, including this one unless it is stopping.
     *
     * @param now The current monotonic time in nanoseconds.
     * @return The instances.
     */
    public List<Instance> serving(long now) {
        return view(now).serving;
    }

    /**
     * Returns the other instances that run, including those that are stopping.
     *
     * @param now The current monotonic time in nanoseconds.
     * @return The instances.
     */
    public Collection<Instance> running(long now) {
        return view(now).running.values();
    }

    /**
     * Returns the other known instances that are silent.
     *
     * @param now The current monotonic time in nanoseconds.
     * @return The instances.
     */
    public List<Instance> silent(long now) {
        Map<String, State> newest = newest();
        return others.values().stream()
                .filter(state -> now - state.lastSeenAt > SILENCE_NANOS && !replaced(state, newest))
                .map(state -> state.instance)
                .toList();
    }

    /**
     * Returns whether another known instance is silent, but not for as long as the given time.
     *
     * @param nanos The time in nanoseconds.
     * @param now The current monotonic time in nanoseconds.
     * @return Whether there is such an instance, which may still run.
     */
    public boolean silentWithin(long nanos, long now) {
        Map<String, State> newest = newest();
        return others.values().stream()
                .anyMatch(state -> now - state.lastSeenAt > SILENCE_NANOS
                        && now - state.lastSeenAt < nanos
                        && !replaced(state, newest));
    }

    /**
     * Returns the dispatcher. Instances with a weak processor rank last, since each request depends on the dispatcher,
     * and those that started later rank behind earlier ones: a process is slow at first, and a restart must not cause a
     * second change of the dispatcher.
     *
     * @param now The current monotonic time in nanoseconds.
     * @return The instance; this one if no other serves.
     */
    public Instance dispatcher(long now) {
        return view(now).dispatcher;
    }

    /**
     * Returns what the heartbeats imply at a time, from the cache while no heartbeat on which it is based is too old.
     */
    private View view(long now) {
        View known = view;
        if (known == null || now - known.validUntil > 0) {
            known = derive(now);
            view = known;
        }
        return known;
    }

    /** Derives what the heartbeats imply at a time. */
    private View derive(long now) {
        Map<String, State> newest = newest();
        Map<String, Instance> running = new LinkedHashMap<>();
        List<Instance> serving = new ArrayList<>();
        Set<State> stable = new HashSet<>();
        long validUntil = now + SILENCE_NANOS;
        List<Instance> answering = new ArrayList<>();
        if (!stopping) {
            serving.add(self);
            answering.add(self);
        }
        for (State state : others.values()) {
            if (now - state.lastSeenAt > SILENCE_NANOS || replaced(state, newest)) {
                continue;
            }
            running.put(state.instance.id().toString(), state.instance);
            if (!state.stopping) {
                serving.add(state.instance);
            }
            if (!state.stopping && !state.suspected(now)) {
                answering.add(state.instance);
            }
            if (newest.get(state.instance.id().name()) == state && !state.suspected) {
                stable.add(state);
            }
            if (state.suspected) {
                validUntil = Math.min(validUntil, Math.max(now, state.suspectedAt + SUSPECT_NANOS));
            }
            validUntil = Math.min(validUntil, state.lastSeenAt + SILENCE_NANOS);
        }
        Set<String> known = new HashSet<>();
        int heard = 0;
        newest.remove(self.id().name());
        for (Map.Entry<String, State> entry : newest.entrySet()) {
            if (!entry.getValue().stopping) {
                known.add(entry.getKey());
                heard += entry.getValue().heard ? 1 : 0;
            }
        }
        return new View(
                List.copyOf(serving),
                Collections.unmodifiableMap(running),
                dispatcher(answering),
                Collections.unmodifiableSet(stable),
                Collections.unmodifiableSet(known),
                heard,
                validUntil);
    }

    /** Returns the dispatcher among the instances that serve and answer. */
    private Instance dispatcher(List<Instance> answering) {
        Optional<Rank> best = answering.stream().map(Rank::of).min(Rank.ORDER);
        List<Instance> first = answering.stream()
                .filter(instance -> best.filter(Rank.of(instance)::equals).isPresent())
                .toList();
        return Rendezvous.first(DISPATCHER_KEY, first, instance -> instance.id().name())
                .orElse(self);
    }

    /** Returns the run of each instance that was most recently alive, by the name of the instance. */
    private Map<String, State> newest() {
        Map<String, State> newest = new HashMap<>();
        for (State state : others.values()) {
            newest.merge(
                    state.instance.id().name(),
                    state,
                    (left, right) -> right.lastSeenAt > left.lastSeenAt ? right : left);
        }
        return newest;
    }

    /**
     * Returns whether the run is an earlier one of this instance, or another run of the same instance was alive more
     * recently.
     */
    private boolean replaced(State state, Map<String, State> newest) {
        String name = state.instance.id().name();
        State last = newest.get(name);
        return name.equals(self.id().name()) || (last != null && last != state && last.lastSeenAt > state.lastSeenAt);
    }

    /**
     * A heartbeat: an instance was alive some time ago.
     *
     * @param instance The instance.
     * @param ageNanos The time since it was last known to run, in nanoseconds.
     * @param stopping Whether it is stopping.
     * @param recentlyChanged Whether other instances may not know yet that the instance exists or is stopping.
     */
    public record Heartbeat(Instance instance, long ageNanos, boolean stopping, boolean recentlyChanged) {

        /** Creates a heartbeat of an instance that others may not know yet. */
        public Heartbeat(Instance instance, long ageNanos, boolean stopping) {
            this(instance, ageNanos, stopping, true);
        }
    }

    /**
     * What the heartbeats imply.
     *
     * @param serving The instances that run and are not stopping.
     * @param running The other instances that run, by their identity as text.
     * @param dispatcher The instance that dispatches.
     * @param stable The runs for which a further heartbeat changes only the time at which they were last alive.
     * @param known The names of the other instances that are not stopping, including silent ones.
     * @param heard The number of these of which a heartbeat was received.
     * @param validUntil The monotonic time in nanoseconds until which this holds if no heartbeat is received.
     */
    private record View(
            List<Instance> serving,
            Map<String, Instance> running,
            Instance dispatcher,
            Set<State> stable,
            Set<String> known,
            int heard,
            long validUntil) {}

    /**
     * The rank of an instance as the dispatcher; equal ranks are ordered by the hash of the name.
     *
     * @param weak Whether its processor share is too small.
     * @param start The number of the span in which it started.
     */
    private record Rank(boolean weak, long start) {

        /** Orders better ranks first. */
        private static final Comparator<Rank> ORDER =
                Comparator.comparing(Rank::weak).thenComparingLong(Rank::start);

        private static Rank of(Instance instance) {
            return new Rank(
                    instance.processorShare() < MIN_DISPATCHER_SHARE, instance.startedMillis() / START_SPAN_MILLIS);
        }
    }

    /** What is known of a run of an instance. */
    private static final class State {

        private final Instance instance;

        /** The monotonic time in nanoseconds at which it was last known to run. */
        private long lastSeenAt;

        private boolean stopping;

        /** Whether a heartbeat of it was received. */
        private boolean heard;

        /** The monotonic time in nanoseconds at which this instance first received a heartbeat of it. */
        private final long firstSeenAt;

        /** Whether it failed to answer this instance. */
        private boolean suspected;

        /** The monotonic time in nanoseconds at which it last failed to answer. */
        private long suspectedAt;

        State(Instance instance, long lastSeenAt, long firstSeenAt) {
            this.instance = instance;
            this.lastSeenAt = lastSeenAt;
            this.firstSeenAt = firstSeenAt;
        }

        /** Returns whether it is still expected not to answer; resets that after another heartbeat of it. */
        private boolean suspected(long now) {
            if (suspected && lastSeenAt - suspectedAt > 0 && now - suspectedAt > SUSPECT_NANOS) {
                suspected = false;
            }
            return suspected;
        }
    }
}
