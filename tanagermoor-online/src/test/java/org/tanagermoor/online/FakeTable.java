package org.tanagermoor.online;

import io.vavr.control.Either;
import java.util.Optional;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.store.table.CommitResult;
import org.tanagermoor.store.table.Row;
import org.tanagermoor.store.table.RowKey;
import org.tanagermoor.store.table.RowPage;
import org.tanagermoor.store.table.TableService;
import org.tanagermoor.store.table.Transaction;
import reactor.core.publisher.Mono;

/**
 * An in-memory table service that instances can share. It can refuse all calls, or lose the answer of a commit that
 * took effect.
 */
final class FakeTable implements TableService {

    enum Mode {
        UP,
        DOWN,
        LOSES_ANSWERS
    }

    volatile Mode mode = Mode.UP;
    private final TableService rows = TableService.InMemory.of();

    @Override
    public Mono<Either<Failure, Optional<Row>>> read(RowKey key) {
        return mode == Mode.DOWN ? Mono.just(Either.left(down())) : rows.read(key);
    }

    @Override
    public Mono<Either<Failure, RowPage>> scan(String table, String prefix, String after, int limit) {
        return rows.scan(table, prefix, after, limit);
    }

    @Override
    public Mono<Either<Failure, CommitResult>> commit(Transaction transaction) {
        return switch (mode) {
            case UP -> rows.commit(transaction);
            case DOWN -> Mono.just(Either.left(down()));
            case LOSES_ANSWERS ->
                rows.commit(transaction)
                        .thenReturn(Either.left(
                                Failure.unknown(Failure.Kind.TIMEOUT, "table.commit", "platform", "no answer came")));
        };
    }

    private static Failure down() {
        return Failure.notRun(Failure.Kind.UNAVAILABLE, "table", "platform", "the store is down");
    }
}
