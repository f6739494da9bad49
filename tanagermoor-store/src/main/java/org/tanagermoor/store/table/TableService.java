package org.tanagermoor.store.table;

import io.netty.handler.codec.http.HttpMethod;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;
import org.tanagermoor.http.Json;
import org.tanagermoor.kernel.event.EventLog;
import org.tanagermoor.kernel.failure.Execution;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.store.PlatformEvent;
import org.tanagermoor.store.client.Answer;
import org.tanagermoor.store.client.Call;
import org.tanagermoor.store.client.Messages;
import org.tanagermoor.store.client.PlatformClient;
import reactor.core.publisher.Mono;

/**
 * The platform's transactional table service. Each call has its own deadline. Failures have the kind
 * {@link Failure.Kind#UNAVAILABLE}, {@link Failure.Kind#TIMEOUT} or {@link Failure.Kind#RATE_LIMITED}; their execution
 * tells whether a commit may have taken effect.
 */
public interface TableService {

    /** The number of rows that {@link #scanAll} reads at once. */
    int PAGE_ROWS = 500;

    /**
     * Reads a single row.
     *
     * @return The row, empty if it is absent, or a failure.
     */
    Mono<Either<Failure, Optional<Row>>> read(RowKey key);

    /**
     * Reads the rows of a table whose keys begin with a prefix, in ascending order of their keys.
     *
     * @param table The name of the table.
     * @param prefix The prefix, which may be empty.
     * @param after The key after which the scan starts (exclusive), or an empty string to start at the first key.
     * @param limit The maximum number of rows to return, from 1 to 1,000.
     * @return The rows and where to read on, or a failure.
     */
    Mono<Either<Failure, RowPage>> scan(String table, String prefix, String after, int limit);

    /**
     * Reads all rows of a table whose keys begin with a prefix, in ascending order of their keys, page by page. The
     * pages are read one after the other, so the rows need not be those of one moment.
     *
     * @param table The name of the table.
     * @param prefix The prefix, which may be empty.
     * @return All rows, or the failure of any of the reads.
     */
    default Mono<Either<Failure, List<Row>>> scanAll(String table, String prefix) {
        return collect(this, table, prefix, "", List.of());
    }

    /** Adds the rows after a key to those that were read before. */
    private static Mono<Either<Failure, List<Row>>> collect(
            TableService tables, String table, String prefix, String after, List<Row> before) {
        return tables.scan(table, prefix, after, PAGE_ROWS).flatMap(result -> {
            if (result.isLeft()) {
                return Mono.just(Either.left(result.getLeft()));
            }
            List<Row> rows = new ArrayList<>(before);
            rows.addAll(result.get().rows());
            return result.get()
                    .next()
                    .map(next -> collect(tables, table, prefix, next, rows))
                    .orElseGet(() -> Mono.just(Either.right(rows)));
        });
    }

    /**
     * Commits a transaction: applies all its writes if all its conditions hold, otherwise none.
     *
     * @return The result, or a failure. If the execution of the failure is unknown, the caller must read the rows to
     *     find out whether the commit took effect.
     */
    Mono<Either<Failure, CommitResult>> commit(Transaction transaction);

    /**
     * A table service that keeps its rows in the memory of this process. All rows share one sequence of versions, so
     * that the version of a row also increases when it is deleted and written again. Thread-safe.
     */
    final class InMemory implements TableService {

        /** The maximum number of rows in the result of a scan. */
        private static final int MAX_LIMIT = 1_000;

        /** The rows by table, then by key. Guarded by itself. */
        private final Map<String, NavigableMap<String, Row>> tables = new HashMap<>();

        /** The highest version that was assigned to a row, 0 before the first write. Guarded by {@link #tables}. */
        private long lastVersion;

        private InMemory() {}

        /** Creates a service without rows. */
        public static InMemory of() {
            return new InMemory();
        }

        /** {@inheritDoc} */
        @Override
        public Mono<Either<Failure, Optional<Row>>> read(RowKey key) {
            return Mono.fromSupplier(() -> Either.right(find(key)));
        }

        /** {@inheritDoc} */
        @Override
        public Mono<Either<Failure, RowPage>> scan(String table, String prefix, String after, int limit) {
            return Mono.fromSupplier(() -> limit < 1 || limit > MAX_LIMIT
                    ? Either.left(invalidLimit(limit))
                    : Either.right(RowPage.of(rows(table, prefix, after, limit), limit)));
        }

        /** {@inheritDoc} */
        @Override
        public Mono<Either<Failure, CommitResult>> commit(Transaction transaction) {
            return Mono.fromSupplier(() -> Either.right(apply(transaction)));
        }

        /** Returns the row of a key, or empty if it is absent. */
        private Optional<Row> find(RowKey key) {
            synchronized (tables) {
                return Optional.ofNullable(table(key.table()).get(key.key()));
            }
        }

        /** Returns up to {@code limit} rows whose keys begin with the prefix and follow {@code after}, in order. */
        private List<Row> rows(String table, String prefix, String after, int limit) {
            synchronized (tables) {
                boolean inclusive = prefix.compareTo(after) > 0;
                return table(table).tailMap(inclusive ? prefix : after, inclusive).values().stream()
                        .takeWhile(row -> row.key().key().startsWith(prefix))
                        .limit(limit)
                        .toList();
            }
        }

        /** Checks the conditions of a transaction and writes its rows if all of them hold, as one atomic step. */
        private CommitResult apply(Transaction transaction) {
            synchronized (tables) {
                boolean allHold = true;
                List<Row> found = new ArrayList<>();
                for (Transaction.Condition condition : transaction.conditions()) {
                    Optional<Row> row = find(condition.key());
                    if (row.map(Row::version).orElse(Transaction.ABSENT) != condition.version()) {
                        allHold = false;
                        row.ifPresent(found::add);
                    }
                }
                return allHold ? write(transaction.writes()) : new CommitResult.Conflict(List.copyOf(found));
            }
        }

        /** Puts and deletes rows in the given order, and returns the new versions. The caller holds the lock. */
        private CommitResult write(List<Transaction.Write> writes) {
            Map<RowKey, Long> versions = new LinkedHashMap<>();
            for (Transaction.Write write : writes) {
                RowKey key = write.key();
                byte[] value = write.value();
                if (value == null) {
                    table(key.table()).remove(key.key());
                    versions.remove(key);
                } else {
                    table(key.table()).put(key.key(), new Row(key, ++lastVersion, value));
                    versions.put(key, lastVersion);
                }
            }
            return new CommitResult.Committed(versions);
        }

        /** Returns the rows of a table by key; the table is created if it is absent. The caller holds the lock. */
        private NavigableMap<String, Row> table(String name) {
            return tables.computeIfAbsent(name, absent -> new TreeMap<>());
        }

        /** Returns the failure of a scan whose limit is out of range. */
        private static Failure invalidLimit(int limit) {
            String detail = "the limit must be from 1 to " + MAX_LIMIT + ", but is " + limit;
            return Failure.notRun(Failure.Kind.INVALID, ForHttp.SCAN_STEP, Failure.LOCAL, detail);
        }
    }

    /** The table service of a remote platform, called over HTTP. */
    final class ForHttp implements TableService {

        /** The step that failures of {@link #read} name. */
        public static final String READ_STEP = "table.read";

        /** The step that failures of {@link #scan} name. */
        public static final String SCAN_STEP = "table.scan";

        /** The step that failures of {@link #commit} name. */
        public static final String COMMIT_STEP = "table.commit";

        /** The meter that counts calls of {@link #read} and {@link #scan}. */
        private static final String READS = "platform.table.reads";

        /** The meter that counts calls of {@link #commit}. */
        private static final String WRITES = "platform.table.writes";

        private final PlatformClient client;

        private final EventLog events;

        private ForHttp(PlatformClient client, EventLog events) {
            this.client = client;
            this.events = events;
        }

        /**
         * Creates a service that calls the platform through a client.
         *
         * @param client The client, which the service does not close.
         * @param events The log for commits that may have taken effect.
         */
        public static TableService of(PlatformClient client, EventLog events) {
            return new ForHttp(client, events);
        }

        /** {@inheritDoc} */
        @Override
        public Mono<Either<Failure, Optional<Row>>> read(RowKey key) {
            Call call = Call.idempotent(
                    READ_STEP, READS, HttpMethod.POST, "/table/read", Json.write(new TableMessages.Read(key)));
            return client.exchange(call)
                    .map(result -> result.flatMap(answer -> parse(call, TableMessages.Found.class, answer))
                            .map(found -> Optional.ofNullable(found.row())));
        }

        /** {@inheritDoc} */
        @Override
        public Mono<Either<Failure, RowPage>> scan(String table, String prefix, String after, int limit) {
            byte[] body = Json.write(new TableMessages.Scan(table, prefix, after, limit));
            Call call = Call.idempotent(SCAN_STEP, READS, HttpMethod.POST, "/table/scan", body);
            return client.exchange(call)
                    .map(result -> result.flatMap(answer -> parse(call, TableMessages.Rows.class, answer))
                            .map(found -> RowPage.of(found.rows(), limit)));
        }

        /** {@inheritDoc} */
        @Override
        public Mono<Either<Failure, CommitResult>> commit(Transaction transaction) {
            Call call = Call.once(COMMIT_STEP, WRITES, HttpMethod.POST, "/table/commit", Json.write(transaction))
                    .withAnswer(Answer.CONFLICT);
            return client.exchange(call)
                    .map(result ->
                            result.flatMap(answer -> commitResult(call, answer)).peekLeft(this::recordUnknownOutcome));
        }

        /** Parses the answer to a commit, or returns a failure if it is malformed. */
        private Either<Failure, CommitResult> commitResult(Call call, Answer answer) {
            return answer.status() == Answer.CONFLICT
                    ? parse(call, TableMessages.Rows.class, answer).map(rows -> new CommitResult.Conflict(rows.rows()))
                    : parse(call, TableMessages.Versions.class, answer).map(TableMessages.Versions::committed);
        }

        /** Parses the body of an answer as a message, or returns a failure if it is malformed. */
        private <T> Either<Failure, T> parse(Call call, Class<T> type, Answer answer) {
            return Messages.read(type, answer.body()).mapLeft(detail -> client.corrupt(call, detail));
        }

        /** Records the failure of a commit if the commit may have taken effect. */
        private void recordUnknownOutcome(Failure failure) {
            if (failure.execution() == Execution.UNKNOWN) {
                events.record(PlatformEvent.COMMIT_UNKNOWN, "peer", failure.peer(), "detail", failure.detail());
            }
        }
    }
}
