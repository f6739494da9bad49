package org.tanagermoor.gateway.quarantine;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.channel.EventLoop;
import io.vavr.control.Either;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.tanagermoor.gateway.GatewayEvent;
import org.tanagermoor.gateway.duty.Duties;
import org.tanagermoor.gateway.proto.QuarantinedPart;
import org.tanagermoor.kernel.event.EventLog;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.kernel.time.TimeSource;
import org.tanagermoor.policy.quarantine.QuarantineEntry;
import org.tanagermoor.store.table.CommitResult;
import org.tanagermoor.store.table.Row;
import org.tanagermoor.store.table.RowKey;
import org.tanagermoor.store.table.TableService;
import org.tanagermoor.store.table.Transaction;

/**
 * Keeps the records of parts in a table of the store, so that a fleet that was lost as a whole finds them again. Each
 * instance reads the table once per start. Confined to the event loop.
 */
final class QuarantineTable {

    private static final String TABLE = "quarantine";

    private static final String DUTY = "quarantine table";

    /** The delay before a failed call is repeated, in milliseconds. */
    private static final long RETRY_MILLIS = 500;

    private final TableService tables;

    private final EventLoop loop;

    private final Duties duties;

    private final EventLog events;

    private final TimeSource time;

    /** Receives the records that were read. */
    private final Consumer<QuarantineEntry> onRead;

    /** The rows that wait to be written, by part; an absent value removes the row. */
    private final Map<String, Pending> pending = new LinkedHashMap<>();

    /** Whether a write is in progress or scheduled. */
    private boolean writing;

    QuarantineTable(
            TableService tables,
            EventLoop loop,
            Duties duties,
            EventLog events,
            TimeSource time,
            Consumer<QuarantineEntry> onRead) {
        this.tables = tables;
        this.loop = loop;
        this.duties = duties;
        this.events = events;
        this.time = time;
        this.onRead = onRead;
    }

    /** Reads the records of all parts; repeated until it succeeds. */
    void read() {
        duties.call(DUTY, () -> tables.scanAll(TABLE, ""), this::handleRows, RETRY_MILLIS, this::read);
    }

    /** Writes the record of a part. */
    void put(QuarantineEntry entry) {
        add(new Pending(entry.part(), entry));
    }

    /** Removes the record of a part. */
    void remove(String part) {
        add(new Pending(part, null));
    }

    private void add(Pending change) {
        pending.put(change.part, change);
        if (!writing) {
            writing = true;
            write();
        }
    }

    /** Writes the change that waits for the longest time. */
    private void write() {
        if (pending.isEmpty()) {
            writing = false;
            return;
        }
        Pending change = pending.values().iterator().next();
        duties.call(
                DUTY,
                () -> tables.commit(change.transaction(time)),
                result -> written(change, result),
                RETRY_MILLIS,
                this::write);
    }

    /** Writes the next change, or after a failure the same one once more. */
    private void written(Pending change, Either<Failure, CommitResult> result) {
        if (result.isLeft()) {
            events.record(GatewayEvent.STORE_LOST, "table", TABLE, "step", "write", "failure", result.getLeft());
            // A row that the store will never take must not hold up the others.
            if (result.getLeft().kind() == Failure.Kind.INVALID) {
                pending.remove(change.part, change);
            }
            loop.schedule(this::write, RETRY_MILLIS, TimeUnit.MILLISECONDS);
        } else {
            pending.remove(change.part, change);
            write();
        }
    }

    private void handleRows(Either<Failure, List<Row>> result) {
        if (result.isLeft()) {
            events.record(GatewayEvent.STORE_LOST, "table", TABLE, "step", "read", "failure", result.getLeft());
            loop.schedule(this::read, RETRY_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        for (Row row : result.get()) {
            try {
                QuarantinedPart part = QuarantinedPart.parseFrom(row.value());
                long age = time.wallMillis() - part.getWrittenMillis();
                QuarantineEntry entry = QuarantineCodec.fromMessage(part, age, time.nanos());
                if (entry.aged(time.nanos())) {
                    removeAged(row);
                } else {
                    onRead.accept(entry);
                }
            } catch (InvalidProtocolBufferException exception) {
                events.record(GatewayEvent.ROW_UNREADABLE, "row", row.key(), "failure", exception);
            }
        }
    }

    /** Removes a row that every instance has forgotten, unless it has been written again. */
    private void removeAged(Row row) {
        RowKey key = RowKey.of(TABLE, row.key().key());
        tables.commit(Transaction.EMPTY.withCondition(key, row.version()).withDelete(key))
                .subscribe(result -> {
                    if (result.isLeft()) {
                        events.record(
                                GatewayEvent.STORE_LOST, "table", TABLE, "step", "age", "failure", result.getLeft());
                    }
                });
    }

    /** A row that waits to be written, or to be removed if there is no entry. */
    private record Pending(String part, @Nullable QuarantineEntry entry) {

        private Transaction transaction(TimeSource time) {
            RowKey key = RowKey.of(TABLE, part);
            return entry == null
                    ? Transaction.EMPTY.withDelete(key)
                    : Transaction.EMPTY.withPut(
                            key,
                            QuarantineCodec.toMessage(entry, time.nanos()).toBuilder()
                                    .setWrittenMillis(time.wallMillis())
                                    .build()
                                    .toByteArray());
        }
    }
}
