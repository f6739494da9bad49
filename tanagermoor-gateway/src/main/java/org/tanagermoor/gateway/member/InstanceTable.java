package org.tanagermoor.gateway.member;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.channel.EventLoop;
import io.vavr.control.Either;
import java.util.List;
import java.util.concurrent.TimeUnit;
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
 * Publishes the addresses of this instance in a table of the store, and reads those of the others from it. Each
 * instance writes its row once per start.
 */
public final class InstanceTable {

    private static final String TABLE = "instances";

    private static final String DUTY = "instance table";

    /** The delay before a failed call is repeated, in milliseconds. */
    private static final long RETRY_MILLIS = 500;

    private final TableService tables;

    private final EventLoop loop;

    private final Duties duties;

    /** Receives the instances that were read, as candidates. */
    private final Liveness liveness;

    private final EventLog events;

    private final TimeSource time;

    /** Called when the rows of the others have been read. */
    private final Runnable onRead;

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
     * @param onRead Called when the rows of the others have been read.
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

    /** Writes the row of this instance, then reads those of the others; each call is repeated until it succeeds. */
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
            events.record(GatewayEvent.STORE_LOST, "table", TABLE, "step", "write", "failure", result.getLeft());
        }
        if (result.isLeft() && result.getLeft().kind() != Failure.Kind.INVALID) {
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

    /** Adds the instances that were read as candidates. */
    private void handleRows(Either<Failure, List<Row>> result) {
        if (result.isLeft()) {
            events.record(GatewayEvent.STORE_LOST, "table", TABLE, "step", "read", "failure", result.getLeft());
            loop.schedule(this::read, RETRY_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        long now = time.nanos();
        for (Row row : result.get()) {
            try {
                MemberCodec.fromMessage(MemberSign.parseFrom(row.value()))
                        .ifPresent(heartbeat -> liveness.addCandidate(heartbeat.instance(), now));
            } catch (InvalidProtocolBufferException exception) {
                events.record(GatewayEvent.ROW_UNREADABLE, "row", row.key(), "failure", exception);
            }
        }
        onRead.run();
    }
}
