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
import org.tanagermoor.store.table.RowPage;
import org.tanagermoor.store.table.TableService;
import org.tanagermoor.store.table.Transaction;
import reactor.core.publisher.Mono;

/**
 * The platform as batch uses it: counts each call, and reads a row back to determine whether a commit took effect if
 * its answer was lost.
 */
final class MeteredPlatform {

    /** The maximum number of times that one commit is sent. */
    private static final int MAX_ATTEMPTS = 4;

    /** The maximum number of names or rows that one call reads. */
    private static final int PAGE_SIZE = 1_000;

    private final TableService tables;

    private final ObjectStore objects;

    private final BatchMetrics metrics;

    MeteredPlatform(TableService tables, ObjectStore objects, BatchMetrics metrics) {
        this.tables = tables;
        this.objects = objects;
        this.metrics = metrics;
    }

    /**
     * Reads a row.
     *
     * @return The row, empty if it is absent, or a failure.
     */
    Mono<Either<Failure, Optional<Row>>> read(RowKey key) {
        return catchDefects(() -> {
            metrics.tableReads().mark();
            return tables.read(key);
        });
    }

    /**
     * Reads the rows of a table whose keys start with a prefix.
     *
     * @param after The key after which the scan starts.
     * @param limit The maximum number of rows to return; at most {@link #PAGE_SIZE} are returned.
     * @return The rows in order and where to read on, or a failure.
     */
    Mono<Either<Failure, RowPage>> scan(String table, String prefix, String after, int limit) {
        return catchDefects(() -> {
            metrics.tableReads().mark();
            return tables.scan(table, prefix, after, Math.min(limit, PAGE_SIZE));
        });
    }

    /**
     * Reads all rows of a table whose keys start with a prefix, page by page.
     *
     * @return The rows in order, or a failure.
     */
    Mono<Either<Failure, List<Row>>> scanAll(String table, String prefix) {
        return catchDefects(() -> {
            metrics.tableReads().mark();
            return tables.scanAll(table, prefix);
        });
    }

    /**
     * Commits a transaction. If the answer is lost, a row that the transaction puts tells whether the transaction
     * took effect.
     *
     * @param transaction The transaction; its conditions must no longer hold once it has taken effect.
     * @param witness The row that is read back. The transaction must put it with a value that no other
     *     transaction puts.
     * @return The version of the witness, empty if a condition did not hold, or a failure.
     */
    Mono<Either<Failure, Optional<Long>>> commit(Transaction transaction, RowKey witness) {
        return attempt(transaction, witness, 1, false);
    }

    /**
     * Puts an object that is named by its content.
     *
     * @param prefix The prefix of the name.
     * @return The SHA-256 of the content, with which the name ends, or a failure.
     */
    Mono<Either<Failure, String>> put(String prefix, byte[] content) {
        return catchDefects(() -> {
            metrics.objectWrites().mark();
            String digest = Digests.sha256(content);
            return objects.put(prefix + digest, content).map(result -> result.map(done -> digest));
        });
    }

    /**
     * Gets an object that is named by its content, and verifies the content.
     *
     * @param prefix The prefix of the name.
     * @param digest The SHA-256 of the content.
     * @return The content, or a failure, which is of kind {@link Failure.Kind#CORRUPT} if the object is missing
     *     or altered.
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
     * @return Whether the object was present, or a failure.
     */
    Mono<Either<Failure, Boolean>> delete(String name) {
        return catchDefects(() -> {
            metrics.objectWrites().mark();
            return objects.delete(name);
        });
    }

    /**
     * Lists the names of objects.
     *
     * @param after The name after which the list starts.
     * @return At most {@link #PAGE_SIZE} names in order, or a failure.
     */
    Mono<Either<Failure, List<String>>> list(String prefix, String after) {
        return catchDefects(() -> {
            metrics.objectReads().mark();
            return objects.list(prefix, after, PAGE_SIZE);
        });
    }

    /**
     * Parses a message that batch has stored.
     *
     * @param <M> The type of the message.
     * @return The message, or a failure of kind {@link Failure.Kind#CORRUPT}.
     */
    static <M> Either<Failure, M> parse(Parser<M> parser, byte[] bytes) {
        try {
            return Either.right(parser.parseFrom(bytes));
        } catch (InvalidProtocolBufferException exception) {
            return Either.left(
                    Failure.unknown(Failure.Kind.CORRUPT, "batch.parse", "platform", "a stored message is malformed"));
        }
    }

    /**
     * Makes a call and turns an exception, which is a defect, into a failure.
     *
     * @return The result of the call, or a failure.
     */
    private static <T> Mono<Either<Failure, T>> catchDefects(Supplier<Mono<Either<Failure, T>>> call) {
        return Mono.defer(call)
                .onErrorResume(error -> Mono.just(Either.left(
                        Failure.unknown(Failure.Kind.INTERNAL, "batch.platform", "platform", String.valueOf(error)))));
    }

    /**
     * Sends a commit, and sends it again if its answer was lost and it did not take effect.
     *
     * @param witness The row that is read back.
     * @param number The number of the attempt, from 1.
     * @param maybeCommitted Whether an earlier attempt may still take effect.
     * @return The version of the witness, empty if a condition did not hold, or a failure.
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
     * Handles a commit that was answered. A conflict may come from an earlier attempt that took effect.
     *
     * @param witness The row that is read back.
     * @param maybeCommitted Whether an earlier attempt may have taken effect.
     * @return The version of the witness, empty if a condition did not hold, or a failure.
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
     * Handles a commit that failed: reads the witness back if the commit may have taken effect, and otherwise returns
     * the failure.
     *
     * @param witness The row that is read back.
     * @param number The number of the attempt.
     * @param maybeCommitted Whether an earlier attempt may have taken effect.
     * @return The version of the witness, empty if a condition did not hold, or a failure.
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
     * Returns the version of the witness if it has the value that the transaction put, which proves that the
     * transaction took effect.
     *
     * @param row The witness as it was read back.
     */
    private static Optional<Long> confirmedVersion(Transaction transaction, RowKey witness, Optional<Row> row) {
        byte[] value = valuePut(transaction, witness);
        return row.filter(found -> value != null && Arrays.equals(found.value(), value))
                .map(Row::version);
    }

    /** Returns the value that a transaction puts into a row, or {@code null} if it puts none. */
    private static byte @Nullable [] valuePut(Transaction transaction, RowKey key) {
        for (Transaction.Write write : transaction.writes()) {
            if (write.key().equals(key)) {
                return write.value();
            }
        }
        return null;
    }

    /**
     * Verifies an object that is named by its content.
     *
     * @param found The content, or empty if the object is missing.
     * @param digest The SHA-256 that the content must have.
     * @return The content, or a failure.
     */
    private static Either<Failure, byte[]> verifyDigest(Optional<byte[]> found, String digest) {
        return found.filter(content -> Digests.sha256(content).equals(digest))
                .<Either<Failure, byte[]>>map(Either::right)
                .orElseGet(() -> Either.left(Failure.unknown(
                        Failure.Kind.CORRUPT, "batch.object", "platform", "an object is missing or altered")));
    }
}
