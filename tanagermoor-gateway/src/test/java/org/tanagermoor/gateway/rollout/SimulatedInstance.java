package org.tanagermoor.gateway.rollout;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.embedded.EmbeddedChannel;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.tanagermoor.gateway.FleetState;
import org.tanagermoor.gateway.GatewayEvent;
import org.tanagermoor.gateway.GatewayMetrics;
import org.tanagermoor.gateway.MetricsText;
import org.tanagermoor.gateway.duty.Duties;
import org.tanagermoor.gateway.fleet.FleetCodec;
import org.tanagermoor.gateway.fleet.FleetConfiguration;
import org.tanagermoor.gateway.fleet.TargetEntry;
import org.tanagermoor.gateway.follow.FollowedTable;
import org.tanagermoor.gateway.follow.TableFollower;
import org.tanagermoor.kernel.event.EventLog;
import org.tanagermoor.kernel.event.EventRecord;
import org.tanagermoor.kernel.event.EventType;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.kernel.setting.Address;
import org.tanagermoor.kernel.time.HybridClock;
import org.tanagermoor.kernel.time.TimeSource;
import org.tanagermoor.policy.rollout.Rollout;
import org.tanagermoor.policy.rollout.RolloutLimits;
import org.tanagermoor.policy.rollout.RolloutOrder;
import org.tanagermoor.policy.rollout.RolloutPhase;
import org.tanagermoor.policy.rollout.RolloutView;

/** The part of an instance that concerns roll-outs, on a simulated clock, with decisions that a test sets. */
final class SimulatedInstance {

    static final RolloutLimits LIMITS = new RolloutLimits(0.1, 50, Duration.ofSeconds(5));

    private final EmbeddedChannel channel = new EmbeddedChannel();

    private final LongSupplier clock;

    private final SimulatedStore.Connection store;

    private final TableFollower operatorTable;

    private final TableFollower targetTable;

    private final FleetState fleet;

    private final Rollouts rollouts;

    private final MetricRegistry registry = new MetricRegistry();

    private final List<String> logged = new ArrayList<>();

    /** The decision, which is repeated until the phase is adopted; empty for none. */
    private Optional<RolloutPhase> next = Optional.empty();

    /** The views on which decisions were asked for. */
    private final List<RolloutView> views = new ArrayList<>();

    private Map<String, Rollout> running = new HashMap<>();

    private boolean dispatching;

    private RolloutView places = new RolloutView(4, 2, 3, true, true);

    SimulatedInstance(String name, SimulatedStore simulated, LongSupplier clock) {
        this.clock = clock;
        store = simulated.connect();
        Log log = new Log();
        Clock time = new Clock();
        Duties duties = Duties.of(channel.eventLoop(), log, GatewayMetrics.of(new MetricRegistry()), time, () -> {});
        Codec codec = new Codec();
        fleet = FleetState.of(codec, log, this::changed, true);
        operatorTable = TableFollower.of(
                FollowedTable.of("op"), store, channel.eventLoop(), duties, log, time, () -> 0, fleet::operatorChanged);
        targetTable = TableFollower.of(
                FollowedTable.of("targets"), store, channel.eventLoop(), duties, log, time, () -> 0, this::targets);
        RolloutTable table =
                RolloutTable.of(store, store, codec, channel.eventLoop(), duties, log, time, this::changed);
        rollouts = Rollouts.of(
                fleet,
                table,
                new Dispatch(),
                LIMITS,
                () -> operatorTable.table().revision(),
                name,
                log,
                registry);
        rollouts.decision(this::decide);
        operatorTable.start();
        targetTable.start();
        rollouts.start();
        run();
    }

    private void targets(List<org.tanagermoor.gateway.follow.ChangeFeed.Change> rows) {
        fleet.targetsChanged(rows, targetTable.recoveredAt(), clock.getAsLong());
    }

    @SuppressWarnings("ConstantValue")
    private void changed() {
        if (rollouts != null) {
            rollouts.changed(clock.getAsLong());
        }
    }

    private Optional<RolloutPhase> decide(Rollout rollout, RolloutView view, long now) {
        views.add(view);
        return next.filter(phase -> !phase.equals(rollout.phase()));
    }

    /** Runs what is due, and the periodic check. */
    void tick() {
        run();
        fleet.tick(clock.getAsLong());
        rollouts.tick(clock.getAsLong());
        run();
    }

    /** Runs what is due without the periodic check. */
    void run() {
        channel.advanceTimeBy(SimulatedStore.STEP_NANOS, TimeUnit.NANOSECONDS);
        for (int round = 0; round < 20; round++) {
            channel.runPendingTasks();
        }
    }

    SimulatedInstance dispatching(boolean value) {
        dispatching = value;
        return this;
    }

    void next(@Nullable RolloutPhase phase) {
        next = Optional.ofNullable(phase);
    }

    void places(RolloutView value) {
        places = value;
    }

    /** Lets the evidence decide from now on, and no longer the test. */
    void decideByEvidence() {
        rollouts.decision(Rollout::decide);
    }

    /** Returns the metrics as operators read them. */
    String metrics() {
        return MetricsText.of(registry);
    }

    SimulatedStore.Connection store() {
        return store;
    }

    RolloutView lastView() {
        return views.get(views.size() - 1);
    }

    /** Returns the phase that the dispatcher obeys; empty if it knows of no roll-out. */
    Optional<RolloutPhase> obeyed(String service) {
        return Optional.ofNullable(running.get(service)).map(Rollout::phase);
    }

    Optional<Rollout> rollout(String service) {
        return Optional.ofNullable(running.get(service));
    }

    /** Returns the identities of the targets that may get requests. */
    Set<String> usable() {
        return fleet.usable().stream().map(TargetEntry::id).collect(Collectors.toSet());
    }

    /** Returns how often an event was logged. */
    long logged(GatewayEvent event) {
        return logged.stream().filter(event.name()::equals).count();
    }

    String text() {
        return rollouts.text(clock.getAsLong());
    }

    private final class Dispatch implements RolloutDispatch {

        /** {@inheritDoc} */
        @Override
        public void rollouts(Map<String, Rollout> value, Map<String, Set<String>> replaced) {
            running = value;
        }

        /** {@inheritDoc} */
        @Override
        public boolean dispatching(long now) {
            return dispatching;
        }

        /** {@inheritDoc} */
        @Override
        public String dispatcher(long now) {
            return "dispatcher";
        }

        /** {@inheritDoc} */
        @Override
        public RolloutView view(String service, boolean stateFresh, long now) {
            return new RolloutView(
                    places.newPlaces(),
                    places.placesInUse(),
                    places.oldPlacesInUse(),
                    places.allReported(),
                    stateFresh);
        }
    }

    /** Rows as words: orders as "VERSION SECONDS", targets as "SERVICE VERSION". */
    private static final class Codec implements FleetCodec {

        /** {@inheritDoc} */
        @Override
        public String operatorTable() {
            return "op";
        }

        /** {@inheritDoc} */
        @Override
        public String targetTable() {
            return "targets";
        }

        /** {@inheritDoc} */
        @Override
        public String configurationKey() {
            return "config";
        }

        /** {@inheritDoc} */
        @Override
        public Either<Failure, FleetConfiguration> configuration(byte[] value) {
            throw new AssertionError("no configuration is written");
        }

        /** {@inheritDoc} */
        @Override
        public Optional<String> evacuatedDomain(String key) {
            return Optional.empty();
        }

        /** {@inheritDoc} */
        @Override
        public Either<Failure, TargetEntry> target(String id, byte[] value) {
            String[] words = new String(value, StandardCharsets.UTF_8).split(" ");
            return Either.right(new TargetEntry(id, words[0], Address.of("127.0.0.1", 1), "lisbon", 1, false, 0, 1)
                    .withVersion(words[1]));
        }

        /** {@inheritDoc} */
        @Override
        public Optional<String> rolloutService(String key) {
            return key.startsWith("rollout/") ? Optional.of(key.substring(8)) : Optional.empty();
        }

        /** {@inheritDoc} */
        @Override
        public Either<Failure, RolloutOrder> rolloutOrder(String service, byte[] value) {
            String[] words = new String(value, StandardCharsets.UTF_8).split(" ");
            return words.length == 2
                    ? Either.right(new RolloutOrder(service, words[0], Duration.ofSeconds(Long.parseLong(words[1]))))
                    : Either.left(Failure.notRun(Failure.Kind.INVALID, "row", "store", "it has not two words"));
        }

        /** {@inheritDoc} */
        @Override
        public byte[] status(RolloutOrder order, RolloutPhase phase) {
            String state =
                    switch (phase) {
                        case RolloutPhase.Canary canary -> "running";
                        case RolloutPhase.Moving moving -> "running";
                        case RolloutPhase.Completed completed -> "completed";
                        case RolloutPhase.RolledBack rolledBack -> "rolled_back";
                    };
            return (state + " " + order.version()).getBytes(StandardCharsets.UTF_8);
        }
    }

    private final class Clock implements TimeSource {

        /** {@inheritDoc} */
        @Override
        public long nanos() {
            return clock.getAsLong();
        }

        /** {@inheritDoc} */
        @Override
        public long wallMillis() {
            return 0;
        }
    }

    /** Keeps the names of the events. */
    private final class Log implements EventLog {

        /** {@inheritDoc} */
        @Override
        public void record(EventType type, Object... fields) {
            logged.add(type.name());
        }

        /** {@inheritDoc} */
        @Override
        public List<EventRecord> since(long sequence, int limit) {
            return List.of();
        }

        /** {@inheritDoc} */
        @Override
        public HybridClock clock() {
            return new HybridClock();
        }
    }
}
