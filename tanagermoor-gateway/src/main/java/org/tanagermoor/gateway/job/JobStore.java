package org.tanagermoor.gateway.job;

import com.google.protobuf.InvalidProtocolBufferException;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.apache.commons.codec.digest.MurmurHash3;
import org.tanagermoor.gateway.proto.ItemProgress;
import org.tanagermoor.gateway.proto.JobContent;
import org.tanagermoor.gateway.proto.JobRow;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.store.object.ObjectStore;
import org.tanagermoor.store.table.CommitResult;
import org.tanagermoor.store.table.Row;
import org.tanagermoor.store.table.RowKey;
import org.tanagermoor.store.table.TableService;
import org.tanagermoor.store.table.Transaction;
import reactor.core.publisher.Mono;

/**
 * Stores jobs, their items, results and progress. All rows of a job are in one partition, so that one commit can write
 * its row together with its results.
 */
public final class JobStore {

    /** Name of the table with one row for each job, without its partition. */
    public static final String JOBS_TABLE = "jobs";

    /** Name of the table with the results of items, without its partition. */
    private static final String RESULTS_TABLE = "results";

    /** Name of the table with the progress of unfinished items, without its partition. */
    private static final String PROGRESS_TABLE = "progress";

    /** Number of partitions of each table; each handles a share of the commits. */
    private static final int PARTITIONS = 8;

    /** Number of rows of results that are read at once, unless one result takes more. */
    private static final int RESULT_PAGE_ROWS = 48;

    /** Maximum number of rows of one result. */
    private static final int MAX_RESULT_ROWS = 1_000;

    /** Maximum number of rows that one commit deletes: commits hold 100 entries, one of which is the condition. */
    private static final int MAX_DELETED_ROWS = 90;

    private final TableService tables;

    private final ObjectStore objects;

    private JobStore(TableService tables, ObjectStore objects) {
        this.tables = tables;
        this.objects = objects;
    }

    /** Returns a store that keeps rows in a table service and the items of jobs in an object store. */
    public static JobStore of(TableService tables, ObjectStore objects) {
        return new JobStore(tables, objects);
    }

    /**
     * Stores a job durably. The call is idempotent.
     *
     * @param row The row of the job.
     * @param content The items of the job.
     * @return The job as it is recorded, possibly by an earlier submission, or a failure.
     */
    public Mono<Either<Failure, JobRecord>> accept(JobRow row, JobContent content) {
        return objects.put(objectName(row.getId()), content.toByteArray())
                .flatMap(put -> put.isLeft()
                        ? Mono.just(Either.left(
                                put.getLeft().withExecution(org.tanagermoor.kernel.failure.Execution.NOT_RUN)))
                        : write(new JobRecord(row, Transaction.ABSENT), List.of(), row));
    }

    /**
     * Records results and the new state of a job in one commit.
     *
     * @param before The job as it was last known.
     * @param results The results from position {@code before.row().getRecorded()} on.
     * @param after The new row of the job.
     * @return The job as it is recorded afterwards, either the given row or that of another writer, or a failure.
     */
    public Mono<Either<Failure, JobRecord>> write(JobRecord before, List<JobResult> results, JobRow after) {
        return write(before, new CommitContents(results, List.of(), CommitSize.LIMIT), after);
    }

    /**
     * Records results, the progress of unfinished items, and the new state of a job in one commit. An unchanged row of
     * the job is not written, so that its readers are not notified. Rows of results that exceed the limit are written
     * in earlier commits; they count only once the row of the job includes their result.
     *
     * @param before The job as it was last known.
     * @param contents The results from position {@code before.row().getRecorded()} on, and the progress.
     * @param after The new row of the job.
     * @return The job as it is recorded afterwards, either the given row or that of another writer, or a failure.
     */
    public Mono<Either<Failure, JobRecord>> write(JobRecord before, CommitContents contents, JobRow after) {
        RowKey key = jobKey(after.getId());
        boolean changed = before.version() == Transaction.ABSENT || !after.equals(before.row());
        Transaction condition = Transaction.EMPTY.withCondition(key, before.version());
        Transaction last = changed ? condition.withPut(key, after.toByteArray()) : condition;
        for (ItemProgress item : contents.progress()) {
            last = last.withPut(progressKey(after.getId(), item.getItem()), item.toByteArray());
        }
        Mono<Either<Failure, CommitResult>> written = commit(
                condition,
                last,
                ResultRows.of(table(RESULTS_TABLE, after.getId()), before.row(), contents.results()),
                contents.limit());
        return written.map(result -> result.flatMap(committed -> switch (committed) {
            case CommitResult.Committed done ->
                Either.right(new JobRecord(after, changed ? done.versions().getOrDefault(key, 0L) : before.version()));
            case CommitResult.Conflict conflict ->
                conflict.found().stream()
                        .filter(row -> row.key().equals(key))
                        .findFirst()
                        .map(row -> record(row.value(), row.version()))
                        .orElseGet(() -> Either.left(Failure.notRun(
                                Failure.Kind.CONFLICT, "job.write", Failure.LOCAL, "the row does not exist")));
        }));
    }

    /**
     * Commits rows together with a last transaction, or as many as exceed the limit in earlier transactions.
     *
     * @param condition The transaction with the condition of all commits.
     * @param last The transaction that must come last.
     * @param rows The rows.
     * @param limit What one commit holds.
     * @return The outcome of the last commit, or the conflict or failure that prevented it.
     */
    private Mono<Either<Failure, CommitResult>> commit(
            Transaction condition, Transaction last, List<Transaction.Write> rows, CommitSize limit) {
        if (rows.isEmpty() || CommitContents.size(last).withAll(rows).fits(limit)) {
            return tables.commit(with(last, rows));
        }
        int count = 1;
        CommitSize size = CommitContents.size(condition).withAll(rows.subList(0, 1));
        while (count < rows.size()
                && size.withAll(rows.subList(count, count + 1)).fits(limit)) {
            size = size.withAll(rows.subList(count, count + 1));
            count++;
        }
        List<Transaction.Write> rest = rows.subList(count, rows.size());
        return tables.commit(with(condition, rows.subList(0, count)))
                .flatMap(result -> result.isRight() && result.get() instanceof CommitResult.Committed
                        ? commit(condition, last, rest, limit)
                        : Mono.just(result));
    }

    /** Returns a transaction that also puts the given rows. */
    private static Transaction with(Transaction transaction, List<Transaction.Write> rows) {
        List<Transaction.Write> writes = new ArrayList<>(transaction.writes());
        writes.addAll(rows);
        return new Transaction(transaction.conditions(), List.copyOf(writes));
    }

    /**
     * Deletes everything that is stored for a job. First writes its row again if its version is the given one, so that
     * a caller that knows only an earlier state deletes nothing. Deletes the row last, so that an interrupted deletion
     * can be repeated.
     *
     * @param job The job as it was last known.
     * @return The deleted job, or a failure, also if its row has changed.
     */
    public Mono<Either<Failure, JobRecord>> delete(JobRecord job) {
        String id = job.row().getId();
        RowKey key = jobKey(id);
        byte[] value = job.row().toBuilder().setEnded(true).build().toByteArray();
        Transaction fence = Transaction.EMPTY.withCondition(key, job.version()).withPut(key, value);
        return commitDeletion(fence)
                .flatMap(fenced -> andThen(
                        fenced,
                        done -> objects.delete(objectName(id))
                                .flatMap(deleted -> andThen(
                                        deleted,
                                        gone -> deleteRows(
                                                new JobRecord(
                                                        job.row(),
                                                        done.versions().getOrDefault(key, 0L)),
                                                List.of(table(RESULTS_TABLE, id), table(PROGRESS_TABLE, id)))))));
    }

    /** Runs the next step if the previous one succeeded, else returns its failure. */
    private static <T, R> Mono<Either<Failure, R>> andThen(
            Either<Failure, T> step, Function<T, Mono<Either<Failure, R>>> next) {
        return step.isLeft() ? Mono.just(Either.left(step.getLeft())) : next.apply(step.get());
    }

    /** Deletes the rows of a job in the given tables, then the row of the job itself. */
    private Mono<Either<Failure, JobRecord>> deleteRows(JobRecord job, List<String> from) {
        if (from.isEmpty()) {
            return delete(job, List.of(jobKey(job.row().getId())));
        }
        return tables.scan(from.get(0), job.row().getId() + "/", "", MAX_DELETED_ROWS)
                .flatMap(found -> andThen(
                        found,
                        page -> page.rows().isEmpty()
                                ? deleteRows(job, from.subList(1, from.size()))
                                : delete(job, page.rows().stream().map(Row::key).toList())
                                        .flatMap(deleted -> andThen(deleted, gone -> deleteRows(job, from)))));
    }

    /** Deletes rows in one commit, unless the row of the job has changed. */
    private Mono<Either<Failure, JobRecord>> delete(JobRecord job, List<RowKey> rows) {
        Transaction transaction =
                Transaction.EMPTY.withCondition(jobKey(job.row().getId()), job.version());
        for (RowKey row : rows) {
            transaction = transaction.withDelete(row);
        }
        return commitDeletion(transaction).map(result -> result.map(done -> job));
    }

    /** Commits a step of a deletion, which fails if the row of the job has changed. */
    private Mono<Either<Failure, CommitResult.Committed>> commitDeletion(Transaction transaction) {
        return tables.commit(transaction)
                .map(result -> result.flatMap(committed -> switch (committed) {
                    case CommitResult.Committed done -> Either.right(done);
                    case CommitResult.Conflict conflict ->
                        Either.left(Failure.notRun(
                                Failure.Kind.CONFLICT, "job.delete", Failure.LOCAL, "the row has changed"));
                }));
    }

    /** Reads the row of a job; empty if the job does not exist. */
    public Mono<Either<Failure, Optional<JobRecord>>> read(String job) {
        return tables.read(jobKey(job))
                .map(result -> result.flatMap(row -> row.isEmpty()
                        ? Either.right(Optional.empty())
                        : record(row.get().value(), row.get().version()).map(Optional::of)));
    }

    /**
     * Reads the items of a job.
     *
     * @param job The row of the job.
     * @return The items, or a failure, also if some are missing: an answer of the store that was cut off between two
     *     items looks complete.
     */
    public Mono<Either<Failure, JobContent>> content(JobRow job) {
        return objects.get(objectName(job.getId()))
                .map(result -> result.flatMap(bytes -> {
                    if (bytes.isEmpty()) {
                        return Either.left(failure("job.content", "the object does not exist"));
                    }
                    try {
                        JobContent content = JobContent.parseFrom(bytes.get());
                        return content.getItemsCount() == job.getTotal()
                                ? Either.right(content)
                                : Either.left(failure(
                                        "job.content",
                                        "found " + content.getItemsCount() + " of " + job.getTotal() + " items"));
                    } catch (InvalidProtocolBufferException exception) {
                        return Either.left(failure("job.content", String.valueOf(exception.getMessage())));
                    }
                }));
    }

    /**
     * Reads some of the recorded results of a job.
     *
     * @param job The identity of the job.
     * @param from The position of the first result.
     * @param end The number of results that the row of the job counts; others are not returned.
     * @return The results, at least one if there is any, or a failure.
     */
    public Mono<Either<Failure, ResultPage>> results(String job, int from, int end) {
        return results(job, from, end, RESULT_PAGE_ROWS);
    }

    private Mono<Either<Failure, ResultPage>> results(String job, int from, int end, int rows) {
        return tables.scan(table(RESULTS_TABLE, job), job + "/", ResultRows.keyBefore(job, from), rows)
                .map(result -> result.flatMap(page -> ResultRows.join(page, end)))
                .flatMap(result -> result.isRight() && result.get().holdsNoResult() && rows < MAX_RESULT_ROWS
                        ? results(job, from, end, MAX_RESULT_ROWS)
                        : Mono.just(result));
    }

    /**
     * Reads which items of a job have a recorded result. Their outputs are read page by page and not kept.
     *
     * @param job The row of the job.
     * @return The identities of the items in the order of their positions, or a failure, also if there are fewer than
     *     the row of the job counts.
     */
    public Mono<Either<Failure, List<String>>> recordedItems(JobRow job) {
        return recordedItems(job, List.of());
    }

    private Mono<Either<Failure, List<String>>> recordedItems(JobRow job, List<String> before) {
        if (before.size() >= job.getRecorded()) {
            return Mono.just(Either.right(before));
        }
        return results(job.getId(), before.size(), job.getRecorded()).flatMap(result -> {
            if (result.isLeft()) {
                return Mono.just(Either.left(result.getLeft()));
            }
            if (result.get().results().isEmpty()) {
                return Mono.just(Either.left(failure(
                        "job.results", "found " + before.size() + " of " + job.getRecorded() + " recorded results")));
            }
            List<String> items = new ArrayList<>(before);
            result.get().results().forEach(recorded -> items.add(recorded.item()));
            return recordedItems(job, items);
        });
    }

    /**
     * Reads the progress of the unfinished items of a job. It can include items that already have a result.
     *
     * @param job The identity of the job.
     * @return The progress by item, or a failure.
     */
    public Mono<Either<Failure, Map<String, ItemProgress>>> progress(String job) {
        return tables.scanAll(table(PROGRESS_TABLE, job), job + "/").map(result -> result.flatMap(JobStore::progress));
    }

    /** Returns whether the output of an item fits into one row. */
    static boolean fitsIntoRow(ItemProgress progress) {
        return progress.getOutput().size() <= ResultRows.MAX_PART_BYTES;
    }

    /**
     * Parses the row of a job.
     *
     * @param value The bytes of the row.
     * @param version The version of the row.
     * @return The job, or a failure that describes why the bytes are malformed.
     */
    public static Either<Failure, JobRecord> record(byte[] value, long version) {
        try {
            return Either.right(new JobRecord(JobRow.parseFrom(value), version));
        } catch (InvalidProtocolBufferException exception) {
            return Either.left(failure("job.read", String.valueOf(exception.getMessage())));
        }
    }

    /** Parses rows of progress. */
    private static Either<Failure, Map<String, ItemProgress>> progress(List<Row> rows) {
        Map<String, ItemProgress> result = new HashMap<>();
        try {
            for (Row row : rows) {
                ItemProgress progress = ItemProgress.parseFrom(row.value());
                result.put(progress.getItem(), progress);
            }
        } catch (InvalidProtocolBufferException exception) {
            return Either.left(failure("job.progress", String.valueOf(exception.getMessage())));
        }
        return Either.right(result);
    }

    private static RowKey jobKey(String job) {
        return RowKey.of(table(JOBS_TABLE, job), job);
    }

    private static RowKey progressKey(String job, String item) {
        return RowKey.of(table(PROGRESS_TABLE, job), job + "/" + item);
    }

    /** Returns the name of a table with the partition of a job. */
    private static String table(String table, String job) {
        byte[] bytes = job.getBytes(java.nio.charset.StandardCharsets.UTF_8);
        return table + "/" + Math.floorMod(MurmurHash3.hash32x86(bytes), PARTITIONS);
    }

    /** Returns the name of the object with the items of a job. */
    private static String objectName(String job) {
        return "job-" + job;
    }

    /** Returns a failure for stored data that is missing or malformed. */
    private static Failure failure(String step, String detail) {
        return Failure.notRun(Failure.Kind.CORRUPT, step, Failure.LOCAL, detail);
    }
}
