package org.tanagermoor.gateway.member;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.channel.EventLoop;
import io.vavr.control.Either;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.tanagermoor.gateway.GatewayEvent;
import org.tanagermoor.gateway.duty.Duties;
import org.tanagermoor.gateway.proto.MemberSign;
import org.tanagermoor.kernel.event.EventLog;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.kernel.time.TimeSource;
import org.tanagermoor.store.table.CommitResult;
import org.tanagermoor.store.table.Row;
import org.tanagermoor.store.table.RowKey;
import org.tanagermoor.store.table.TableService;
import org.tanagermoor.store.table.Transaction;

/**
 * Publishes the addresses of this instance in a table of the store, and reads those of the others from it, at the start
 * and at an interval. The rows of instances that run are thus among the newest; those that grow old are removed.
 */
public final class InstanceTable {

    private static final String TABLE = "instances";

    private static final String DUTY = "instance table";

    /** The delay before a failed call is repeated, in milliseconds. */
    private static final long RETRY_MILLIS = 500;

    /** The interval at which the row of this instance is written and the others are read again, in milliseconds. */
    private static final long REFRESH_MILLIS = TimeUnit.MINUTES.toMillis(10);

    /** The number of the newest rows whose instances are probed first. */
    private static final int NEWEST_ROWS = 8;

    /**
     * The time after which a row that was not written again is removed, in nanoseconds: its instance is gone, or has
     * not reached the store for several intervals.
     */
    private static final long AGED_NANOS = TimeUnit.HOURS.toNanos(1);

    /** The maximum number of rows that one commit removes: commits hold 100 entries, and each row takes two. */
    private static final int MAX_REMOVED_ROWS = 45;

    /** The kinds of failure of a row that the store does not take as it is. */
    private static final Set<Failure.Kind> NEVER_TAKEN = Set.of(Failure.Kind.INVALID, Failure.Kind.TOO_LARGE);

    private final TableService tables;

    private final EventLoop loop;

    private final Duties duties;

    /** Receives the instances that were read, as candidates. */
    private final Liveness liveness;

    private final EventLog events;

    private final TimeSource time;

    /** Called when the newest rows of the others have been read; the older ones follow. */
    private final Runnable onRead;

    /** The rows of the others as they were last read, by name. */
    private final Map<String, Seen> seen = new HashMap<>();

    /** The last failure; {@code null} since the rows of the others were read. */
    @Nullable
    private Failure failure;

    private InstanceTable(
            TableService tables,
            EventLoop loop,
            Duties duties,
            Liveness liveness,
            EventLog events,
            TimeSource time,
            Runnable onRead) {
        this.onRead = onRead;
        this.tables = tables;
        this.loop = loop;
        this.duties = duties;
        this.liveness = liveness;
        this.events = events;
        this.time = time;
    }

    /**
     * Returns a table that is not started.
     *
     * @param tables The store.
     * @param loop The event loop.
     * @param duties Runs the calls so that an error does not end their repetition.
     * @param liveness Receives the instances that were read, as candidates.
     * @param events The log.
     * @param time The source of the current time.
     * @param onRead Called when the newest rows of the others have been read; the older ones follow.
     * @return A table.
     */
    public static InstanceTable of(
            TableService tables,
            EventLoop loop,
            Duties duties,
            Liveness liveness,
            EventLog events,
            TimeSource time,
            Runnable onRead) {
        return new InstanceTable(tables, loop, duties, liveness, events, time, onRead);
    }

    /**
     * Writes the row of this instance, then reads those of the others, now and at an interval; each call is repeated
     * until it succeeds.
     */
    public void start() {
        loop.execute(this::write);
    }

    /** Writes the row of this instance. */
    private void write() {
        Instance self = liveness.self();
        byte[] value =
                MemberCodec.toMessage(new Liveness.Heartbeat(self, 0, false)).toByteArray();
        Transaction transaction =
                Transaction.EMPTY.withPut(RowKey.of(TABLE, self.id().name()), value);
        duties.call(DUTY, () -> tables.commit(transaction), this::written, RETRY_MILLIS, this::write);
    }

    /** Reads the rows of the others after that of this instance was written. */
    private void written(Either<Failure, CommitResult> result) {
        if (result.isLeft()) {
            recordFailure("write", result.getLeft());
        }
        if (result.isLeft() && !NEVER_TAKEN.contains(result.getLeft().kind())) {
            loop.schedule(this::write, RETRY_MILLIS, TimeUnit.MILLISECONDS);
        } else {
            // The others are found even if the store does not take the row of this instance.
            read();
        }
    }

    /** Reads the rows of the others. */
    private void read() {
        duties.call(DUTY, () -> tables.scanAll(TABLE, ""), this::handleRows, RETRY_MILLIS, this::read);
    }

    /** Adds the instances that were read as candidates, the newest rows first. */
    private void handleRows(Either<Failure, List<Row>> result) {
        if (result.isLeft()) {
            recordFailure("read", result.getLeft());
            loop.schedule(this::read, RETRY_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        failure = null;
        List<Row> rows = result.get().stream()
                .filter(row -> !name(row).equals(liveness.self().id().name()))
                .sorted(Comparator.comparing(Row::version).reversed())
                .toList();
        int newest = Math.min(NEWEST_ROWS, rows.size());
        rows.subList(0, newest).forEach(this::addCandidate);
        onRead.run();
        rows.subList(newest, rows.size()).forEach(this::addCandidate);
        removeAged(rows, time.nanos());
        loop.schedule(this::write, REFRESH_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Adds the instance of a row as a candidate. */
    private void addCandidate(Row row) {
        try {
            MemberCodec.fromMessage(MemberSign.parseFrom(row.value()))
                    .ifPresent(heartbeat -> liveness.addCandidate(heartbeat.instance(), time.nanos()));
        } catch (InvalidProtocolBufferException exception) {
            events.record(GatewayEvent.ROW_UNREADABLE, "row", row.key(), "failure", exception);
        }
    }

    /** Removes some of the rows that have not been written for long, unless their instances are known to run. */
    private void removeAged(List<Row> rows, long now) {
        seen.keySet().retainAll(rows.stream().map(InstanceTable::name).toList());
        Transaction removal = Transaction.EMPTY;
        for (Row row : rows) {
            Seen last = seen.get(name(row));
            if (last == null || last.version != row.version()) {
                seen.put(name(row), new Seen(row.version(), now));
            } else if (now - last.sinceNanos >= AGED_NANOS
                    && !runs(name(row), now)
                    && removal.writes().size() < MAX_REMOVED_ROWS) {
                RowKey key = RowKey.of(TABLE, name(row));
                removal = removal.withCondition(key, row.version()).withDelete(key);
            }
        }
        if (!removal.writes().isEmpty()) {
            tables.commit(removal)
                    .subscribe(result -> loop.execute(() -> {
                        if (result.isLeft()) {
                            events.record(
                                    GatewayEvent.STORE_LOST,
                                    "table",
                                    TABLE,
                                    "step",
                                    "age",
                                    "failure",
                                    result.getLeft());
                        }
                    }));
        }
    }

    /** Logs a failed call, unless the last one failed for the same cause. */
    private void recordFailure(String step, Failure current) {
        if (failure == null
                || failure.kind() != current.kind()
                || !failure.step().equals(current.step())) {
            events.record(GatewayEvent.STORE_LOST, "table", TABLE, "step", step, "failure", current);
        }
        failure = current;
    }

    /** Returns whether another instance is known to run. */
    private boolean runs(String name, long now) {
        return liveness.running(now).stream()
                .anyMatch(instance -> instance.id().name().equals(name));
    }

    private static String name(Row row) {
        return row.key().key();
    }

    /**
     * A row that was read.
     *
     * @param version The version of the row.
     * @param sinceNanos The monotonic time in nanoseconds at which this version was first read.
     */
    private record Seen(long version, long sinceNanos) {}
}
