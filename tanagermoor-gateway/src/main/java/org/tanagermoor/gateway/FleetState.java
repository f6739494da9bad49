package org.tanagermoor.gateway;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.tanagermoor.gateway.fleet.FleetCodec;
import org.tanagermoor.gateway.fleet.FleetConfiguration;
import org.tanagermoor.gateway.fleet.RolloutEntry;
import org.tanagermoor.gateway.fleet.TargetEntry;
import org.tanagermoor.gateway.fleet.VersionGate;
import org.tanagermoor.gateway.follow.ChangeFeed;
import org.tanagermoor.kernel.event.EventLog;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.policy.rollout.RolloutOrder;

/** The configuration and the targets as this instance knows them from the control store. Confined to the event loop. */
public final class FleetState {

    /**
     * How long a target is kept after the control store is available again, in nanoseconds, if its entry disappeared
     * during the outage. Running targets have registered again within about 2 s.
     */
    private static final long TARGET_RETENTION_NANOS = TimeUnit.MILLISECONDS.toNanos(2_500);

    /** The maximum number of targets that are remembered as leaving. */
    private static final int MAX_LEAVING = 1_024;

    private final FleetCodec codec;

    private final EventLog events;

    private final Runnable onChange;

    /** The failure domains that the operator has taken out of service. */
    private final Set<String> evacuated = new HashSet<>();

    /** By the identity of the target. */
    private final Map<String, TargetEntry> targets = new HashMap<>();

    /**
     * The targets whose entry disappeared during an outage of the control store, each with the monotonic time in
     * nanoseconds until which it is kept.
     */
    private final Map<String, Long> expiring = new HashMap<>();

    /**
     * The targets that have said themselves that they are leaving, each with the time of its start in milliseconds: a
     * later incarnation may have the same identity.
     */
    private final Map<String, Long> leaving = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        /** {@inheritDoc} */
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
            return size() > MAX_LEAVING;
        }
    };

    /** Whether orders for roll-outs are read and versions are withheld. */
    private final boolean rollouts;

    /** The valid orders for roll-outs, by service. */
    private final Map<String, RolloutEntry> orders = new HashMap<>();

    /** The services whose row of an order is there and is invalid. */
    private final Set<String> invalidOrders = new HashSet<>();

    /** The versions that get no requests. */
    private final VersionGate versions = VersionGate.of();

    /** The identities of the targets whose version is withheld. */
    private final Set<String> withheld = new HashSet<>();

    /** {@code null} before one is known. */
    @Nullable
    private FleetConfiguration configuration;

    private FleetState(FleetCodec codec, EventLog events, Runnable onChange, boolean rollouts) {
        this.codec = codec;
        this.events = events;
        this.onChange = onChange;
        this.rollouts = rollouts;
    }

    /**
     * Returns a state without a configuration and without targets.
     *
     * @param codec Decodes the rows of the control store.
     * @param events The event log.
     * @param onChange Called after each change of the state.
     */
    public static FleetState of(FleetCodec codec, EventLog events, Runnable onChange) {
        return new FleetState(codec, events, onChange, false);
    }

    /**
     * Returns a state without a configuration and without targets.
     *
     * @param codec Decodes the rows of the control store.
     * @param events The event log.
     * @param onChange Called after each change of the state.
     * @param rollouts Whether orders for roll-outs are read, and versions that may be part of one are withheld.
     */
    public static FleetState of(FleetCodec codec, EventLog events, Runnable onChange, boolean rollouts) {
        return new FleetState(codec, events, onChange, rollouts);
    }

    /** Returns the configuration; empty until one was read from the control store. */
    public Optional<FleetConfiguration> configuration() {
        return Optional.ofNullable(configuration);
    }

    /** Returns the target with an identity, also if it must not get requests. */
    public Optional<TargetEntry> target(String id) {
        return Optional.ofNullable(targets.get(id));
    }

    /**
     * Returns the target with an identity, if it may get requests: it is neither draining nor leaving and its failure
     * domain is in service.
     */
    public Optional<TargetEntry> usableTarget(String id) {
        return target(id).filter(this::usable);
    }

    /**
     * Returns the targets that may get requests: those that are neither draining nor leaving and whose failure domain
     * is in service.
     */
    public Collection<TargetEntry> usable() {
        return targets.values().stream().filter(this::usable).toList();
    }

    /** Returns the targets that have said that they are leaving and whose entries are still there. */
    public Collection<TargetEntry> leaving() {
        if (leaving.isEmpty()) {
            return List.of();
        }
        return leaving.keySet().stream()
                .map(targets::get)
                .filter(Objects::nonNull)
                .toList();
    }

    /** Returns identities of targets together with those of the targets that are leaving. */
    public Set<String> withLeaving(Set<String> excluded) {
        if (leaving.isEmpty()) {
            return Set.copyOf(excluded);
        }
        Set<String> result = new HashSet<>(excluded);
        leaving().forEach(target -> result.add(target.id()));
        return result;
    }

    /**
     * Records that a target has said that it is leaving, which may be known before the control store says so. Ignored
     * if the target has been replaced by another incarnation.
     *
     * @param id The identity of the target.
     * @param startedAtMillis The time of its start in milliseconds.
     */
    public void leaving(String id, long startedAtMillis) {
        TargetEntry current = targets.get(id);
        boolean replaced = current != null && current.startedAtMillis() != startedAtMillis;
        if (replaced || leaving.containsKey(id)) {
            return;
        }
        leaving.put(id, startedAtMillis);
        events.record(GatewayEvent.TARGET_CHANGED, "target", id, "state", "leaving");
        onChange.run();
    }

    /** Returns the valid orders for roll-outs, by service. */
    public Map<String, RolloutEntry> orders() {
        return Collections.unmodifiableMap(orders);
    }

    /** Returns whether the row of an order for a service is there, but holds none that is valid. */
    public boolean invalidOrder(String service) {
        return invalidOrders.contains(service);
    }

    /** Returns the versions of the known targets of a service, including targets that must not get requests. */
    public Set<String> versions(String service) {
        return targets.values().stream()
                .filter(target -> target.service().equals(service))
                .map(TargetEntry::version)
                .collect(Collectors.toUnmodifiableSet());
    }

    /** Returns the versions that targets of a service have had since the start of this instance. */
    public Set<String> pastVersions(String service) {
        return versions.past(service);
    }

    /**
     * Returns whether a service has had a target for so long that another version of it may be part of a roll-out.
     *
     * @param service The name of the service.
     * @param now The current monotonic time in nanoseconds.
     */
    public boolean established(String service, long now) {
        return targets.values().stream()
                .anyMatch(target -> target.service().equals(service) && versions.established(target.id(), now));
    }

    /**
     * Replaces the versions that get no requests because of a roll-out.
     *
     * @param versionsByService The versions by service.
     */
    public void exclude(Map<String, Set<String>> versionsByService) {
        if (versions.exclude(versionsByService)) {
            onChange.run();
        }
    }

    /** Returns the identities of all targets, including those that must not get requests. */
    public Set<String> targetIds() {
        return Set.copyOf(targets.keySet());
    }

    /**
     * Applies changes of the operator table, which holds the configuration, the failure domains out of service and the
     * orders for roll-outs.
     */
    public void operatorChanged(List<ChangeFeed.Change> rows) {
        for (ChangeFeed.Change row : rows) {
            byte[] value = row.value();
            if (row.key().equals(codec.configurationKey())) {
                if (value != null) {
                    adopt(row, value);
                }
            } else {
                codec.evacuatedDomain(row.key())
                        .ifPresent(domain -> setEvacuated(domain, value != null, row.version()));
                if (rollouts) {
                    codec.rolloutService(row.key()).ifPresent(service -> order(service, row));
                }
            }
        }
        onChange.run();
    }

    /**
     * Applies changes of the target table.
     *
     * @param rows The changes.
     * @param storeReturnedAt The monotonic time in nanoseconds at which the control store last became available again.
     * @param now The current monotonic time in nanoseconds.
     */
    public void targetsChanged(List<ChangeFeed.Change> rows, long storeReturnedAt, long now) {
        for (ChangeFeed.Change row : rows) {
            byte[] value = row.value();
            if (value == null) {
                targetRemoved(row, storeReturnedAt, now);
                continue;
            }
            Either<Failure, TargetEntry> entry = codec.target(row.key(), value);
            if (entry.isRight()) {
                expiring.remove(row.key());
                put(entry.get(), row.version(), now);
            } else {
                events.record(GatewayEvent.ROW_UNREADABLE, "row", row.key(), "failure", entry.getLeft());
                remove(row.key());
            }
        }
        onChange.run();
    }

    /**
     * Drops targets whose entries have not been registered again in time, and lets targets get requests whose version
     * was withheld for long enough.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    public void tick(long now) {
        List<String> expired = new ArrayList<>();
        expiring.forEach((id, until) -> {
            if (now - until > 0) {
                expired.add(id);
            }
        });
        if (!expired.isEmpty()) {
            expired.forEach(id -> {
                expiring.remove(id);
                remove(id);
                events.record(GatewayEvent.TARGET_CHANGED, "target", id, "state", "gone");
            });
            onChange.run();
        }
        if (release(now)) {
            onChange.run();
        }
    }

    /** Lets targets get requests whose version is no longer withheld; returns whether there are any. */
    private boolean release(long now) {
        return !withheld.isEmpty()
                && withheld.removeIf(id -> {
                    TargetEntry target = targets.get(id);
                    return target == null
                            || ordered(target)
                            || !versions.withheld(target.service(), target.version(), now);
                });
    }

    /** Returns whether an order for a roll-out to the version of a target is known. */
    private boolean ordered(TargetEntry target) {
        RolloutEntry entry = orders.get(target.service());
        return entry != null && entry.order().version().equals(target.version());
    }

    private boolean usable(TargetEntry target) {
        return !target.draining()
                && !leaving.containsKey(target.id())
                && !evacuated.contains(target.domain())
                && !withheld.contains(target.id())
                && !versions.excluded(target.service(), target.version());
    }

    /** Takes an order for a roll-out, or its withdrawal; an invalid order changes nothing. */
    private void order(String service, ChangeFeed.Change row) {
        byte[] value = row.value();
        invalidOrders.remove(service);
        if (value == null) {
            RolloutEntry withdrawn = orders.remove(service);
            if (withdrawn != null) {
                events.record(
                        GatewayEvent.ROLLOUT_WITHDRAWN,
                        "service",
                        service,
                        "to",
                        withdrawn.order().version(),
                        "revision",
                        withdrawn.revision());
            }
            return;
        }
        Either<Failure, RolloutOrder> read = codec.rolloutOrder(service, value);
        if (read.isLeft()) {
            invalidOrders.add(service);
            events.record(
                    GatewayEvent.ROLLOUT_ORDER_INVALID,
                    "row",
                    row.key(),
                    "revision",
                    row.version(),
                    "reason",
                    read.getLeft().detail());
            return;
        }
        RolloutEntry previous = orders.put(service, new RolloutEntry(read.get(), row.version()));
        if (previous == null || previous.revision() != row.version()) {
            events.record(
                    GatewayEvent.ROLLOUT_ORDERED,
                    "service",
                    service,
                    "to",
                    read.get().version(),
                    "duration-ms",
                    read.get().duration().toMillis(),
                    "revision",
                    row.version());
        }
        withheld.removeIf(id -> {
            TargetEntry target = targets.get(id);
            return target == null || ordered(target);
        });
    }

    /** Removes a target. */
    private void remove(String id) {
        targets.remove(id);
        withheld.remove(id);
        versions.removed(id);
    }

    /** Adopts a configuration unless it is unreadable or older than the one in use. */
    private void adopt(ChangeFeed.Change row, byte[] value) {
        Either<Failure, FleetConfiguration> read = codec.configuration(value);
        if (read.isLeft()) {
            events.record(GatewayEvent.ROW_UNREADABLE, "row", row.key(), "failure", read.getLeft());
            return;
        }
        if (configuration != null && read.get().version() < configuration.version()) {
            return;
        }
        configuration = read.get();
        events.record(
                GatewayEvent.CONFIGURATION_ADOPTED, "version", configuration.version(), "revision", row.version());
    }

    /** Takes a failure domain out of service, or puts it back. */
    private void setEvacuated(String domain, boolean evacuate, long revision) {
        if (evacuate ? evacuated.add(domain) : evacuated.remove(domain)) {
            events.record(GatewayEvent.DOMAIN_CHANGED, "domain", domain, "out", evacuate, "revision", revision);
        }
    }

    /** Adds or updates a target. */
    private void put(TargetEntry entry, long revision, long now) {
        if (rollouts) {
            withhold(entry, now);
        }
        TargetEntry previous = targets.put(entry.id(), entry);
        leaving.computeIfPresent(
                entry.id(), (id, startedAt) -> startedAt == entry.startedAtMillis() ? startedAt : null);
        if (previous == null
                || previous.draining() != entry.draining()
                || previous.startedAtMillis() != entry.startedAtMillis()) {
            events.record(
                    GatewayEvent.TARGET_CHANGED,
                    "target",
                    entry.id(),
                    "state",
                    entry.draining() ? "draining" : "ready",
                    "revision",
                    revision);
        }
    }

    /** Withholds a target whose version may be part of a roll-out that has not been ordered yet. */
    private void withhold(TargetEntry entry, long now) {
        boolean first = versions.registered(entry, targets.values(), ordered(entry), now);
        if (!ordered(entry) && versions.withheld(entry.service(), entry.version(), now)) {
            withheld.add(entry.id());
        } else {
            withheld.remove(entry.id());
        }
        if (first) {
            events.record(
                    GatewayEvent.TARGET_CHANGED, "target", entry.id(), "state", "withheld", "version", entry.version());
        }
    }

    /**
     * Handles the removal of an entry. A target that was not draining is kept for a while if the entry may have expired
     * during an outage of the control store.
     */
    private void targetRemoved(ChangeFeed.Change row, long storeReturnedAt, long now) {
        TargetEntry entry = targets.get(row.key());
        if (entry == null) {
            return;
        }
        if (!entry.draining() && now - storeReturnedAt < TARGET_RETENTION_NANOS) {
            expiring.putIfAbsent(row.key(), storeReturnedAt + TARGET_RETENTION_NANOS);
            return;
        }
        remove(row.key());
        expiring.remove(row.key());
        events.record(GatewayEvent.TARGET_CHANGED, "target", row.key(), "state", "gone", "revision", row.version());
    }
}
