package org.tanagermoor.gateway.dispatch;

import com.google.protobuf.InvalidProtocolBufferException;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.tanagermoor.gateway.GatewayEvent;
import org.tanagermoor.gateway.duty.Duties;
import org.tanagermoor.gateway.proto.ShareClaimRow;
import org.tanagermoor.kernel.event.EventLog;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.kernel.time.TimeSource;
import org.tanagermoor.policy.share.RateShares;
import org.tanagermoor.policy.share.ShareClaim;
import org.tanagermoor.store.table.Row;
import org.tanagermoor.store.table.RowKey;
import org.tanagermoor.store.table.TableService;
import org.tanagermoor.store.table.Transaction;

/**
 * Claims the shares of the rates that this instance has in a table of the store, and reads the claims of others, while
 * it has some of the shares and lacks others. It makes no calls otherwise. Confined to the event loop.
 */
public final class ShareTable {

    private static final String TABLE = "rate-shares";

    /** The name of the duty in the log. */
    private static final String DUTY = "rate shares";

    /** The time from an error to the end of the attempt, in milliseconds. */
    private static final long RETRY_MILLIS = 300;

    private final TableService tables;

    private final Duties duties;

    private final RateAllocation allocation;

    /** The name of this instance, which is the key of its row. */
    private final String self;

    private final EventLog events;

    private final TimeSource time;

    /** Whether a call is not answered yet. */
    private boolean calling;

    /** The monotonic time in nanoseconds of the last claim. */
    private long claimedAt;

    private ShareTable(
            TableService tables,
            Duties duties,
            RateAllocation allocation,
            String self,
            EventLog events,
            TimeSource time) {
        this.tables = tables;
        this.duties = duties;
        this.allocation = allocation;
        this.self = self;
        this.events = events;
        this.time = time;
        claimedAt = time.nanos();
    }

    /**
     * Returns a table that makes no call before {@link #tick}.
     *
     * @param tables The store.
     * @param duties Runs the calls, so that an error does not end the claims.
     * @param server The server for whose decisions the shares count.
     * @param self The name of this instance.
     * @param events The log.
     * @param time The source of the current time.
     * @return A table.
     */
    public static ShareTable of(
            TableService tables, Duties duties, DispatchServer server, String self, EventLog events, TimeSource time) {
        return new ShareTable(tables, duties, server.allocation(), self, events, time);
    }

    /**
     * Claims the shares that this instance has if that is due.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    public void tick(long now) {
        RateShares shares = allocation.shares();
        if (!allocation.rates().limited() || !shares.claimDue(now) || calling) {
            return;
        }
        if (now - claimedAt >= RateShares.claimInterval().toNanos()) {
            calling = true;
            claimedAt = now;
            claim(Set.copyOf(shares.had(now)), now);
        }
    }

    /** Writes the claim of this instance, then reads those of all. */
    private void claim(Set<String> names, long sentAt) {
        byte[] value = ShareClaimRow.newBuilder().addAllNames(names).build().toByteArray();
        duties.call(
                DUTY,
                () -> tables.commit(Transaction.EMPTY.withPut(RowKey.of(TABLE, self), value)),
                result -> ifAnswered(result, "write", ignored -> {
                    allocation.shares().claimed(names, sentAt, time.nanos());
                    read();
                }),
                RETRY_MILLIS,
                this::ended);
    }

    /** Reads the claims of all instances. */
    private void read() {
        long sentAt = time.nanos();
        duties.call(
                DUTY,
                () -> tables.scanAll(TABLE, ""),
                result -> ifAnswered(result, "read", rows -> {
                    calling = false;
                    allocation.shares().claimsRead(claims(rows), sentAt, time.nanos());
                }),
                RETRY_MILLIS,
                this::ended);
    }

    /** Ends an attempt, so that the next claim is made when it is due. */
    private void ended() {
        calling = false;
    }

    /** Passes on what the store answered, or ends this attempt with a record of the failure. */
    private <T> void ifAnswered(Either<Failure, T> result, String step, Consumer<T> consumer) {
        if (result.isLeft()) {
            calling = false;
            events.record(GatewayEvent.STORE_LOST, "table", TABLE, "step", step, "failure", result.getLeft());
        } else {
            consumer.accept(result.get());
        }
    }

    /** Returns the claims that the rows hold. */
    private List<ShareClaim> claims(List<Row> rows) {
        List<ShareClaim> claims = new ArrayList<>();
        for (Row row : rows) {
            try {
                ShareClaimRow claim = ShareClaimRow.parseFrom(row.value());
                claims.add(new ShareClaim(row.key().key(), row.version(), Set.copyOf(claim.getNamesList())));
            } catch (InvalidProtocolBufferException exception) {
                events.record(GatewayEvent.ROW_UNREADABLE, "row", row.key(), "failure", exception);
            }
        }
        return claims;
    }
}
