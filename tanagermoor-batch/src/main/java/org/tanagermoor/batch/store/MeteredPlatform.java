package org.tanagermoor.batch.store;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.Parser;
import io.vavr.control.Either;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.tanagermoor.batch.BatchMetrics;
import org.tanagermoor.http.Digests;
import org.tanagermoor.kernel.failure.Execution;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.store.object.ObjectStore;
import org.tanagermoor.store.table.CommitResult;
import org.tanagermoor.store.table.Row;
import org.tanagermoor.store.table.RowKey;
import org.tanagermoor.store.table.TableService;
import org.tanagermoor.store.table.Transaction;
import reactor.core.publisher.Mono;

/** The platform as batch uses it: each call is counted, and a commit whose answer was lost is read back. */
final class MeteredPlatform {

    /** The most times that one commit is sent. */
    private static final int MAX_ATTEMPTS = 4;

    /** The most names or rows that are read at once. */
    private static final int PAGE_SIZE = 1_000;

    /** The table service. */
    private final TableService tables;

    /** The object store. */
    private final ObjectStore objects;

    /** The metrics. */
    private final BatchMetrics metrics;

    /**
     * Creates a platform.
     *
     * @param tables The table service.
     * @param objects The object store.
     * @param metrics The metrics.
     */
    MeteredPlatform(TableService tables, ObjectStore objects, BatchMetrics metrics) {
        this.tables = tables;
        this.objects = objects;
        this.metrics = metrics;
    }

    /**
     * Reads a row.
     *
     * @param key The key.
     * @return The row if it is present, or a failure.
     */
    Mono<Either<Failure, Optional<Row>>> read(RowKey key) {
        return catchDefects(() -> {
            metrics.tableReads().mark();
            return tables.read(key);
        });
    }

    /**
     * Reads the rows of a table whose keys begin with a prefix.
     *
     * @param table The table.
     * @param prefix The prefix.
     * @param after The key after which to begin.
     * @param limit The most rows to return.
     * @return The rows in order, or a failure.
     */
    Mono<Either<Failure, List<Row>>> scan(String table, String prefix, String after, int limit) {
        return catchDefects(() -> {
            metrics.tableReads().mark();
            return tables.scan(table, prefix, after, Math.min(limit, PAGE_SIZE));
        });
    }

    /**
     * Commits a transaction. Where the answer is lost, one row that it puts tells whether it took effect.
     *
     * @param transaction The transaction, whose conditions do not hold any more once it took effect.
     * @param witness The row that is read back. The transaction puts it, with a value that nothing else puts.
     * @return The version of the witness, or nothing if a condition did not hold, or a failure.
     */
    Mono<Either<Failure, Optional<Long>>> commit(Transaction transaction, RowKey witness) {
        return attempt(transaction, witness, 1, false);
    }

    /**
     * Puts an object that is named by its content.
     *
     * @param prefix The prefix of the name.
     * @param content The content.
     * @return The SHA-256 of the content, which ends the name, or a failure.
     */
    Mono<Either<Failure, String>> put(String prefix, byte[] content) {
        return catchDefects(() -> {
            metrics.objectWrites().mark();
            String digest = Digests.sha256(content);
            return objects.put(prefix + digest, content).map(result -> result.map(done -> digest));
        });
    }

    /**
     * Gets an object that is named by its content, and checks it.
     *
     * @param prefix The prefix of the name.
     * @param digest The SHA-256 of the content.
     * @return The content, or a failure.
     */
    Mono<Either<Failure, byte[]>> get(String prefix, String digest) {
        return catchDefects(() -> {
            metrics.objectReads().mark();
            return objects.get(prefix + digest).map(result -> result.flatMap(found -> verifyDigest(found, digest)));
        });
    }

    /**
     * Deletes an object.
     *
     * @param name The name.
     * @return Whether it was present, or a failure.
     */
    Mono<Either<Failure, Boolean>> delete(String name) {
        return catchDefects(() -> {
            metrics.objectWrites().mark();
            return objects.delete(name);
        });
    }

    /**
     * Lists names of objects.
     *
     * @param prefix The prefix.
     * @param after The name after which to begin.
     * @return The names in order, or a failure.
     */
    Mono<Either<Failure, List<String>>> list(String prefix, String after) {
        return catchDefects(() -> {
            metrics.objectReads().mark();
            return objects.list(prefix, after, PAGE_SIZE);
        });
    }

    /**
     * Parses a message that batch stored.
     *
     * @param <M> The type of the message.
     * @param parser The parser.
     * @param bytes The bytes.
     * @return The message, or a failure.
     */
    static <M> Either<Failure, M> parse(Parser<M> parser, byte[] bytes) {
        try {
            return Either.right(parser.parseFrom(bytes));
        } catch (InvalidProtocolBufferException exception) {
            return Either.left(
                    Failure.unknown(Failure.Kind.CORRUPT, "batch.parse", "platform", "what is stored is malformed"));
        }
    }

    /**
     * Makes a call whose result is always a value.
     *
     * @param <T> The type of the result.
     * @param call Makes the call.
     * @return The result, or a failure, also where the call met a defect.
     */
    private static <T> Mono<Either<Failure, T>> catchDefects(Supplier<Mono<Either<Failure, T>>> call) {
        return Mono.defer(call)
                .onErrorResume(error -> Mono.just(Either.left(
                        Failure.unknown(Failure.Kind.INTERNAL, "batch.platform", "platform", String.valueOf(error)))));
    }

    /**
     * Sends a commit, and again if its answer was lost and it did not take effect.
     *
     * @param transaction The transaction.
     * @param witness The row that is read back.
     * @param number The number of the attempt, from 1.
     * @param maybeCommitted Whether an earlier attempt may still take effect.
     * @return The version of the witness, or nothing if a condition did not hold, or a failure.
     */
    private Mono<Either<Failure, Optional<Long>>> attempt(
            Transaction transaction, RowKey witness, int number, boolean maybeCommitted) {
        return catchDefects(() -> {
                    metrics.tableWrites().mark();
                    return tables.commit(transaction);
                })
                .flatMap(result -> result.fold(
                        failure -> handleCommitFailure(transaction, witness, number, maybeCommitted, failure),
                        commit -> handleCommitResult(transaction, witness, maybeCommitted, commit)));
    }

    /**
     * Handles a commit that was answered.
     *
     * @param transaction The transaction.
     * @param witness The row that is read back.
     * @param maybeCommitted Whether an earlier attempt may have taken effect.
     * @param commit The answer.
     * @return The version of the witness, or nothing if a condition did not hold, or a failure.
     */
    private Mono<Either<Failure, Optional<Long>>> handleCommitResult(
            Transaction transaction, RowKey witness, boolean maybeCommitted, CommitResult commit) {
        return switch (commit) {
            case CommitResult.Committed committed ->
                AsyncResults.right(Optional.ofNullable(committed.versions().get(witness)));
            case CommitResult.Conflict conflict ->
                maybeCommitted
                        ? AsyncResults.then(
                                read(witness), row -> AsyncResults.right(confirmedVersion(transaction, witness, row)))
                        : AsyncResults.right(Optional.empty());
        };
    }

    /**
     * Handles a commit that failed.
     *
     * @param transaction The transaction.
     * @param witness The row that is read back.
     * @param number The number of the attempt.
     * @param maybeCommitted Whether an earlier attempt may have taken effect.
     * @param failure The failure.
     * @return The version of the witness, or nothing if a condition did not hold, or a failure.
     */
    private Mono<Either<Failure, Optional<Long>>> handleCommitFailure(
            Transaction transaction, RowKey witness, int number, boolean maybeCommitted, Failure failure) {
        boolean uncertain = maybeCommitted || failure.execution() == Execution.UNKNOWN;
        if (!uncertain || number >= MAX_ATTEMPTS) {
            return AsyncResults.left(failure.withExecution(uncertain ? Execution.UNKNOWN : Execution.NOT_RUN));
        }
        return AsyncResults.then(read(witness), row -> {
                    Optional<Long> confirmedVersion = confirmedVersion(transaction, witness, row);
                    return confirmedVersion.isPresent()
                            ? AsyncResults.right(confirmedVersion)
                            : attempt(transaction, witness, number + 1, true);
                })
                .map(result -> result.mapLeft(lastFailure -> lastFailure.withExecution(Execution.UNKNOWN)));
    }

    /**
     * Returns whether a transaction took effect.
     *
     * @param transaction The transaction.
     * @param witness The row that was read back.
     * @param row The row as it was read.
     * @return The version of the row if it has the value that the transaction put.
     */
    private static Optional<Long> confirmedVersion(Transaction transaction, RowKey witness, Optional<Row> row) {
        byte[] value = valuePut(transaction, witness);
        return row.filter(found -> value != null && Arrays.equals(found.value(), value))
                .map(Row::version);
    }

    /**
     * Returns the value that a transaction puts.
     *
     * @param transaction The transaction.
     * @param key The key of the row.
     * @return The value, or {@code null} if it puts none.
     */
    private static byte @Nullable [] valuePut(Transaction transaction, RowKey key) {
        for (Transaction.Write write : transaction.writes()) {
            if (write.key().equals(key)) {
                return write.value();
            }
        }
        return null;
    }

    /**
     * Checks an object that is named by its content.
     *
     * @param found The content, if the object is present.
     * @param digest The SHA-256 of the content.
     * @return The content, or a failure.
     */
    private static Either<Failure, byte[]> verifyDigest(Optional<byte[]> found, String digest) {
        return found.filter(content -> Digests.sha256(content).equals(digest))
                .<Either<Failure, byte[]>>map(Either::right)
                .orElseGet(() -> Either.left(Failure.unknown(
                        Failure.Kind.CORRUPT, "batch.object", "platform", "an object is missing or altered")));
    }
}
