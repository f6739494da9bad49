package org.tanagermoor.batch;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.store.object.ObjectStore;
import org.tanagermoor.store.table.CommitResult;
import org.tanagermoor.store.table.Row;
import org.tanagermoor.store.table.RowKey;
import org.tanagermoor.store.table.RowPage;
import org.tanagermoor.store.table.TableService;
import org.tanagermoor.store.table.Transaction;
import reactor.core.publisher.Mono;

/** An in-memory platform that counts its writes and can apply a fault to each of them. */
final class FakePlatform {

    final TableService tables = TableService.InMemory.of();

    final ObjectStore objects = ObjectStore.InMemory.of();

    final AtomicInteger writes = new AtomicInteger();

    final AtomicInteger commits = new AtomicInteger();

    final AtomicInteger puts = new AtomicInteger();

    final AtomicInteger reads = new AtomicInteger();

    /** The faults to apply, by the number of the write. */
    final Map<Integer, Fault> faults = new ConcurrentHashMap<>();

    /** The writes to which a fault was applied, by their number. */
    final Map<Integer, String> faultyWrites = new ConcurrentHashMap<>();

    /** Called with each transaction that took effect. */
    volatile Consumer<Transaction> committed = transaction -> {};

    /** Whether all calls fail as in an outage. */
    volatile boolean down;

    /** Whether objects are stored; otherwise puts are only counted. */
    volatile boolean keepObjects = true;

    /** Called for each write that fails because of an outage. */
    volatile Runnable refused = () -> {};

    /** Called by the faults {@link Fault#CANCEL_BEFORE} and {@link Fault#CANCEL_AFTER}. */
    volatile Runnable cancel = () -> {};

    /**
     * The interval in nanoseconds at which the platform handles writes; {@link #answerNanos} is the time from a call
     * to its answer.
     */
    volatile long writeNanos;

    volatile long answerNanos;

    private final AtomicLong nextWriteAt = new AtomicLong(System.nanoTime());

    /**
     * A fault of one write. The client is killed or frozen, or {@link #cancel} runs, BEFORE or AFTER the write takes
     * effect. ANSWER_LOST is a write that takes effect without an answer, REQUEST_LOST one that does not
     * take effect; the client sees a timeout for both.
     */
    enum Fault {
        KILL_BEFORE,
        KILL_AFTER,
        ANSWER_LOST,
        REQUEST_LOST,
        FREEZE_BEFORE,
        FREEZE_AFTER,
        CANCEL_BEFORE,
        CANCEL_AFTER
    }

    /** The actions that a fault applies to the client of the platform. */
    interface Client {

        boolean alive();

        void kill();

        void freeze();

        void waitUntilThawed();
    }

    private static Failure outage() {
        return Failure.notRun(Failure.Kind.UNAVAILABLE, "platform", "fake", "down");
    }

    private static Failure answerLost() {
        return Failure.unknown(Failure.Kind.TIMEOUT, "platform", "fake", "no answer");
    }

    private <T> Mono<Either<Failure, T>> read(Client client, Supplier<Mono<Either<Failure, T>>> call) {
        return Mono.defer(() -> {
            client.waitUntilThawed();
            reads.incrementAndGet();
            if (!client.alive()) {
                return Mono.never();
            }
            return down ? Mono.just(Either.left(outage())) : call.get();
        });
    }

    private <T> Mono<Either<Failure, T>> write(Client client, String name, Supplier<Mono<Either<Failure, T>>> call) {
        return Mono.defer(() -> {
            client.waitUntilThawed();
            if (!client.alive()) {
                return Mono.never();
            }
            if (down) {
                refused.run();
                return Mono.just(Either.left(outage()));
            }
            int number = writes.incrementAndGet();
            Fault fault = faults.remove(number);
            if (fault == null) {
                return answerNanos == 0 ? call.get() : call.get().delaySubscription(delay());
            }
            faultyWrites.put(number, name);
            return writeWithFault(client, fault, call);
        });
    }

    /** Returns how long a write waits for its turn, plus the time until its answer. */
    private Duration delay() {
        long now = System.nanoTime();
        long turn = nextWriteAt.updateAndGet(last -> Math.max(last + writeNanos, now));
        return Duration.ofNanos(turn - now + answerNanos);
    }

    private <T> Mono<Either<Failure, T>> writeWithFault(
            Client client, Fault fault, Supplier<Mono<Either<Failure, T>>> call) {
        return switch (fault) {
            case KILL_BEFORE -> {
                client.kill();
                yield Mono.never();
            }
            case KILL_AFTER ->
                call.get().flatMap(result -> {
                    client.kill();
                    return Mono.never();
                });
            case ANSWER_LOST -> call.get().map(result -> Either.left(answerLost()));
            case REQUEST_LOST -> Mono.just(Either.left(answerLost()));
            case FREEZE_BEFORE -> {
                client.freeze();
                client.waitUntilThawed();
                yield call.get();
            }
            case CANCEL_BEFORE -> {
                cancel.run();
                yield call.get();
            }
            case CANCEL_AFTER -> call.get().doOnNext(result -> cancel.run());
            case FREEZE_AFTER ->
                call.get().map(result -> {
                    client.freeze();
                    client.waitUntilThawed();
                    return result;
                });
        };
    }

    TableService tables(Client client) {
        return new TableService() {

            @Override
            public Mono<Either<Failure, Optional<Row>>> read(RowKey key) {
                return FakePlatform.this.read(client, () -> tables.read(key));
            }

            @Override
            public Mono<Either<Failure, RowPage>> scan(String table, String prefix, String after, int limit) {
                return FakePlatform.this.read(client, () -> tables.scan(table, prefix, after, limit));
            }

            @Override
            public Mono<Either<Failure, CommitResult>> commit(Transaction transaction) {
                return write(
                        client,
                        tableNames(transaction),
                        () -> tables.commit(transaction).doOnNext(result -> {
                            commits.incrementAndGet();
                            if (result.isRight() && result.get() instanceof CommitResult.Committed) {
                                committed.accept(transaction);
                            }
                        }));
            }
        };
    }

    ObjectStore objects(Client client) {
        return new ObjectStore() {

            @Override
            public Mono<Either<Failure, Boolean>> put(String name, byte[] content) {
                puts.incrementAndGet();
                return write(
                        client, "put", () -> keepObjects ? objects.put(name, content) : Mono.just(Either.right(true)));
            }

            @Override
            public Mono<Either<Failure, Optional<byte[]>>> get(String name) {
                return read(client, () -> objects.get(name));
            }

            @Override
            public Mono<Either<Failure, List<String>>> list(String prefix, String after, int limit) {
                return read(client, () -> objects.list(prefix, after, limit));
            }

            @Override
            public Mono<Either<Failure, Boolean>> delete(String name) {
                return write(client, "delete", () -> objects.delete(name));
            }
        };
    }

    private static String tableNames(Transaction transaction) {
        return transaction.writes().stream()
                .map(write -> write.key().table())
                .toList()
                .toString();
    }
}
