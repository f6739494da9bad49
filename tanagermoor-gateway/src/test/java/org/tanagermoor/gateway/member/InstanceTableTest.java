package org.tanagermoor.gateway.member;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.tanagermoor.kernel.event.EventLog;
import org.tanagermoor.kernel.setting.Address;
import org.tanagermoor.kernel.time.TimeSource;
import org.tanagermoor.policy.fleet.InstanceId;
import org.tanagermoor.store.table.RowKey;
import org.tanagermoor.store.table.TableService;
import org.tanagermoor.store.table.Transaction;

/** Instances that find each other in the store, on an event loop with a simulated clock. */
final class InstanceTableTest {

    private static final String TABLE = "instances";

    private static final Address ADDRESS = Address.of("127.0.0.1", 1);

    /** The number of instances that are probed after a read. */
    private static final int MAX_PROBES = 8;

    private final EmbeddedChannel channel = new EmbeddedChannel();

    private final TableService tables = TableService.InMemory.of();

    private final TimeSource time = new Clock();

    /** The names of the candidates after each read. */
    private final List<List<String>> candidates = new ArrayList<>();

    /** The other instances whose heartbeats arrive. */
    private final List<Instance> running = new ArrayList<>();

    private final Liveness liveness = Liveness.of(instance("self", 1));

    /** The current time in nanoseconds. */
    private long now = TimeUnit.SECONDS.toNanos(100);

    private final InstanceTable table = InstanceTable.of(
            tables,
            channel.eventLoop(),
            liveness,
            new EventLog.Disabled(),
            time,
            () -> candidates.add(liveness.silent(now).stream()
                    .map(instance -> instance.id().name())
                    .toList()));

    /**
     * The rows of instances that are gone made it a matter of chance whether a new instance found one that runs, and
     * candidates that were not found in time were never read again.
     *
     * @param gone The number of rows of instances that are gone.
     */
    @ParameterizedTest
    @ValueSource(ints = {0, 6, 7, 8, 499, 500, 501, 1_200})
    void findsARunningInstanceAmongManyRows(int gone) {
        for (int row = 0; row < gone; row++) {
            write(instance("gone-" + row, row + 10));
        }
        write(instance("runs", 2));
        table.start();
        advance(TimeUnit.SECONDS.toMillis(1));
        assertThat(candidates.get(0), hasItem("runs"));
        assertThat(candidates.get(0).size(), is(lessThanOrEqualTo(MAX_PROBES)));
        assertThat(liveness.silent(now), hasSize(gone + 1));
        advance(TimeUnit.MINUTES.toMillis(11));
        assertThat(candidates.get(1), hasItem("runs"));
        assertThat(candidates.get(1).size(), is(lessThanOrEqualTo(MAX_PROBES)));
    }

    /** Nothing removed the rows of instances that are gone, so that the table grew without end. */
    @ParameterizedTest
    @ValueSource(ints = {1, 44, 45, 46, 200})
    void removesRowsOfInstancesThatAreGone(int gone) {
        for (int row = 0; row < gone; row++) {
            write(instance("gone-" + row, row + 10));
        }
        running.add(instance("runs", 2));
        write(running.get(0));
        table.start();
        advance(TimeUnit.MINUTES.toMillis(55));
        assertThat(names(), hasSize(gone + 2));
        write(instance("returned", 3));
        advance(TimeUnit.MINUTES.toMillis(60));
        assertThat(names(), containsInAnyOrder("self", "runs", "returned"));
    }

    /** The row of an instance that runs is written again, so that it stays among the newest. */
    @Test
    void writesItsRowAgain() {
        table.start();
        advance(TimeUnit.SECONDS.toMillis(1));
        long first = version("self");
        write(instance("other", 2));
        advance(TimeUnit.MINUTES.toMillis(11));
        assertThat(version("self") > version("other"), is(true));
        assertThat(version("other") > first, is(true));
    }

    private void write(Instance instance) {
        byte[] value = MemberCodec.toMessage(new Liveness.Heartbeat(instance, 0, false))
                .toByteArray();
        RowKey key = RowKey.of(TABLE, instance.id().name());
        assertThat(tables.commit(Transaction.EMPTY.withPut(key, value)).block().isRight(), is(true));
    }

    private List<String> names() {
        return tables.scanAll(TABLE, "").block().get().stream()
                .map(row -> row.key().key())
                .toList();
    }

    private long version(String name) {
        return tables.read(RowKey.of(TABLE, name)).block().get().get().version();
    }

    /** Advances the clock by a time in milliseconds, and runs what becomes due. */
    private void advance(long millis) {
        long left = millis;
        while (left > 0) {
            long step = Math.min(left, 500);
            now += TimeUnit.MILLISECONDS.toNanos(step);
            running.forEach(instance -> liveness.observe(new Liveness.Heartbeat(instance, 0, false), now));
            channel.advanceTimeBy(step, TimeUnit.MILLISECONDS);
            channel.runPendingTasks();
            // Forgets silent candidates, as the periodic exchanges do.
            liveness.heartbeats(now);
            left -= step;
        }
    }

    private static Instance instance(String name, long incarnation) {
        return new Instance(InstanceId.of(name, incarnation), ADDRESS, ADDRESS, "lisbon", 0, 1);
    }

    /** Tells the time of the test. */
    private final class Clock implements TimeSource {

        /** {@inheritDoc} */
        @Override
        public long nanos() {
            return now;
        }

        /** {@inheritDoc} */
        @Override
        public long wallMillis() {
            return TimeUnit.NANOSECONDS.toMillis(now);
        }
    }
}
