package org.tanagermoor.gateway.job;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.apache.commons.codec.digest.MurmurHash3;
import org.jspecify.annotations.Nullable;
import org.tanagermoor.gateway.proto.ItemProgress;
import org.tanagermoor.gateway.proto.JobContent;
import org.tanagermoor.gateway.proto.JobRow;
import org.tanagermoor.gateway.proto.ResultPart;
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

    /**
     * Maximum size of an output in one row, in bytes: rows hold 64 KiB in base64, which leaves room for the other
     * fields.
     */
    private static final int MAX_PART_BYTES = 45_000;

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
        return write(before, results, List.of(), after);
    }

    /**
     * Records results, the progress of unfinished items, and the new state of a job in one commit. An unchanged row of
     * the job is not written, so that its readers are not notified.
     *
     * @param before The job as it was last known.
     * @param results The results from position {@code before.row().getRecorded()} on.
     * @param progress The progress of unfinished items.
     * @param after The new row of the job.
     * @return The job as it is recorded afterwards, either the given row or that of another writer, or a failure.
     */
    public Mono<Either<Failure, JobRecord>> write(
            JobRecord before, List<JobResult> results, List<ItemProgress> progress, JobRow after) {
        RowKey key = jobKey(after.getId());
        boolean changed = before.version() == Transaction.ABSENT || !after.equals(before.row());
        Transaction transaction = Transaction.EMPTY.withCondition(key, before.version());
        if (changed) {
            transaction = transaction.withPut(key, after.toByteArray());
        }
        int position = before.row().getRecorded();
        for (JobResult result : results) {
            List<byte[]> parts = parts(result);
            for (int part = 0; part < parts.size(); part++) {
                transaction = transaction.withPut(resultKey(after.getId(), position, part), parts.get(part));
            }
            position++;
        }
        for (ItemProgress item : progress) {
            transaction = transaction.withPut(progressKey(after.getId(), item.getItem()), item.toByteArray());
        }
        long unchanged = before.version();
        return tables.commit(transaction)
                .map(result -> result.flatMap(committed -> switch (committed) {
                    case CommitResult.Committed done ->
                        Either.right(
                                new JobRecord(after, changed ? done.versions().getOrDefault(key, 0L) : unchanged));
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

    /** Reads the items of a job; fails if they are missing or malformed. */
    public Mono<Either<Failure, JobContent>> content(String job) {
        return objects.get(objectName(job))
                .map(result -> result.flatMap(bytes -> {
                    if (bytes.isEmpty()) {
                        return Either.left(failure("job.content", "the object does not exist"));
                    }
                    try {
                        return Either.right(JobContent.parseFrom(bytes.get()));
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
     * @return The results, at least one if there is any, or a failure.
     */
    public Mono<Either<Failure, ResultPage>> results(String job, int from) {
        return results(job, from, RESULT_PAGE_ROWS);
    }

    private Mono<Either<Failure, ResultPage>> results(String job, int from, int rows) {
        String after = from == 0 ? "" : job + "/" + position(from - 1) + "/~";
        return tables.scan(table(RESULTS_TABLE, job), job + "/", after, rows)
                .map(result -> result.flatMap(JobStore::join))
                .flatMap(result -> result.isRight() && result.get().holdsNoResult() && rows < MAX_RESULT_ROWS
                        ? results(job, from, MAX_RESULT_ROWS)
                        : Mono.just(result));
    }

    /**
     * Reads which items of a job have a recorded result. Their outputs are read page by page and not kept.
     *
     * @param job The identity of the job.
     * @return The identities of the items in the order of their positions, or a failure.
     */
    public Mono<Either<Failure, List<String>>> recordedItems(String job) {
        return recordedItems(job, List.of());
    }

    private Mono<Either<Failure, List<String>>> recordedItems(String job, List<String> before) {
        return results(job, before.size()).flatMap(result -> {
            if (result.isLeft()) {
                return Mono.just(Either.left(result.getLeft()));
            }
            List<String> items = new ArrayList<>(before);
            result.get().results().forEach(recorded -> items.add(recorded.item()));
            if (result.get().holdsNoResult()) {
                return Mono.just(Either.left(failure("job.results", "a result takes more rows than one read holds")));
            }
            return result.get().last() ? Mono.just(Either.right(items)) : recordedItems(job, items);
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
        return progress.getOutput().size() <= MAX_PART_BYTES;
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

    /** Joins the rows of results. Omits the last result if the read may have ended within it. */
    private static Either<Failure, ResultPage> join(RowPage page) {
        List<JobResult> results = new ArrayList<>();
        String position = "";
        @Nullable ResultPart head = null;
        ByteString output = ByteString.EMPTY;
        try {
            for (Row row : page.rows()) {
                String key = row.key().key();
                String at = key.substring(0, key.lastIndexOf('/'));
                ResultPart part = ResultPart.parseFrom(row.value());
                if (!at.equals(position)) {
                    if (head != null) {
                        results.add(result(head, output));
                    }
                    head = part;
                    output = ByteString.EMPTY;
                    position = at;
                }
                output = output.concat(part.getOutput());
            }
        } catch (InvalidProtocolBufferException exception) {
            return Either.left(failure("job.results", String.valueOf(exception.getMessage())));
        }
        if (head != null && page.last()) {
            results.add(result(head, output));
        }
        return Either.right(new ResultPage(results, page.last()));
    }

    private static JobResult result(ResultPart head, ByteString output) {
        return new JobResult(head.getItem(), head.getCompleted(), output.toStringUtf8());
    }

    /** Splits a result into the values of its rows. */
    private static List<byte[]> parts(JobResult result) {
        ByteString output = ByteString.copyFromUtf8(result.output());
        List<byte[]> parts = new ArrayList<>();
        int at = 0;
        do {
            int end = Math.min(output.size(), at + MAX_PART_BYTES);
            parts.add(ResultPart.newBuilder()
                    .setItem(result.item())
                    .setCompleted(result.completed())
                    .setOutput(output.substring(at, end))
                    .build()
                    .toByteArray());
            at = end;
        } while (at < output.size());
        return parts;
    }

    private static RowKey jobKey(String job) {
        return RowKey.of(table(JOBS_TABLE, job), job);
    }

    private static RowKey resultKey(String job, int position, int part) {
        return RowKey.of(table(RESULTS_TABLE, job), job + "/" + position(position) + "/" + String.format("%03d", part));
    }

    private static RowKey progressKey(String job, String item) {
        return RowKey.of(table(PROGRESS_TABLE, job), job + "/" + item);
    }

    /** Returns a position as a text of fixed length, which sorts like the number. */
    private static String position(int position) {
        return String.format("%06d", position);
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
