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
 * Which instances run, from signs of life that pass from instance to instance with their age. No instance needs the
 * store or a majority for it. Not safe for use by several threads.
 */
public final class Liveness {

    /**
     * The silence after which an instance counts as lost, in nanoseconds. The directory must have dropped a lost
     * instance 6 s after its end on the smallest bounds; a sign takes up to 4 s to reach the last of 90 instances.
     */
    static final long SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(4_600);

    /** The time after which a lost instance is no longer asked, in nanoseconds: longer than any cut to survive. */
    private static final long FORGET_NANOS = TimeUnit.SECONDS.toNanos(60);

    /** How long all that is known of an instance is passed on, in nanoseconds; afterwards its number is enough. */
    private static final long NEWS_NANOS = TimeUnit.SECONDS.toNanos(4);

    /** How long an instance that did not answer does not dispatch at least, in nanoseconds: a few signs of life. */
    private static final long SUSPECT_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** The key by which the dispatcher is ranked. */
    private static final String DISPATCHER_KEY = "dispatcher";

    /** The processor share in cores from which an instance may dispatch for a fleet: that of the usual machines. */
    private static final double DISPATCHER_SHARE_LEAST = 1.0;

    /** The span within which starts count as equal, in milliseconds: a fleet starts within it. */
    private static final long START_SPAN_MILLIS = TimeUnit.SECONDS.toMillis(10);

    /** This instance. */
    private final Instance self;

    /** The identity of this instance as a text. */
    private final String selfText;

    /** The instances that were heard of, without this one. */
    private final Map<InstanceId, State> others = new HashMap<>();

    /** The incarnations that were heard of, by their number. */
    private final Map<Long, State> incarnations = new HashMap<>();

    /** Whether this instance leaves. */
    private boolean stopping;

    /** What follows from the signs, or {@code null} if it is to be derived anew. */
    @Nullable
    private View view;

    /** Creates a view with this instance alone. */
    private Liveness(Instance self) {
        this.self = self;
        selfText = self.id().toString();
    }

    /** Returns a view with this instance alone. */
    public static Liveness of(Instance self) {
        return new Liveness(self);
    }

    /** Returns this instance. */
    public Instance self() {
        return self;
    }

    /** Notes that this instance leaves. */
    public void stop() {
        stopping = true;
        view = null;
    }

    /** Returns whether this instance leaves. */
    public boolean stopping() {
        return stopping;
    }

    /**
     * Takes a sign of life in.
     *
     * @param heartbeat The sign.
     * @param now The present monotonic time in nanoseconds.
     */
    public void observe(Heartbeat heartbeat, long now) {
        if (heartbeat.instance().id().equals(self.id())) {
            return;
        }
        long heard = now - heartbeat.ageNanos();
        if (now - heard > FORGET_NANOS) {
            return;
        }
        State state = others.get(heartbeat.instance().id());
        if (state == null) {
            state = new State(heartbeat.instance(), heard, now);
            others.put(heartbeat.instance().id(), state);
            incarnations.put(heartbeat.instance().id().incarnation(), state);
            view = null;
        }
        if (heartbeat.stopping() && !state.stopping) {
            state.stopping = true;
            view = null;
        }
        hear(state, heard);
    }

    /**
     * Takes in that a run of an instance was alive.
     *
     * @param incarnation The incarnation.
     * @param ageNanos The time since it was last known to run, in nanoseconds.
     * @param now The present monotonic time in nanoseconds.
     * @return Whether the incarnation is known.
     */
    public boolean observe(long incarnation, long ageNanos, long now) {
        State state = incarnations.get(incarnation);
        if (state == null) {
            return incarnation == self.id().incarnation() || ageNanos > SILENCE_NANOS;
        }
        hear(state, now - ageNanos);
        return true;
    }

    /**
     * Notes that an instance did not answer this one. It does not dispatch for this one until it is heard of again, so
     * that requests need not wait until it counts as lost.
     *
     * @param id The identity.
     * @param now The present monotonic time in nanoseconds.
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
     * Returns how many instances there are, those included that were heard of only once.
     *
     * @param now The present monotonic time in nanoseconds.
     * @return The number of instances by name, with this one.
     */
    public int known(long now) {
        return view(now).known;
    }

    /** Notes when an instance was alive. */
    private void hear(State state, long heard) {
        if (heard - state.heardAt > 0) {
            state.heardAt = heard;
            View known = view;
            if (known != null && !known.steady.contains(state)) {
                view = null;
            }
        }
    }

    /**
     * Adds an instance that may run, of which nothing was heard.
     *
     * @param instance The instance.
     * @param now The present monotonic time in nanoseconds.
     */
    public void suggest(Instance instance, long now) {
        observe(new Heartbeat(instance, SILENCE_NANOS + 1, false), now);
    }

    /**
     * Returns what this instance knows, itself first.
     *
     * @param now The present monotonic time in nanoseconds.
     * @return The signs of life that are worth passing on.
     */
    public List<Heartbeat> heartbeats(long now) {
        List<Heartbeat> result = new ArrayList<>();
        result.add(new Heartbeat(self, 0, stopping, true));
        forget(now);
        for (State state : others.values()) {
            if (now - state.heardAt <= SILENCE_NANOS) {
                boolean recentlyChanged = state.stopping || now - state.firstHeardAt <= NEWS_NANOS;
                result.add(new Heartbeat(state.instance, now - state.heardAt, state.stopping, recentlyChanged));
            }
        }
        return result;
    }

    /** Forgets instances that have been silent for long. */
    private void forget(long now) {
        if (others.values().removeIf(state -> now - state.heardAt > FORGET_NANOS)) {
            incarnations.values().retainAll(others.values());
        }
    }

    /**
     * Returns whether a run of an instance is alive.
     *
     * @param id The identity.
     * @param now The present monotonic time in nanoseconds.
     * @return Whether it was heard lately and no later run of it was.
     */
    public boolean runs(InstanceId id, long now) {
        return runs(id.toString(), now);
    }

    /**
     * Returns whether a run of an instance is alive.
     *
     * @param id The identity as a text.
     * @param now The present monotonic time in nanoseconds.
     * @return Whether it is this one, or was heard lately and no later run of it was.
     */
    public boolean runs(String id, long now) {
        return id.equals(selfText) || view(now).running.containsKey(id);
    }

    /**
     * Finds another instance that runs.
     *
     * @param id The identity as a text.
     * @param now The present monotonic time in nanoseconds.
     * @return The instance, if it runs and is not this one.
     */
    public Optional<Instance> running(String id, long now) {
        return Optional.ofNullable(view(now).running.get(id));
    }

    /**
     * Returns the instances that run and do not leave, this one included unless it leaves.
     *
     * @param now The present monotonic time in nanoseconds.
     * @return The instances.
     */
    public List<Instance> serving(long now) {
        return view(now).serving;
    }

    /**
     * Returns the other instances that run, also those that leave.
     *
     * @param now The present monotonic time in nanoseconds.
     * @return The instances.
     */
    public Collection<Instance> running(long now) {
        return view(now).running.values();
    }

    /**
     * Returns the other instances that were heard of once and are silent.
     *
     * @param now The present monotonic time in nanoseconds.
     * @return The instances.
     */
    public List<Instance> silent(long now) {
        Map<String, State> newest = newest();
        return others.values().stream()
                .filter(state -> now - state.heardAt > SILENCE_NANOS && !replaced(state, newest))
                .map(state -> state.instance)
                .toList();
    }

    /**
     * Returns the instance that dispatches. Instances with a weak processor come last, since each request needs the
     * dispatcher, and those that started lately behind earlier ones: a process is slow at first, and a restart shall
     * not change the dispatcher once more.
     *
     * @param now The present monotonic time in nanoseconds.
     * @return The instance, this one if no other serves.
     */
    public Instance dispatcher(long now) {
        return view(now).dispatcher;
    }

    /** Returns what follows from the signs at a time. It stays true until one of them is too old. */
    private View view(long now) {
        View known = view;
        if (known == null || now - known.until > 0) {
            known = derive(now);
            view = known;
        }
        return known;
    }

    /** Derives what follows from the signs at a time. */
    private View derive(long now) {
        Map<String, State> newest = newest();
        Map<String, Instance> running = new LinkedHashMap<>();
        List<Instance> serving = new ArrayList<>();
        Set<State> steady = new HashSet<>();
        long until = now + SILENCE_NANOS;
        List<Instance> answering = new ArrayList<>();
        if (!stopping) {
            serving.add(self);
            answering.add(self);
        }
        for (State state : others.values()) {
            if (now - state.heardAt > SILENCE_NANOS || replaced(state, newest)) {
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
                steady.add(state);
            }
            if (state.suspected) {
                until = Math.min(until, Math.max(now, state.suspectedAt + SUSPECT_NANOS));
            }
            until = Math.min(until, state.heardAt + SILENCE_NANOS);
        }
        return new View(
                List.copyOf(serving),
                Collections.unmodifiableMap(running),
                dispatcher(answering),
                Collections.unmodifiableSet(steady),
                newest.size() + (newest.containsKey(self.id().name()) ? 0 : 1),
                until);
    }

    /** Returns the instance that dispatches, of those that serve and answer. */
    private Instance dispatcher(List<Instance> answering) {
        Optional<Rank> best = answering.stream().map(Rank::of).min(Rank.ORDER);
        List<Instance> first = answering.stream()
                .filter(instance -> best.filter(Rank.of(instance)::equals).isPresent())
                .toList();
        return Rendezvous.first(DISPATCHER_KEY, first, instance -> instance.id().name())
                .orElse(self);
    }

    /** Returns the run of each instance that was heard last. */
    private Map<String, State> newest() {
        Map<String, State> newest = new HashMap<>();
        for (State state : others.values()) {
            newest.merge(
                    state.instance.id().name(), state, (left, right) -> right.heardAt > left.heardAt ? right : left);
        }
        return newest;
    }

    /** Returns whether a later run of the same instance was heard after this one. */
    private boolean replaced(State state, Map<String, State> newest) {
        String name = state.instance.id().name();
        State last = newest.get(name);
        return name.equals(self.id().name()) || (last != null && last != state && last.heardAt > state.heardAt);
    }

    /**
     * A sign of life.
     *
     * @param instance The instance.
     * @param ageNanos The time since it was last known to run, in nanoseconds.
     * @param stopping Whether it leaves.
     * @param recentlyChanged Whether others may not know the instance yet, or that it leaves.
     */
    public record Heartbeat(Instance instance, long ageNanos, boolean stopping, boolean recentlyChanged) {

        /** Creates a sign that others may not know yet. */
        public Heartbeat(Instance instance, long ageNanos, boolean stopping) {
            this(instance, ageNanos, stopping, true);
        }
    }

    /**
     * What follows from the signs.
     *
     * @param serving The instances that run and do not leave.
     * @param running The other instances that run, by their identity as a text.
     * @param dispatcher The instance that dispatches.
     * @param steady The runs for which a later sign changes nothing but the time.
     * @param known The number of instances by name, also of silent ones.
     * @param until The monotonic time in nanoseconds until which this is true if no sign comes.
     */
    private record View(
            List<Instance> serving,
            Map<String, Instance> running,
            Instance dispatcher,
            Set<State> steady,
            int known,
            long until) {}

    /**
     * What ranks an instance as a dispatcher before the hash of its name.
     *
     * @param weak Whether its processor share is too small.
     * @param start The span in which it started.
     */
    private record Rank(boolean weak, long start) {

        /** The better one first. */
        private static final Comparator<Rank> ORDER =
                Comparator.comparing(Rank::weak).thenComparingLong(Rank::start);

        /** Returns the rank of an instance. */
        private static Rank of(Instance instance) {
            return new Rank(
                    instance.processorShare() < DISPATCHER_SHARE_LEAST, instance.startedMillis() / START_SPAN_MILLIS);
        }
    }

    /** What is known of an instance. */
    private static final class State {

        /** The instance. */
        private final Instance instance;

        /** The monotonic time in nanoseconds at which it was last known to run. */
        private long heardAt;

        /** Whether it leaves. */
        private boolean stopping;

        /** The monotonic time in nanoseconds at which this instance first heard of it. */
        private final long firstHeardAt;

        /** Whether it did not answer this instance. */
        private boolean suspected;

        /** The monotonic time in nanoseconds at which it last did not answer. */
        private long suspectedAt;

        /** Creates a state. */
        State(Instance instance, long heardAt, long firstHeardAt) {
            this.instance = instance;
            this.heardAt = heardAt;
            this.firstHeardAt = firstHeardAt;
        }

        /** Returns whether it is still not expected to answer. */
        private boolean suspected(long now) {
            if (suspected && heardAt - suspectedAt > 0 && now - suspectedAt > SUSPECT_NANOS) {
                suspected = false;
            }
            return suspected;
        }
    }
}
