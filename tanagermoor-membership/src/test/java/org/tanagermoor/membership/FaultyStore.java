package org.tanagermoor.membership;

import io.vavr.control.Either;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.tanagermoor.kernel.failure.Execution;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.store.object.ObjectStore;
import org.tanagermoor.store.table.CommitResult;
import org.tanagermoor.store.table.Row;
import org.tanagermoor.store.table.RowKey;
import org.tanagermoor.store.table.RowPage;
import org.tanagermoor.store.table.TableService;
import org.tanagermoor.store.table.Transaction;
import reactor.core.publisher.Mono;

/** The store as one instance sees it. It can be unavailable, and can lose the requests or the answers of commits. */
final class FaultyStore implements TableService {

    final TableService table;

    final ObjectStore objects;

    final AtomicInteger answersToLose = new AtomicInteger();

    final AtomicInteger requestsToLose = new AtomicInteger();

    final AtomicLong reads = new AtomicLong();

    volatile boolean down;

    FaultyStore(TableService table, ObjectStore objects) {
        this.table = table;
        this.objects = objects;
    }

    @Override
    public Mono<Either<Failure, Optional<Row>>> read(RowKey key) {
        reads.incrementAndGet();
        return Mono.defer(() -> down ? Mono.just(Either.left(failure(Execution.NOT_RUN))) : table.read(key));
    }

    @Override
    public Mono<Either<Failure, RowPage>> scan(String name, String prefix, String after, int limit) {
        return Mono.defer(() ->
                down ? Mono.just(Either.left(failure(Execution.NOT_RUN))) : table.scan(name, prefix, after, limit));
    }

    @Override
    public Mono<Either<Failure, CommitResult>> commit(Transaction transaction) {
        return Mono.defer(() -> {
            if (down) {
                return Mono.just(Either.left(failure(Execution.NOT_RUN)));
            }
            if (requestsToLose.getAndUpdate(count -> Math.max(0, count - 1)) > 0) {
                return Mono.just(Either.left(failure(Execution.UNKNOWN)));
            }
            boolean lose = answersToLose.getAndUpdate(count -> Math.max(0, count - 1)) > 0;
            return table.commit(transaction).map(result -> lose ? Either.left(failure(Execution.UNKNOWN)) : result);
        });
    }

    private static Failure failure(Execution execution) {
        return Failure.notRun(Failure.Kind.UNAVAILABLE, "table.call", "store", "down")
                .withExecution(execution);
    }
}
