package org.tanagermoor.gateway.rollout;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.tanagermoor.gateway.follow.ChangeFeed;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.store.table.CommitResult;
import org.tanagermoor.store.table.Row;
import org.tanagermoor.store.table.RowKey;
import org.tanagermoor.store.table.RowPage;
import org.tanagermoor.store.table.TableService;
import org.tanagermoor.store.table.Transaction;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;

/** A store in memory whose calls can fail, lose their answers and drop the history of changes. */
final class SimulatedStore {

    private final LongSupplier clock;

    private final Map<String, TreeMap<String, Row>> tables = new HashMap<>();

    /** All changes in their order. */
    private final List<Logged> log = new ArrayList<>();

    private final List<Waiting> waiting = new ArrayList<>();

    /** The number of calls of any kind about a table, by table. */
    private final Map<String, Integer> calls = new HashMap<>();

    /** The revision before which changes are no longer available. */
    private long historyFrom;

    private long revision;

    SimulatedStore(LongSupplier clock) {
        this.clock = clock;
    }

    /** Writes a row, or removes it if the value is empty. */
    void put(String table, String key, String value) {
        Transaction transaction = value.isEmpty()
                ? Transaction.EMPTY.withDelete(RowKey.of(table, key))
                : Transaction.EMPTY.withPut(
                        RowKey.of(table, key), value.getBytes(java.nio.charset.StandardCharsets.UTF_8));
        apply(transaction);
    }

    /** Returns the value of a row as text; empty if there is none. */
    String text(String table, String key) {
        return row(table, key)
                .map(row -> new String(row.value(), java.nio.charset.StandardCharsets.UTF_8))
                .orElse("");
    }

    Optional<Row> row(String table, String key) {
        return Optional.ofNullable(tables.getOrDefault(table, new TreeMap<>()).get(key));
    }

    /** Returns all values that a row has had, in their order. */
    List<byte[]> values(String table, String key) {
        List<byte[]> values = new ArrayList<>();
        for (Logged change : log) {
            byte[] value = change.change.value();
            if (change.table.equals(table) && change.change.key().equals(key) && value != null) {
                values.add(value);
            }
        }
        return values;
    }

    int calls(String table) {
        return calls.getOrDefault(table, 0);
    }

    /** Makes the changes so far unavailable, so that followers must read the tables again. */
    void dropHistory() {
        historyFrom = revision + 1;
        // A follower that waits is answered at its next call.
        List.copyOf(waiting).forEach(this::answer);
    }

    /** Answers the calls that have waited long enough. */
    void tick() {
        List.copyOf(waiting).forEach(call -> {
            if (call.until - clock.getAsLong() <= 0) {
                answer(call);
            }
        });
    }

    private void answer(Waiting call) {
        waiting.remove(call);
        call.sink.success(Either.right(changes(call.table, call.after)));
    }

    private ChangeFeed.Answer changes(String table, long after) {
        if (after + 1 < historyFrom) {
            return new ChangeFeed.Answer.HistoryLost();
        }
        List<ChangeFeed.Change> found = log.stream()
                .filter(change -> change.table.equals(table) && change.change.version() > after)
                .map(Logged::change)
                .toList();
        return new ChangeFeed.Answer.Changes(found, revision);
    }

    private CommitResult apply(Transaction transaction) {
        List<Row> found = new ArrayList<>();
        boolean holds = true;
        for (Transaction.Condition condition : transaction.conditions()) {
            Optional<Row> row = row(condition.key().table(), condition.key().key());
            if (row.map(Row::version).orElse(Transaction.ABSENT) != condition.version()) {
                holds = false;
                row.ifPresent(found::add);
            }
        }
        if (!holds) {
            return new CommitResult.Conflict(found);
        }
        revision++;
        Map<RowKey, Long> versions = new HashMap<>();
        for (Transaction.Write write : transaction.writes()) {
            byte[] value = write.value();
            String table = write.key().table();
            TreeMap<String, Row> rows = tables.computeIfAbsent(table, name -> new TreeMap<>());
            if (value == null) {
                rows.remove(write.key().key());
            } else {
                rows.put(write.key().key(), new Row(write.key(), revision, value));
                versions.put(write.key(), revision);
            }
            log.add(new Logged(table, new ChangeFeed.Change(write.key().key(), revision, value)));
        }
        for (Waiting call : List.copyOf(waiting)) {
            if (transaction.writes().stream()
                    .anyMatch(write -> write.key().table().equals(call.table))) {
                answer(call);
            }
        }
        return new CommitResult.Committed(versions);
    }

    /** Returns a connection without faults. */
    Connection connect() {
        return new Connection();
    }

    /** What becomes of the calls of an instance. */
    enum Fault {
        /** Each call takes effect, and its answer arrives. */
        NONE,
        /** They fail and have no effect. */
        AWAY,
        /** Commits take effect and their answers are lost. */
        LOSES_ANSWERS,
        /** Commits have no effect, and whether they have is not told. */
        LOSES_COMMITS
    }

    /** What one instance sees of the store. */
    final class Connection implements TableService, ChangeFeed {

        private Fault fault = Fault.NONE;

        void fault(Fault value) {
            fault = value;
            if (value == Fault.AWAY) {
                waiting.stream()
                        .filter(call -> call.connection == this)
                        .toList()
                        .forEach(call -> {
                            waiting.remove(call);
                            call.sink.success(Either.left(failure()));
                        });
            }
        }

        private <T> Mono<Either<Failure, T>> call(String table, java.util.function.Supplier<T> answer) {
            return Mono.fromSupplier(() -> {
                calls.merge(table, 1, Integer::sum);
                return fault == Fault.AWAY ? Either.left(failure()) : Either.right(answer.get());
            });
        }

        private Failure failure() {
            return Failure.unknown(Failure.Kind.TIMEOUT, "store.call", "store", "no answer");
        }

        /** {@inheritDoc} */
        @Override
        public Mono<Either<Failure, Optional<Row>>> read(RowKey key) {
            return call(key.table(), () -> row(key.table(), key.key()));
        }

        /** {@inheritDoc} */
        @Override
        public Mono<Either<Failure, RowPage>> scan(String table, String prefix, String after, int limit) {
            throw new AssertionError("no table is scanned");
        }

        /** {@inheritDoc} */
        @Override
        public Mono<Either<Failure, CommitResult>> commit(Transaction transaction) {
            return Mono.fromSupplier(() -> {
                transaction.writes().forEach(write -> calls.merge(write.key().table(), 1, Integer::sum));
                return switch (fault) {
                    case NONE -> Either.right(apply(transaction));
                    case AWAY, LOSES_COMMITS -> Either.left(failure());
                    case LOSES_ANSWERS -> {
                        apply(transaction);
                        yield Either.left(failure());
                    }
                };
            });
        }

        /** {@inheritDoc} */
        @Override
        public Mono<Either<Failure, Answer>> snapshot(String table) {
            return call(
                    table,
                    () -> new Answer.Snapshot(
                            tables.getOrDefault(table, new TreeMap<>()).values().stream()
                                    .map(row -> new Change(row.key().key(), row.version(), row.value()))
                                    .toList(),
                            Math.max(1, revision)));
        }

        /** {@inheritDoc} */
        @Override
        public Mono<Either<Failure, Answer>> changes(String table, long after, Duration wait) {
            return Mono.create(sink -> {
                calls.merge(table, 1, Integer::sum);
                if (fault == Fault.AWAY) {
                    sink.success(Either.left(failure()));
                    return;
                }
                Answer known = SimulatedStore.this.changes(table, after);
                if (known instanceof Answer.Changes changes && changes.rows().isEmpty()) {
                    waiting.add(new Waiting(this, table, after, clock.getAsLong() + wait.toNanos(), sink));
                } else {
                    sink.success(Either.right(known));
                }
            });
        }
    }

    private record Logged(String table, ChangeFeed.Change change) {}

    private record Waiting(
            Connection connection,
            String table,
            long after,
            long until,
            MonoSink<Either<Failure, ChangeFeed.Answer>> sink) {}

    /** The step of the simulated clock in nanoseconds. */
    static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(250);
}
