package org.tanagermoor.gateway.member;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.tanagermoor.policy.fleet.InstanceId;
import org.tanagermoor.policy.fleet.Rendezvous;

/**
 * Which instances run, from signs of life that pass from instance to instance with their age. No instance needs the
 * store or a majority for it. Not safe for use by several threads.
 */
public final class Liveness {

    /**
     * The silence after which an instance counts as lost, in nanoseconds. The directory must have dropped a lost
     * instance 6 s after its end on the smallest bounds; a sign takes about 2 s to reach everybody.
     */
    static final long SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(3_500);

    /** The time after which a lost instance is no longer asked, in nanoseconds: longer than any cut to survive. */
    private static final long FORGET_NANOS = TimeUnit.SECONDS.toNanos(60);

    /** The key by which the dispatcher is ranked. */
    private static final String DISPATCHER_KEY = "dispatcher";

    /** The processor share in cores from which an instance may dispatch for a fleet: that of the usual machines. */
    private static final double DISPATCHER_SHARE_LEAST = 1.0;

    /** The span within which starts count as equal, in milliseconds: a fleet starts within it. */
    private static final long START_SPAN_MILLIS = TimeUnit.SECONDS.toMillis(10);

    /** This instance. */
    private final Instance self;

    /** The instances that were heard of, without this one. */
    private final Map<InstanceId, State> others = new HashMap<>();

    /** Whether this instance leaves. */
    private boolean stopping;

    /** Creates a view with this instance alone. */
    private Liveness(Instance self) {
        this.self = self;
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
    }

    /** Returns whether this instance leaves. */
    public boolean stopping() {
        return stopping;
    }

    /**
     * Takes a sign of life in.
     *
     * @param sign The sign.
     * @param now The present monotonic time in nanoseconds.
     */
    public void observe(Sign sign, long now) {
        if (sign.instance().id().equals(self.id())) {
            return;
        }
        long heard = now - sign.ageNanos();
        if (now - heard > FORGET_NANOS) {
            return;
        }
        State state = others.computeIfAbsent(sign.instance().id(), id -> new State(sign.instance(), heard));
        state.heardAt = Math.max(state.heardAt, heard);
        state.stopping |= sign.stopping();
    }

    /**
     * Adds an instance that may run, of which nothing was heard.
     *
     * @param instance The instance.
     * @param now The present monotonic time in nanoseconds.
     */
    public void suggest(Instance instance, long now) {
        observe(new Sign(instance, SILENCE_NANOS + 1, false), now);
    }

    /**
     * Returns what this instance knows, itself first.
     *
     * @param now The present monotonic time in nanoseconds.
     * @return The signs of life that are worth passing on.
     */
    public List<Sign> signs(long now) {
        List<Sign> result = new ArrayList<>();
        result.add(new Sign(self, 0, stopping));
        others.values().removeIf(state -> now - state.heardAt > FORGET_NANOS);
        for (State state : others.values()) {
            if (now - state.heardAt <= SILENCE_NANOS) {
                result.add(new Sign(state.instance, now - state.heardAt, state.stopping));
            }
        }
        return result;
    }

    /**
     * Returns whether an instance runs.
     *
     * @param id The identity.
     * @param now The present monotonic time in nanoseconds.
     * @return Whether it was heard lately and no later run of it was.
     */
    public boolean runs(InstanceId id, long now) {
        if (id.equals(self.id())) {
            return true;
        }
        State state = others.get(id);
        return state != null && now - state.heardAt <= SILENCE_NANOS && !replaced(state);
    }

    /**
     * Returns the instances that run and do not leave, this one included unless it leaves.
     *
     * @param now The present monotonic time in nanoseconds.
     * @return The instances.
     */
    public List<Instance> serving(long now) {
        List<Instance> result = new ArrayList<>();
        if (!stopping) {
            result.add(self);
        }
        for (State state : others.values()) {
            if (!state.stopping && runs(state.instance.id(), now)) {
                result.add(state.instance);
            }
        }
        return result;
    }

    /**
     * Returns the other instances that run, also those that leave.
     *
     * @param now The present monotonic time in nanoseconds.
     * @return The instances.
     */
    public List<Instance> running(long now) {
        return others.values().stream()
                .filter(state -> runs(state.instance.id(), now))
                .map(state -> state.instance)
                .toList();
    }

    /**
     * Returns the other instances that were heard of once and are silent.
     *
     * @param now The present monotonic time in nanoseconds.
     * @return The instances.
     */
    public List<Instance> silent(long now) {
        return others.values().stream()
                .filter(state -> now - state.heardAt > SILENCE_NANOS && !replaced(state))
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
        List<Instance> serving = serving(now);
        Optional<Rank> best = serving.stream().map(Rank::of).min(Rank.ORDER);
        List<Instance> first = serving.stream()
                .filter(instance -> best.filter(Rank.of(instance)::equals).isPresent())
                .toList();
        return Rendezvous.first(DISPATCHER_KEY, first, instance -> instance.id().name())
                .orElse(self);
    }

    /** Returns whether a later run of the same instance was heard after this one. */
    private boolean replaced(State state) {
        String name = state.instance.id().name();
        if (name.equals(self.id().name())) {
            return true;
        }
        return others.values().stream()
                .anyMatch(other ->
                        other != state && other.instance.id().name().equals(name) && other.heardAt > state.heardAt);
    }

    /**
     * A sign of life.
     *
     * @param instance The instance.
     * @param ageNanos The time since it was last known to run, in nanoseconds.
     * @param stopping Whether it leaves.
     */
    public record Sign(Instance instance, long ageNanos, boolean stopping) {}

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

        /** Creates a state. */
        State(Instance instance, long heardAt) {
            this.instance = instance;
            this.heardAt = heardAt;
        }
    }
}
