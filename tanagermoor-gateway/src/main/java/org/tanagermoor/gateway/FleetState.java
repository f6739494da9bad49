package org.tanagermoor.gateway;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.tanagermoor.gateway.fleet.FleetCodec;
import org.tanagermoor.gateway.fleet.FleetConfiguration;
import org.tanagermoor.gateway.fleet.TargetEntry;
import org.tanagermoor.gateway.follow.ChangeFeed;
import org.tanagermoor.kernel.event.EventLog;
import org.tanagermoor.kernel.failure.Failure;

/** What this instance believes of the configuration and the targets. Confined to the event loop. */
public final class FleetState {

    /**
     * How long a target whose entry went while the store was away is kept, in nanoseconds: entries of targets that live
     * are back within about 2 s of the store's return.
     */
    private static final long TARGET_RETENTION_NANOS = TimeUnit.MILLISECONDS.toNanos(2_500);

    /** Reads the rows. */
    private final FleetCodec codec;

    /** The log. */
    private final EventLog events;

    /** Called after each change. */
    private final Runnable onChange;

    /** The failure domains that are taken out. */
    private final Set<String> evacuated = new HashSet<>();

    /** The targets by identity. */
    private final Map<String, TargetEntry> targets = new HashMap<>();

    /** The targets whose entry lapsed, with the monotonic time in nanoseconds until which they are kept. */
    private final Map<String, Long> expiring = new HashMap<>();

    /** The configuration, or {@code null} before one is known. */
    @Nullable
    private FleetConfiguration configuration;

    /** Creates a state that knows nothing. */
    private FleetState(FleetCodec codec, EventLog events, Runnable onChange) {
        this.codec = codec;
        this.events = events;
        this.onChange = onChange;
    }

    /** Returns a state that knows nothing. */
    public static FleetState of(FleetCodec codec, EventLog events, Runnable onChange) {
        return new FleetState(codec, events, onChange);
    }

    /** Returns the configuration, if one is known. */
    public Optional<FleetConfiguration> configuration() {
        return Optional.ofNullable(configuration);
    }

    /** Finds a target. */
    public Optional<TargetEntry> target(String id) {
        return Optional.ofNullable(targets.get(id));
    }

    /** Finds a target that may get requests. */
    public Optional<TargetEntry> usableTarget(String id) {
        return target(id).filter(this::usable);
    }

    /** Returns the targets that may get requests. */
    public Collection<TargetEntry> usable() {
        return targets.values().stream().filter(this::usable).toList();
    }

    /** Returns the identities of all targets. */
    public Set<String> targetIds() {
        return Set.copyOf(targets.keySet());
    }

    /** Takes over changes of the table of the operator. */
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
            }
        }
        onChange.run();
    }

    /**
     * Takes over changes of the table of targets.
     *
     * @param rows The changes.
     * @param storeReturnedAt The monotonic time in nanoseconds at which the store was last back.
     * @param now The present monotonic time in nanoseconds.
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
                put(entry.get(), row.version());
            } else {
                events.record(GatewayEvent.ROW_UNREADABLE, "row", row.key(), "failure", entry.getLeft());
                targets.remove(row.key());
            }
        }
        onChange.run();
    }

    /**
     * Drops targets whose entries have not come back.
     *
     * @param now The present monotonic time in nanoseconds.
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
                targets.remove(id);
                events.record(GatewayEvent.TARGET_CHANGED, "target", id, "state", "gone");
            });
            onChange.run();
        }
    }

    /** Returns whether a target may get requests. */
    private boolean usable(TargetEntry target) {
        return !target.draining() && !evacuated.contains(target.domain());
    }

    /** Adopts a configuration. */
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

    /** Takes a failure domain out, or gives it back. */
    private void setEvacuated(String domain, boolean evacuate, long revision) {
        if (evacuate ? evacuated.add(domain) : evacuated.remove(domain)) {
            events.record(GatewayEvent.DOMAIN_CHANGED, "domain", domain, "out", evacuate, "revision", revision);
        }
    }

    /** Adds or changes a target. */
    private void put(TargetEntry entry, long revision) {
        TargetEntry previous = targets.put(entry.id(), entry);
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

    /** Takes the removal of an entry in. */
    private void targetRemoved(ChangeFeed.Change row, long storeReturnedAt, long now) {
        TargetEntry entry = targets.get(row.key());
        if (entry == null) {
            return;
        }
        if (!entry.draining() && now - storeReturnedAt < TARGET_RETENTION_NANOS) {
            expiring.putIfAbsent(row.key(), storeReturnedAt + TARGET_RETENTION_NANOS);
            return;
        }
        targets.remove(row.key());
        expiring.remove(row.key());
        events.record(GatewayEvent.TARGET_CHANGED, "target", row.key(), "state", "gone", "revision", row.version());
    }
}
