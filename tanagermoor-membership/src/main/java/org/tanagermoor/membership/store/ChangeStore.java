package org.tanagermoor.membership.store;

import com.google.protobuf.InvalidProtocolBufferException;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.tanagermoor.kernel.failure.Execution;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.membership.codec.ChangeCodec;
import org.tanagermoor.membership.codec.LedgerCodec;
import org.tanagermoor.membership.proto.HeadMessage;
import org.tanagermoor.policy.configuration.Ledger;
import org.tanagermoor.policy.configuration.RecordedChange;
import org.tanagermoor.store.object.ObjectStore;
import org.tanagermoor.store.table.CommitResult;
import org.tanagermoor.store.table.Row;
import org.tanagermoor.store.table.RowKey;
import org.tanagermoor.store.table.TableService;
import org.tanagermoor.store.table.Transaction;
import reactor.core.publisher.Mono;

/**
 * The configuration in the platform's store: a head row, which names the latest version, a row for each recent change,
 * a row for each recent change ID, and complete snapshots in the object store. Safe for use by several threads.
 */
public final class ChangeStore {

    /** The number of versions between two snapshots. */
    public static final long SNAPSHOT_INTERVAL = 256;

    /** The number of versions before a snapshot whose changes and change IDs are retained. */
    private static final long RETAINED_VERSIONS = 4_096;

    /** The number of older snapshots that are retained. */
    private static final long RETAINED_SNAPSHOTS = 3;

    /** The maximum number of rows in one read. */
    private static final int PAGE_SIZE = 256;

    /** The maximum number of changes that one transaction deletes. */
    private static final int DELETE_BATCH_SIZE = 64;

    /** The maximum number of attempts to find out the outcome of a commit whose answer was lost. */
    private static final int MAX_SETTLE_ATTEMPTS = 8;

    /** The time between two such attempts. */
    private static final Duration SETTLE_DELAY = Duration.ofMillis(50);

    private static final String TABLE = "membership";

    private static final RowKey HEAD_KEY = RowKey.of(TABLE, "head");

    /** The key of the row that names the last snapshot. */
    private static final RowKey SNAPSHOT_KEY = RowKey.of(TABLE, "snapshot");

    /** The prefix of the keys of changes. */
    private static final String CHANGE_PREFIX = "change/";

    private final TableService table;

    private final ObjectStore objects;

    private ChangeStore(TableService table, ObjectStore objects) {
        this.table = table;
        this.objects = objects;
    }

    /** Returns a store on the services of the platform. */
    public static ChangeStore of(TableService table, ObjectStore objects) {
        return new ChangeStore(table, objects);
    }

    /**
     * Reads the head row.
     *
     * @return The head, {@link Head#ABSENT} before the first change, or a failure.
     */
    public Mono<Either<Failure, Head>> head() {
        return table.read(HEAD_KEY)
                .map(result ->
                        result.flatMap(row -> row.map(ChangeStore::head).orElseGet(() -> Either.right(Head.ABSENT))));
    }

    /**
     * Finds the version that a change made.
     *
     * @param changeId The ID of the change.
     * @return The version, if a change with that ID was recorded recently, or a failure.
     */
    public Mono<Either<Failure, Optional<Long>>> versionOf(String changeId) {
        return table.read(idKey(changeId)).map(result -> result.map(row -> row.map(ChangeStore::number)));
    }

    /**
     * Records a change on top of a head. If the answer is lost, the change ID is read back to find out the outcome.
     *
     * @param base The head on which the change is based.
     * @param recorded The change, with the version after that of the base.
     * @return Whether it was recorded; {@code false} if the head had moved; or a failure, which says whether the change
     *     may still be recorded.
     */
    public Mono<Either<Failure, Boolean>> record(Head base, RecordedChange recorded) {
        HeadMessage head = HeadMessage.newBuilder()
                .setVersion(recorded.version())
                .setChangeId(recorded.changeId())
                .build();
        Transaction transaction = Transaction.EMPTY
                .withCondition(HEAD_KEY, base.rowVersion())
                .withCondition(idKey(recorded.changeId()), Transaction.ABSENT)
                .withPut(HEAD_KEY, head.toByteArray())
                .withPut(
                        changeKey(recorded.version()),
                        ChangeCodec.encode(recorded).toByteArray())
                .withPut(idKey(recorded.changeId()), bytes(recorded.version()));
        return commit(transaction, recorded, false, MAX_SETTLE_ATTEMPTS);
    }

    /**
     * Brings a ledger up to a version.
     *
     * @param from The ledger.
     * @param version The version, at most that of the head.
     * @return A ledger of that version or a later one with the changes that led to it, or a failure.
     */
    public Mono<Either<Failure, LedgerUpdate>> catchUp(Ledger from, long version) {
        return catchUp(LedgerUpdate.of(from), version);
    }

    /**
     * Brings a ledger up to a version, page by page.
     *
     * @param from The ledger, with the changes so far.
     * @param version The version, at most that of the head.
     */
    private Mono<Either<Failure, LedgerUpdate>> catchUp(LedgerUpdate from, long version) {
        if (from.version() >= version) {
            return Mono.just(Either.right(from));
        }
        String after = changeKey(from.version()).key();
        return Steps.then(
                table.scan(TABLE, CHANGE_PREFIX, after, PAGE_SIZE), page -> applyChanges(from, page.rows(), version));
    }

    /**
     * Stores a snapshot, and deletes changes and one older snapshot that are no longer needed.
     *
     * @return Whether the snapshot is the latest, or a failure. After a failure nothing needs to be repeated: the next
     *     snapshot does the work.
     */
    public Mono<Either<Failure, Boolean>> snapshot(Ledger ledger) {
        String name = snapshotName(ledger.version());
        byte[] content = LedgerCodec.encode(ledger).toByteArray();
        Mono<Either<Failure, Boolean>> snapshotRecorded =
                Steps.then(objects.put(name, content), put -> recordSnapshot(ledger.version()));
        return Steps.then(snapshotRecorded, last -> last ? cleanUp(ledger.version()) : Steps.succeeded(false));
    }

    /**
     * Commits a transaction that records a change, and finds out its outcome.
     *
     * @param maybeCommitted Whether an earlier attempt may have taken effect.
     * @param attemptsLeft The number of attempts that are left, including this one.
     * @return Whether the change was recorded, or a failure.
     */
    private Mono<Either<Failure, Boolean>> commit(
            Transaction transaction, RecordedChange recorded, boolean maybeCommitted, int attemptsLeft) {
        return table.commit(transaction).flatMap(result -> {
            if (result.isLeft()) {
                return retry(transaction, recorded, maybeCommitted, attemptsLeft, result.getLeft());
            }
            boolean committed = result.get() instanceof CommitResult.Committed;
            return committed || !maybeCommitted ? Steps.succeeded(committed) : readBack(recorded);
        });
    }

    /**
     * Repeats a commit whose answer was lost. Its conditions prevent it from taking effect twice. A failure of a commit
     * that certainly did not take effect is returned.
     *
     * @param maybeCommitted Whether an earlier attempt may have taken effect.
     * @param attemptsLeft The number of attempts that were left before the last one.
     * @param failure The failure of the last attempt.
     * @return Whether the change was recorded, or a failure.
     */
    private Mono<Either<Failure, Boolean>> retry(
            Transaction transaction,
            RecordedChange recorded,
            boolean maybeCommitted,
            int attemptsLeft,
            Failure failure) {
        boolean uncertain = maybeCommitted || failure.execution() == Execution.UNKNOWN;
        if (!uncertain || attemptsLeft <= 1) {
            return Steps.failed(uncertain ? failure.withExecution(Execution.UNKNOWN) : failure);
        }
        return Mono.delay(SETTLE_DELAY).flatMap(tick -> commit(transaction, recorded, true, attemptsLeft - 1));
    }

    /** Returns whether an earlier attempt recorded a change, or a failure. */
    private Mono<Either<Failure, Boolean>> readBack(RecordedChange recorded) {
        return versionOf(recorded.changeId())
                .map(result -> result.mapLeft(failure -> failure.withExecution(Execution.UNKNOWN))
                        .map(version -> version.filter(found -> found == recorded.version())
                                .isPresent()));
    }

    /**
     * Applies the rows of changes, and continues until a version is reached. If the rows start after a gap, as older
     * changes are deleted, continues from the last snapshot.
     *
     * @param rows The rows after the version of the ledger.
     * @param version The version to reach.
     */
    private Mono<Either<Failure, LedgerUpdate>> applyChanges(LedgerUpdate from, List<Row> rows, long version) {
        if (rows.isEmpty() || changeVersion(rows.getFirst()) != from.version() + 1) {
            return Steps.then(
                    loadSnapshot(),
                    ledger -> ledger.version() > from.version()
                            ? catchUp(LedgerUpdate.of(ledger), version)
                            : Mono.just(missing("changes after version " + from.version())));
        }
        Either<Failure, LedgerUpdate> next = Either.right(from);
        for (Row row : rows) {
            next = next.flatMap(update -> ChangeCodec.decode(row.value()).flatMap(update::with));
        }
        return Steps.then(Mono.just(next), update -> catchUp(update, version));
    }

    /** Loads the last snapshot. */
    private Mono<Either<Failure, Ledger>> loadSnapshot() {
        return Steps.then(
                table.read(SNAPSHOT_KEY),
                row -> row.isEmpty()
                        ? Mono.just(missing("the snapshot"))
                        : objects.get(snapshotName(number(row.get())))
                                .map(object -> object.flatMap(content -> content.map(LedgerCodec::decode)
                                        .orElseGet(() -> missing("the object of the snapshot")))));
    }

    /**
     * Writes the row that names the last snapshot, unless it names a later one.
     *
     * @return Whether the row was written, or a failure.
     */
    private Mono<Either<Failure, Boolean>> recordSnapshot(long version) {
        return Steps.then(table.read(SNAPSHOT_KEY), row -> {
            if (row.map(ChangeStore::number).orElse(0L) >= version) {
                return Steps.succeeded(false);
            }
            long current = row.map(Row::version).orElse(Transaction.ABSENT);
            Transaction transaction =
                    Transaction.EMPTY.withCondition(SNAPSHOT_KEY, current).withPut(SNAPSHOT_KEY, bytes(version));
            return table.commit(transaction).map(outcome -> outcome.map(CommitResult.Committed.class::isInstance));
        });
    }

    /**
     * Deletes the changes, change IDs and the snapshot that are no longer needed after a snapshot.
     *
     * @param version The version of the snapshot.
     * @return {@code true}, or a failure.
     */
    private Mono<Either<Failure, Boolean>> cleanUp(long version) {
        long oldest = version - RETAINED_SNAPSHOTS * SNAPSHOT_INTERVAL;
        Mono<Either<Failure, Boolean>> object =
                oldest > 0 ? objects.delete(snapshotName(oldest)) : Steps.succeeded(true);
        return Steps.then(object, succeeded -> deleteChanges(version - RETAINED_VERSIONS));
    }

    /**
     * Deletes the changes up to a version, with their IDs, in batches.
     *
     * @param version The last version to delete.
     * @return {@code true}, or a failure.
     */
    private Mono<Either<Failure, Boolean>> deleteChanges(long version) {
        if (version <= 0) {
            return Steps.succeeded(true);
        }
        return Steps.then(table.scan(TABLE, CHANGE_PREFIX, "", DELETE_BATCH_SIZE), page -> {
            List<Row> expired = page.rows().stream()
                    .filter(row -> changeVersion(row) <= version)
                    .toList();
            return expired.isEmpty()
                    ? Steps.succeeded(true)
                    : Steps.then(table.commit(deletion(expired)), outcome -> deleteChanges(version));
        });
    }

    /**
     * Returns the transaction that deletes changes with their IDs.
     *
     * @param rows The rows of the changes.
     */
    private static Transaction deletion(List<Row> rows) {
        List<Transaction.Write> writes = new ArrayList<>();
        for (Row row : rows) {
            writes.add(new Transaction.Write(row.key(), null));
            ChangeCodec.decode(row.value())
                    .peek(change -> writes.add(new Transaction.Write(idKey(change.changeId()), null)));
        }
        return new Transaction(List.of(), writes);
    }

    /** Decodes the head row. */
    private static Either<Failure, Head> head(Row row) {
        try {
            return Either.right(
                    new Head(row.version(), HeadMessage.parseFrom(row.value()).getVersion()));
        } catch (InvalidProtocolBufferException exception) {
            return Either.left(
                    Failure.notRun(Failure.Kind.CORRUPT, "head.decode", Failure.LOCAL, "the head row is malformed"));
        }
    }

    /** Returns a failure for an item that the store lacks. */
    private static <T> Either<Failure, T> missing(String missingItem) {
        return Either.left(Failure.notRun(
                Failure.Kind.UNAVAILABLE, "change.read", Failure.LOCAL, "the store lacks " + missingItem + " for now"));
    }

    /** Returns the key under which a change is stored; scans return changes in the order of their versions. */
    private static RowKey changeKey(long version) {
        return RowKey.of(TABLE, CHANGE_PREFIX + padded(version));
    }

    /** Returns the key of the row that maps a change ID to the version of the change. */
    private static RowKey idKey(String changeId) {
        return RowKey.of(TABLE, "id/" + changeId);
    }

    /** Returns the name of a snapshot in the object store. */
    private static String snapshotName(long version) {
        return "membership/snapshot/" + padded(version);
    }

    /** Returns a number with leading zeros, so that texts sort in the order of the numbers. */
    private static String padded(long number) {
        return String.format(Locale.ROOT, "%019d", number);
    }

    /** Returns the version that a change made, from the key of its row. */
    private static long changeVersion(Row row) {
        return Long.parseLong(row.key().key().substring(CHANGE_PREFIX.length()));
    }

    /** Encodes a number as decimal digits. */
    private static byte[] bytes(long number) {
        return Long.toString(number).getBytes(StandardCharsets.US_ASCII);
    }

    /** Decodes the number that a row holds. */
    private static long number(Row row) {
        return Long.parseLong(new String(row.value(), StandardCharsets.US_ASCII));
    }
}
