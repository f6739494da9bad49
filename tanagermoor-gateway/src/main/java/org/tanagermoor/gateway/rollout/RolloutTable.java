package org.tanagermoor.gateway.rollout;

import io.netty.channel.EventLoop;
import io.vavr.control.Either;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.tanagermoor.gateway.GatewayEvent;
import org.tanagermoor.gateway.duty.Duties;
import org.tanagermoor.gateway.fleet.FleetCodec;
import org.tanagermoor.gateway.follow.ChangeFeed;
import org.tanagermoor.gateway.follow.FollowedTable;
import org.tanagermoor.gateway.follow.TableFollower;
import org.tanagermoor.kernel.event.EventLog;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.kernel.time.TimeSource;
import org.tanagermoor.store.table.CommitResult;
import org.tanagermoor.store.table.Row;
import org.tanagermoor.store.table.RowKey;
import org.tanagermoor.store.table.TableService;
import org.tanagermoor.store.table.Transaction;

/**
 * Follows and writes the states of roll-outs in a table of the store. A write takes effect only on the version of the
 * row on which it is based, and together with the row of the operators' status table. After a write that is not known
 * to have taken effect, the row is read before the next write. Confined to the event loop.
 */
public final class RolloutTable {

    /** The name of the table. */
    public static final String TABLE = "rollouts";

    /** The name of the duty in the log. */
    private static final String DUTY = "rollout table";

    /** The delay before a failed read is repeated, in milliseconds. */
    private static final long RETRY_MILLIS = 300;

    private final TableService tables;

    private final FleetCodec codec;

    private final EventLoop loop;

    private final Duties duties;

    private final EventLog events;

    private final TimeSource time;

    /** Called after each change of a state. */
    private final Runnable onChange;

    private final TableFollower follower;

    /** The rows by service, as they were last read, received or written. */
    private final Map<String, Entry> entries = new HashMap<>();

    /** The services of which a write is in progress, or its outcome is not known yet. */
    private final Set<String> writing = new HashSet<>();

    /** Whether the last call failed. */
    private boolean failing;

    /** The monotonic time in nanoseconds of the last answer of the store to a write or a read of a row. */
    private OptionalLong answeredAt = OptionalLong.empty();

    private RolloutTable(
            TableService tables,
            ChangeFeed feed,
            FleetCodec codec,
            EventLoop loop,
            Duties duties,
            EventLog events,
            TimeSource time,
            Runnable onChange) {
        this.tables = tables;
        this.codec = codec;
        this.loop = loop;
        this.duties = duties;
        this.events = events;
        this.time = time;
        this.onChange = onChange;
        follower =
                TableFollower.of(FollowedTable.of(TABLE), feed, loop, duties, events, time, () -> 0, this::rowsChanged);
    }

    /**
     * Returns a table that makes no call before it is started.
     *
     * @param tables The store, for writes.
     * @param feed The store, for changes.
     * @param codec Encodes the rows of the operators' status table.
     * @param loop The event loop.
     * @param duties Runs the calls so that an error does not end their repetition.
     * @param events The log.
     * @param time The source of the current time.
     * @param onChange Called after each change of a state.
     */
    public static RolloutTable of(
            TableService tables,
            ChangeFeed feed,
            FleetCodec codec,
            EventLoop loop,
            Duties duties,
            EventLog events,
            TimeSource time,
            Runnable onChange) {
        return new RolloutTable(tables, feed, codec, loop, duties, events, time, onChange);
    }

    /** Starts to follow the table. */
    public void start() {
        follower.start();
    }

    /** Stops following the table. */
    public void stop() {
        follower.stop();
    }

    /** Returns what follows the table, so that other instances can be given the copy of this one. */
    public TableFollower follower() {
        return follower;
    }

    /** Returns whether the table has been read, so that an absent row is known to be absent. */
    boolean known() {
        return follower.table().revision() > 0;
    }

    /**
     * Returns whether the store answered a call about the table within some time.
     *
     * @param maxAgeNanos The time in nanoseconds.
     * @param now The current monotonic time in nanoseconds.
     */
    boolean answeredWithin(long maxAgeNanos, long now) {
        boolean written = answeredAt.isPresent() && now - answeredAt.getAsLong() <= maxAgeNanos;
        return known() && (written || now - follower.answeredAt() <= maxAgeNanos);
    }

    /** Returns the state of the roll-out of a service; empty if there is no row, or none that can be read. */
    Optional<Entry> entry(String service) {
        return Optional.ofNullable(entries.get(service)).filter(entry -> entry.state != null);
    }

    /** Returns the services that have a row that can be read. */
    Set<String> services() {
        Set<String> result = new HashSet<>();
        entries.forEach((service, entry) -> {
            if (entry.state != null) {
                result.add(service);
            }
        });
        return result;
    }

    /** Returns whether a write of the row of a service is in progress, or its outcome is not known yet. */
    boolean writing(String service) {
        return writing.contains(service);
    }

    /**
     * Writes a state if the row has not changed since it was last known here. No other write for the service must be in
     * progress.
     *
     * @param state The state.
     */
    void write(RolloutState state) {
        String service = state.order().service();
        RowKey key = RowKey.of(TABLE, service);
        commit(
                service,
                Transaction.EMPTY
                        .withCondition(key, version(service))
                        .withPut(key, RolloutCodec.toRow(state))
                        .withPut(
                                RowKey.of(codec.statusTable(), codec.statusKey(service)),
                                codec.status(state.order(), state.phase())),
                state);
    }

    /**
     * Removes the row of a service if it has not changed since it was last known here. The operators' status is kept.
     * No other write for the service must be in progress.
     *
     * @param service The name of the service.
     */
    void remove(String service) {
        RowKey key = RowKey.of(TABLE, service);
        commit(service, Transaction.EMPTY.withCondition(key, version(service)).withDelete(key), null);
    }

    /** Returns the version of the row of a service. */
    private long version(String service) {
        Entry entry = entries.get(service);
        return entry == null || entry.removed ? Transaction.ABSENT : entry.version;
    }

    /** Commits a write of a row; a state that is {@code null} removes it. */
    private void commit(String service, Transaction transaction, @Nullable RolloutState state) {
        writing.add(service);
        long before = version(service);
        duties.call(
                DUTY,
                () -> tables.commit(transaction),
                result -> committed(service, before, state, result),
                RETRY_MILLIS,
                () -> read(service));
    }

    /** Takes the outcome of a write over; one that is not known to have taken effect is followed by a read. */
    private void committed(
            String service, long before, @Nullable RolloutState state, Either<Failure, CommitResult> result) {
        if (result.isLeft()) {
            failed("write", result.getLeft());
            read(service);
            return;
        }
        answered();
        switch (result.get()) {
            case CommitResult.Conflict conflict -> read(service);
            case CommitResult.Committed committed -> {
                Long version = committed.versions().get(RowKey.of(TABLE, service));
                ended(
                        service,
                        version == null
                                ? new Entry(service, before, null, true, time.nanos())
                                : new Entry(service, version, state, false, time.nanos()));
            }
        }
    }

    /** Reads the row of a service and adopts it; repeated until it succeeds. */
    private void read(String service) {
        long before = version(service);
        duties.call(
                DUTY,
                () -> tables.read(RowKey.of(TABLE, service)),
                result -> rowRead(service, before, result),
                RETRY_MILLIS,
                () -> read(service));
    }

    private void rowRead(String service, long before, Either<Failure, Optional<Row>> result) {
        if (result.isLeft()) {
            failed("read", result.getLeft());
            loop.schedule(() -> duties.run(DUTY, () -> read(service)), RETRY_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        answered();
        Entry entry = result.get()
                .map(row -> decoded(service, row.version(), row.value()))
                .orElseGet(() -> new Entry(service, before, null, true, time.nanos()));
        ended(service, entry);
    }

    /** Ends a write, with the row as it is now known. */
    private void ended(String service, Entry entry) {
        writing.remove(service);
        adopt(entry);
        onChange.run();
    }

    /** Takes rows over that the store or another instance has told. */
    private void rowsChanged(List<ChangeFeed.Change> rows) {
        for (ChangeFeed.Change row : rows) {
            byte[] value = row.value();
            adopt(
                    value == null
                            ? new Entry(row.key(), row.version(), null, true, time.nanos())
                            : decoded(row.key(), row.version(), value));
        }
        onChange.run();
    }

    /**
     * Takes a row over unless a newer version of it is known. The version of a removal is that of the row that was
     * removed, since the store does not tell another one.
     */
    private void adopt(Entry entry) {
        Entry known = entries.get(entry.service);
        boolean newer = known == null
                || entry.version > known.version
                || (entry.version == known.version && entry.removed && !known.removed);
        if (newer) {
            entries.put(entry.service, entry);
        }
    }

    /** Decodes a row; one that cannot be read has no state, and its version is kept so that it can be replaced. */
    private Entry decoded(String service, long version, byte[] value) {
        Either<Failure, RolloutState> state = RolloutCodec.fromRow(service, value);
        state.peekLeft(failure ->
                events.record(GatewayEvent.ROW_UNREADABLE, "row", TABLE + "/" + service, "failure", failure));
        return new Entry(service, version, state.getOrNull(), false, time.nanos());
    }

    private void answered() {
        answeredAt = OptionalLong.of(time.nanos());
        failing = false;
    }

    /** Records the first of several failures. */
    private void failed(String step, Failure failure) {
        if (!failing) {
            failing = true;
            events.record(GatewayEvent.STORE_LOST, "table", TABLE, "step", step, "failure", failure);
        }
    }

    /** A row as it was last known. */
    static final class Entry {

        private final String service;

        private final long version;

        /** {@code null} if the row is absent or cannot be read. */
        @Nullable
        private final RolloutState state;

        private final boolean removed;

        /** The monotonic time in nanoseconds at which this version was first known here. */
        private final long seenAt;

        private Entry(String service, long version, @Nullable RolloutState state, boolean removed, long seenAt) {
            this.service = service;
            this.version = version;
            this.state = state;
            this.removed = removed;
            this.seenAt = seenAt;
        }

        /** Returns the version of the row. */
        long version() {
            return version;
        }

        /** Returns the state that the row holds. Only for entries that {@link RolloutTable#entry} returned. */
        RolloutState state() {
            if (state == null) {
                throw new IllegalStateException("The row of service " + service + " holds no state");
            }
            return state;
        }

        /** Returns the monotonic time in nanoseconds at which this version was first known here. */
        long seenAt() {
            return seenAt;
        }
    }
}
