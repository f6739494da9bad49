package org.tanagermoor.gateway.member;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.embedded.EmbeddedChannel;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.tanagermoor.gateway.GatewayEvent;
import org.tanagermoor.gateway.GatewayMetrics;
import org.tanagermoor.gateway.duty.Duties;
import org.tanagermoor.kernel.event.EventLog;
import org.tanagermoor.kernel.event.EventRecord;
import org.tanagermoor.kernel.event.EventType;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.kernel.setting.Address;
import org.tanagermoor.kernel.time.HybridClock;
import org.tanagermoor.kernel.time.TimeSource;
import org.tanagermoor.policy.fleet.InstanceId;
import org.tanagermoor.store.table.CommitResult;
import org.tanagermoor.store.table.Row;
import org.tanagermoor.store.table.RowKey;
import org.tanagermoor.store.table.RowPage;
import org.tanagermoor.store.table.TableService;
import org.tanagermoor.store.table.Transaction;
import reactor.core.publisher.Mono;

/** Instances that find each other in the store, on an event loop with a simulated clock. */
final class InstanceTableTest {

    private static final String TABLE = "instances";

    private static final Address ADDRESS = Address.of("127.0.0.1", 1);

    /** The number of instances that are probed after a read. */
    private static final int MAX_PROBES = 8;

    private final EmbeddedChannel channel = new EmbeddedChannel();

    private final TableService tables = TableService.InMemory.of();

    private final TimeSource time = new Clock();

    /** The steps that have failed, as they were logged. */
    private final List<String> failedSteps = new ArrayList<>();

    /** The names of the candidates after each read. */
    private final List<List<String>> candidates = new ArrayList<>();

    /** The other instances whose heartbeats arrive. */
    private final List<Instance> running = new ArrayList<>();

    private final Liveness liveness = Liveness.of(instance("self", 1));

    /** The kind of failure of all commits; {@code null} if they succeed. */
    private Failure.@Nullable Kind failure;

    /** The current time in nanoseconds. */
    private long now = TimeUnit.SECONDS.toNanos(100);

    private final InstanceTable table = InstanceTable.of(
            new FailingTables(),
            channel.eventLoop(),
            Duties.of(channel.eventLoop(), new Log(), GatewayMetrics.of(new MetricRegistry()), time, () -> {}),
            liveness,
            new Log(),
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

    /** An instance whose row the store never takes still finds the others. */
    @ParameterizedTest
    @EnumSource(
            value = Failure.Kind.class,
            names = {"INVALID", "TOO_LARGE"})
    void readsTheOthersThoughItsRowIsNeverTaken(Failure.Kind kind) {
        write(instance("runs", 2));
        failure = kind;
        table.start();
        advance(TimeUnit.SECONDS.toMillis(1));
        assertThat(candidates, contains(contains("runs")));
    }

    /** An outage of the store is logged once, not with each repetition. */
    @Test
    void logsAnOutageOnce() {
        write(instance("runs", 2));
        failure = Failure.Kind.UNAVAILABLE;
        table.start();
        advance(TimeUnit.MINUTES.toMillis(2));
        assertThat(failedSteps, contains("write"));
        assertThat(candidates, is(List.of()));
        failure = null;
        advance(TimeUnit.SECONDS.toMillis(5));
        assertThat(candidates, contains(contains("runs")));
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

    /** Tables whose commits can fail. */
    private final class FailingTables implements TableService {

        /** {@inheritDoc} */
        @Override
        public Mono<Either<Failure, Optional<Row>>> read(RowKey key) {
            return tables.read(key);
        }

        /** {@inheritDoc} */
        @Override
        public Mono<Either<Failure, RowPage>> scan(String name, String prefix, String after, int limit) {
            return tables.scan(name, prefix, after, limit);
        }

        /** {@inheritDoc} */
        @Override
        public Mono<Either<Failure, CommitResult>> commit(Transaction transaction) {
            Failure.Kind kind = failure;
            return kind == null
                    ? tables.commit(transaction)
                    : Mono.just(Either.left(Failure.notRun(kind, "store.commit", ADDRESS.toString(), "refused")));
        }
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

    /** Keeps the steps that have failed. */
    private final class Log implements EventLog {

        /** {@inheritDoc} */
        @Override
        public void record(EventType type, Object... fields) {
            if (type == GatewayEvent.STORE_LOST) {
                failedSteps.add(fields[3].toString());
            }
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
