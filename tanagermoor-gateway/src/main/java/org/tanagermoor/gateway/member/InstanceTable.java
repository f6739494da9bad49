package org.tanagermoor.gateway.member;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.channel.EventLoop;
import io.vavr.control.Either;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.tanagermoor.gateway.GatewayEvent;
import org.tanagermoor.gateway.proto.MemberSign;
import org.tanagermoor.kernel.event.EventLog;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.kernel.time.TimeSource;
import org.tanagermoor.store.table.Row;
import org.tanagermoor.store.table.RowKey;
import org.tanagermoor.store.table.TableService;
import org.tanagermoor.store.table.Transaction;

/** The rows by which instances find each other. Each instance writes its own once a start. */
public final class InstanceTable {

    /** The table. */
    private static final String TABLE = "instances";

    /** The most instances that are read. */
    private static final int ROWS_MOST = 500;

    /** The time before a failed call is repeated, in milliseconds. */
    private static final long RETRY_MILLIS = 500;

    /** The store. */
    private final TableService tables;

    /** The event loop. */
    private final EventLoop loop;

    /** Which instances run. */
    private final Liveness liveness;

    /** The log. */
    private final EventLog events;

    /** The source of the present time. */
    private final TimeSource time;

    /** Called when the others were read. */
    private final Runnable found;

    /** Creates a table. */
    private InstanceTable(
            TableService tables, EventLoop loop, Liveness liveness, EventLog events, TimeSource time, Runnable found) {
        this.found = found;
        this.tables = tables;
        this.loop = loop;
        this.liveness = liveness;
        this.events = events;
        this.time = time;
    }

    /**
     * Returns a table.
     *
     * @param tables The store.
     * @param loop The event loop.
     * @param liveness Which instances run.
     * @param events The log.
     * @param time The source of the present time.
     * @param found Called when the others were read.
     * @return A table.
     */
    public static InstanceTable of(
            TableService tables, EventLoop loop, Liveness liveness, EventLog events, TimeSource time, Runnable found) {
        return new InstanceTable(tables, loop, liveness, events, time, found);
    }

    /** Writes the row of this instance, then reads those of the others; both until they succeed. */
    public void start() {
        loop.execute(this::write);
    }

    /** Writes the row of this instance. */
    private void write() {
        Instance self = liveness.self();
        byte[] value =
                MemberCodec.toMessage(new Liveness.Heartbeat(self, 0, false)).toByteArray();
        tables.commit(Transaction.EMPTY.withPut(RowKey.of(TABLE, self.id().name()), value))
                .subscribe(result -> loop.execute(() -> {
                    if (result.isLeft()) {
                        events.record(
                                GatewayEvent.STORE_LOST, "table", TABLE, "step", "write", "failure", result.getLeft());
                        loop.schedule(this::write, RETRY_MILLIS, TimeUnit.MILLISECONDS);
                    } else {
                        read();
                    }
                }));
    }

    /** Reads the rows of the others. */
    private void read() {
        tables.scan(TABLE, "", "", ROWS_MOST).subscribe(result -> loop.execute(() -> taken(result)));
    }

    /** Takes the rows of the others. */
    private void taken(Either<Failure, List<Row>> result) {
        if (result.isLeft()) {
            events.record(GatewayEvent.STORE_LOST, "table", TABLE, "step", "read", "failure", result.getLeft());
            loop.schedule(this::read, RETRY_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        long now = time.nanos();
        for (Row row : result.get()) {
            try {
                MemberCodec.fromMessage(MemberSign.parseFrom(row.value()))
                        .ifPresent(heartbeat -> liveness.suggest(heartbeat.instance(), now));
            } catch (InvalidProtocolBufferException exception) {
                events.record(GatewayEvent.ROW_UNREADABLE, "row", row.key(), "failure", exception);
            }
        }
        found.run();
    }
}
