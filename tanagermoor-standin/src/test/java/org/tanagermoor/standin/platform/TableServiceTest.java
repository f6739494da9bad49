package org.tanagermoor.standin.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.tanagermoor.standin.platform.PlatformFixture.LONG;
import static org.tanagermoor.standin.platform.PlatformFixture.SHORT;
import static org.tanagermoor.standin.platform.PlatformFixture.await;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.tanagermoor.kernel.event.EventRecord;
import org.tanagermoor.kernel.failure.Execution;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.store.PlatformEvent;
import org.tanagermoor.store.client.CallLimits;
import org.tanagermoor.store.table.CommitResult;
import org.tanagermoor.store.table.Row;
import org.tanagermoor.store.table.RowKey;
import org.tanagermoor.store.table.RowPage;
import org.tanagermoor.store.table.TableService;
import org.tanagermoor.store.table.Transaction;
import reactor.core.publisher.Flux;
import reactor.core.scheduler.Schedulers;

class TableServiceTest {

    private static final int READINGS_MOST = 5;

    private static final RowKey KEY = RowKey.of("jobs", "a");

    private static final int WRITERS = 16;

    private enum Variant {
        EMBEDDED,
        HTTP;

        TableService open(PlatformFixture fixture) {
            return this == EMBEDDED ? TableService.InMemory.of() : fixture.table();
        }
    }

    @ParameterizedTest
    @EnumSource
    void versionsGrowAlsoAfterADeletion(Variant variant) {
        try (PlatformFixture fixture = PlatformFixture.of(LONG)) {
            TableService table = variant.open(fixture);
            long first = version(commit(table, put(KEY, "1").withCondition(KEY, Transaction.ABSENT)));
            commit(table, Transaction.EMPTY.withCondition(KEY, first).withDelete(KEY));

            assertThat(await(table.read(KEY)).get(), is(Optional.empty()));
            long second = version(commit(table, put(KEY, "2").withCondition(KEY, Transaction.ABSENT)));
            assertThat(second, greaterThan(first));
            Row row = await(table.read(KEY)).get().orElseThrow();
            assertThat(text(row), is("2"));
            assertThat(row.version(), is(second));
        }
    }

    @ParameterizedTest
    @EnumSource
    void aConflictWritesNothingAndNamesWhatItFound(Variant variant) {
        try (PlatformFixture fixture = PlatformFixture.of(LONG)) {
            TableService table = variant.open(fixture);
            RowKey other = RowKey.of("jobs", "b");
            long version = version(commit(table, put(KEY, "1")));

            CommitResult result = commit(
                    table,
                    put(other, "x").withCondition(other, Transaction.ABSENT).withCondition(KEY, version + 1));

            CommitResult.Conflict conflict = (CommitResult.Conflict) result;
            assertThat(conflict.found().stream().map(Row::key).toList(), contains(KEY));
            assertThat(await(table.read(other)).get(), is(Optional.empty()));
        }
    }

    @ParameterizedTest
    @CsvSource({
        "EMBEDDED, '', '', 9, a1 a2 a3 b1",
        "EMBEDDED, a, '', 2, a1 a2",
        "EMBEDDED, a, a1, 9, a2 a3",
        "EMBEDDED, b, a2, 9, b1",
        "EMBEDDED, c, '', 9, ''",
        "HTTP, '', '', 9, a1 a2 a3 b1",
        "HTTP, a, '', 2, a1 a2",
        "HTTP, a, a1, 9, a2 a3",
        "HTTP, b, a2, 9, b1",
        "HTTP, c, '', 9, ''"
    })
    void scansInOrder(Variant variant, String prefix, String after, int limit, String expected) {
        try (PlatformFixture fixture = PlatformFixture.of(LONG)) {
            TableService table = variant.open(fixture);
            for (String key : List.of("b1", "a2", "a1", "a3")) {
                commit(table, put(RowKey.of("jobs", key), key));
            }
            commit(table, put(RowKey.of("other", "a0"), "x"));

            List<Row> rows =
                    await(table.scan("jobs", prefix, after, limit)).get().rows();

            assertThat(
                    String.join(" ", rows.stream().map(row -> row.key().key()).toList()), is(expected));
        }
    }

    /** A read says where to read on unless it has returned all rows, and the whole is read in pages. */
    @ParameterizedTest
    @CsvSource({"499, 499", "499, 500", "500, 500", "501, 500", "1001, 1000", "3, 2"})
    void saysWhereToReadOn(int rows, int limit) {
        TableService table = TableService.InMemory.of();
        List<String> keys = IntStream.range(0, rows)
                .mapToObj(row -> String.format("%04d", row))
                .toList();
        keys.forEach(key -> commit(table, put(RowKey.of("jobs", key), key)));
        RowPage page = await(table.scan("jobs", "", "", limit)).get();
        assertThat(page.rows().size(), is(Math.min(rows, limit)));
        assertThat(page.last(), is(rows < limit));
        List<Row> all = await(table.scanAll("jobs", "")).get();
        assertThat(all.stream().map(row -> row.key().key()).toList(), is(keys));
    }

    @ParameterizedTest
    @EnumSource
    void aLimitOutOfBoundsIsInvalid(Variant variant) {
        try (PlatformFixture fixture = PlatformFixture.of(LONG)) {
            Failure failure =
                    await(variant.open(fixture).scan("jobs", "", "", 1_001)).getLeft();

            assertThat(failure.kind(), is(Failure.Kind.INVALID));
            assertThat(failure.execution(), is(Execution.NOT_RUN));
        }
    }

    @ParameterizedTest
    @EnumSource
    void oneOfRacingWritersWins(Variant variant) {
        try (PlatformFixture fixture = PlatformFixture.of(LONG)) {
            TableService table = variant.open(fixture);

            List<CommitResult> results = Flux.range(0, WRITERS)
                    .flatMap(writer -> table.commit(put(KEY, "" + writer).withCondition(KEY, Transaction.ABSENT))
                            .subscribeOn(Schedulers.parallel()))
                    .map(result -> result.get())
                    .collectList()
                    .block(LONG);

            assertThat(
                    results.stream()
                            .filter(CommitResult.Committed.class::isInstance)
                            .count(),
                    is(1L));
            assertThat(results.size(), is(WRITERS));
        }
    }

    @ParameterizedTest
    @EnumSource
    void faultsOfACommitAreTyped(PlatformFixture.FaultCase fault) {
        try (PlatformFixture fixture = PlatformFixture.of(fault.deadline)) {
            String peer = fixture.link.address().toString();
            fault.inject(fixture);

            Failure failure = await(fixture.table().commit(put(KEY, "1"))).getLeft();

            assertThat(failure.kind(), is(fault.kind));
            assertThat(failure.execution(), is(fault.execution));
            assertThat(failure.step(), is("table.commit"));
            assertThat(failure.peer(), is(peer));
        }
    }

    @ParameterizedTest
    @EnumSource
    void faultsOfAReadingAreTyped(PlatformFixture.FaultCase fault) {
        try (PlatformFixture fixture = PlatformFixture.of(fault.deadline)) {
            fault.inject(fixture);

            assertThat(await(fixture.table().read(KEY)).getLeft().kind(), is(fault.kind));
            assertThat(await(fixture.table().scan("jobs", "", "", 1)).getLeft().step(), is("table.scan"));
        }
    }

    @Test
    void aCommitWithALostAnswerTookEffectOnce() {
        try (PlatformFixture fixture = PlatformFixture.of(LONG)) {
            TableService table = fixture.table();
            fixture.server.faults().set(Operation.TABLE_COMMIT, Fault.lostAnswers(1));

            Failure failure = await(table.commit(put(KEY, "1"))).getLeft();

            assertThat(failure.execution(), is(Execution.UNKNOWN));
            Row row = await(table.read(KEY)).get().orElseThrow();
            assertThat(text(row), is("1"));
            assertThat(fixture.metrics.meter("platform.table.writes").getCount(), is(1L));
            assertThat(types(fixture), hasItem(PlatformEvent.COMMIT_UNKNOWN));
            assertThat(
                    commit(table, put(KEY, "2").withCondition(KEY, row.version())),
                    instanceOf(CommitResult.Committed.class));
        }
    }

    @Test
    void aSlowCommitTakesEffectAfterItsDeadline() {
        try (PlatformFixture fixture = PlatformFixture.of(SHORT)) {
            fixture.server.faults().set(Operation.TABLE_COMMIT, Fault.slow(SHORT.multipliedBy(2)));

            Failure failure = await(fixture.table().commit(put(KEY, "1"))).getLeft();

            assertThat(failure.execution(), is(Execution.UNKNOWN));
            Optional<Row> row = fixture.table()
                    .read(KEY)
                    .repeat()
                    .map(result -> result.getOrElse(Optional.empty()))
                    .filter(Optional::isPresent)
                    .blockFirst(LONG);
            assertThat(text(row.orElseThrow()), is("1"));
        }
    }

    @Test
    void aReadingSurvivesAResetOfItsConnection() {
        try (PlatformFixture fixture = PlatformFixture.of(LONG)) {
            TableService table = fixture.table();
            commit(table, put(KEY, "1"));
            fixture.server.faults().set(Operation.TABLE_READ, Fault.lostAnswers(1));

            assertThat(text(await(table.read(KEY)).get().orElseThrow()), is("1"));
        }
    }

    @Test
    void aReadingMovesFromASilentConnectionToANewOne() {
        try (PlatformFixture fixture = PlatformFixture.of(Duration.ofSeconds(6))) {
            TableService table = fixture.table();
            commit(table, put(KEY, "1"));
            // A reading that begins before the former call has given its connection back opens one that is not silent.
            for (int reading = 0; reading < READINGS_MOST && !replaced(fixture); reading++) {
                fixture.link.freeze(true);
                assertThat(text(await(table.read(KEY)).get().orElseThrow()), is("1"));
            }
            assertThat(types(fixture), hasItem(PlatformEvent.CONNECTIONS_REPLACED));
            assertThat(commit(table, put(KEY, "2")), instanceOf(CommitResult.Committed.class));
        }
    }

    @Test
    void aLateAnswerIsWaitedForUntilTheDeadline() {
        try (PlatformFixture fixture = PlatformFixture.of(Duration.ofSeconds(4))) {
            TableService table = fixture.table();
            commit(table, put(KEY, "1"));
            fixture.server.faults().set(Operation.TABLE_READ, Fault.slow(Duration.ofMillis(2_500)));

            assertThat(text(await(table.read(KEY)).get().orElseThrow()), is("1"));
            assertThat(fixture.metrics.meter("platform.table.reads").getCount(), is(2L));
        }
    }

    @Test
    void secondAttemptsAreAShareOfTheCalls() {
        CallLimits calls = CallLimits.DEFAULT.withDeadline(LONG).withInFlight(2);
        try (PlatformFixture fixture = PlatformFixture.of(Limits.NONE, calls)) {
            fixture.server.faults().set(Operation.TABLE_READ, Fault.lostAnswers(Fault.ALWAYS));

            for (int call = 0; call < 21; call++) {
                await(fixture.table().read(KEY)).getLeft();
            }

            assertThat(fixture.metrics.meter("platform.table.reads").getCount(), is(21L + 2 + 2));
        }
    }

    @Test
    void theCommitAfterAResetGoesThrough() {
        try (PlatformFixture fixture = PlatformFixture.of(LONG)) {
            TableService table = fixture.table();
            fixture.server.faults().set(Operation.TABLE_COMMIT, Fault.slow(LONG));
            var pending = table.commit(put(KEY, "1")).cache();
            pending.subscribe();
            Flux.defer(() -> Flux.just(fixture.server.accepted(Operation.TABLE_COMMIT)))
                    .repeat()
                    .filter(count -> count == 1)
                    .blockFirst(LONG);
            fixture.link.cut();

            assertThat(await(pending).getLeft().execution(), is(Execution.UNKNOWN));
            fixture.server.faults().clear();
            assertThat(commit(table, put(KEY, "2")), instanceOf(CommitResult.Committed.class));
        }
    }

    @Test
    void callsBeyondTheBoundAreNotSent() {
        CallLimits calls = CallLimits.DEFAULT.withDeadline(LONG).withInFlight(1);
        try (PlatformFixture fixture = PlatformFixture.of(Limits.NONE, calls)) {
            fixture.server.faults().setAll(Fault.slow(LONG));
            var first = fixture.table().commit(put(KEY, "1")).subscribe();

            Failure failure = await(fixture.table().commit(put(KEY, "2"))).getLeft();

            first.dispose();
            assertThat(failure.kind(), is(Failure.Kind.RATE_LIMITED));
            assertThat(failure.execution(), is(Execution.NOT_RUN));
            assertThat(failure.peer(), is(Failure.LOCAL));
        }
    }

    @Test
    void theRateOfWritesIsLimitedApartFromReads() {
        Limits limits = new Limits(0, 1, Duration.ZERO);
        try (PlatformFixture fixture = PlatformFixture.of(limits, CallLimits.DEFAULT.withDeadline(LONG))) {
            TableService table = fixture.table();

            List<Failure> failures = Flux.range(0, WRITERS)
                    .flatMap(writer -> table.commit(put(KEY, "x")))
                    .filter(result -> result.isLeft())
                    .map(result -> result.getLeft())
                    .collectList()
                    .block(LONG);

            assertThat(
                    failures.stream()
                            .filter(failure -> failure.kind() != Failure.Kind.RATE_LIMITED)
                            .toList(),
                    empty());
            assertThat(failures.size(), greaterThan(0));
            assertThat(await(table.read(KEY)).isRight(), is(true));
        }
    }

    private static Transaction put(RowKey key, String value) {
        return Transaction.EMPTY.withPut(key, value.getBytes(StandardCharsets.UTF_8));
    }

    private static CommitResult commit(TableService table, Transaction transaction) {
        return await(table.commit(transaction)).get();
    }

    private static long version(CommitResult result) {
        return ((CommitResult.Committed) result).versions().get(KEY);
    }

    private static String text(Row row) {
        return new String(row.value(), StandardCharsets.UTF_8);
    }

    private static boolean replaced(PlatformFixture fixture) {
        return types(fixture).contains(PlatformEvent.CONNECTIONS_REPLACED);
    }

    private static List<Object> types(PlatformFixture fixture) {
        return fixture.events.since(0, 1_000).stream()
                .map(EventRecord::type)
                .<Object>map(type -> type)
                .toList();
    }
}
