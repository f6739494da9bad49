package org.tanagermoor.batch.store;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.tanagermoor.batch.BatchMetrics;
import org.tanagermoor.batch.proto.IndexRow;
import org.tanagermoor.batch.proto.JobRow;
import org.tanagermoor.batch.proto.UploadRow;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.store.object.ObjectStore;
import org.tanagermoor.store.table.Row;
import org.tanagermoor.store.table.RowKey;
import org.tanagermoor.store.table.TableService;
import org.tanagermoor.store.table.Transaction;
import reactor.core.publisher.Mono;

/** The rows of jobs and their indexes. */
public final class JobStore {

    /** The platform. */
    private final MeteredPlatform platform;

    /** The objects of jobs. */
    private final JobObjects objects;

    /** The progress of jobs. */
    private final ProgressStore progress;

    /**
     * Creates a store.
     *
     * @param platform The platform.
     */
    private JobStore(MeteredPlatform platform) {
        this.platform = platform;
        objects = new JobObjects(platform);
        progress = new ProgressStore(platform);
    }

    /**
     * Returns a store.
     *
     * @param tables The table service.
     * @param objects The object store.
     * @param metrics The metrics, which count each call.
     * @return A store.
     */
    public static JobStore of(TableService tables, ObjectStore objects, BatchMetrics metrics) {
        return new JobStore(new MeteredPlatform(tables, objects, metrics));
    }

    /**
     * Returns the objects of jobs.
     *
     * @return The objects of jobs.
     */
    public JobObjects objects() {
        return objects;
    }

    /**
     * Returns the progress of jobs.
     *
     * @return The progress of jobs.
     */
    public ProgressStore progress() {
        return progress;
    }

    /**
     * Reads a job.
     *
     * @param key The key of the job.
     * @return The job if there is one, or a failure.
     */
    public Mono<Either<Failure, Optional<JobRecord>>> read(JobKey key) {
        return platform.read(StorageNames.job(key)).map(result -> result.flatMap(JobStore::record));
    }

    /**
     * Reads some of the jobs of a team.
     *
     * @param team The name of the team.
     * @param after The key of the job after which to begin, or an empty text.
     * @param limit The most jobs to return.
     * @return The jobs, ordered by key, or a failure.
     */
    public Mono<Either<Failure, List<JobRecord>>> list(String team, String after, int limit) {
        String prefix = team + "/";
        return platform.scan(StorageNames.JOBS, prefix, after.isEmpty() ? "" : prefix + after, limit)
                .map(result -> result.flatMap(rows -> {
                    List<JobRecord> jobs = new ArrayList<>();
                    for (Row row : rows) {
                        Either<Failure, JobRecord> job = parse(row);
                        if (job.isLeft()) {
                            return Either.left(job.getLeft());
                        }
                        jobs.add(job.get());
                    }
                    return Either.right(jobs);
                }));
    }

    /**
     * Reads the keys of some of the active jobs.
     *
     * @param after The position after which to begin, or an empty text.
     * @param limit The most jobs to return.
     * @return The keys by position, or a failure.
     */
    public Mono<Either<Failure, List<IndexEntry>>> active(String after, int limit) {
        return index(StorageNames.ACTIVE, after, limit);
    }

    /**
     * Reads the keys of the jobs that ended first.
     *
     * @param limit The most jobs to return.
     * @return The keys by position, or a failure.
     */
    public Mono<Either<Failure, List<IndexEntry>>> ended(int limit) {
        return index(StorageNames.ENDED, "", limit);
    }

    /**
     * Returns the position in the index of ended jobs at which those that ended at a time begin.
     *
     * @param millis The wall-clock time in milliseconds.
     * @return The position.
     */
    public static String endedPositionAt(long millis) {
        return StorageNames.ordered(millis);
    }

    /**
     * Begins an upload.
     *
     * @param key The key of the job.
     * @param id The identity of the upload, which no other has.
     * @param nowMillis The present wall-clock time in milliseconds.
     * @return The upload, or a failure.
     */
    public Mono<Either<Failure, Upload>> startUpload(JobKey key, String id, long nowMillis) {
        RowKey row = StorageNames.upload(nowMillis, id);
        UploadRow value = UploadRow.newBuilder()
                .setTeam(key.team())
                .setKey(key.key())
                .setUpload(id)
                .setStartedMillis(nowMillis)
                .build();
        Transaction transaction =
                Transaction.EMPTY.withCondition(row, Transaction.ABSENT).withPut(row, value.toByteArray());
        return platform.commit(transaction, row)
                .map(result -> result.flatMap(version -> version.<Either<Failure, Upload>>map(
                                found -> Either.right(new Upload(key, id, nowMillis, found)))
                        .orElseGet(() -> Either.left(conflict("batch.upload", "the upload exists already")))));
    }

    /**
     * Makes a job of an upload, unless there is a job with its key or the upload was swept.
     *
     * @param upload The upload.
     * @param job The row of the job.
     * @return The job that has the key now, this one or another; nothing if the upload was swept; or a failure.
     */
    public Mono<Either<Failure, Optional<JobRecord>>> accept(Upload upload, JobRow job) {
        RowKey row = StorageNames.job(upload.key());
        RowKey uploadRow = StorageNames.upload(upload.startedMillis(), upload.id());
        Transaction transaction = Transaction.EMPTY
                .withCondition(row, Transaction.ABSENT)
                .withCondition(uploadRow, upload.version())
                .withPut(row, job.toByteArray())
                .withPut(StorageNames.active(upload.key()), indexValue(upload.key()))
                .withDelete(uploadRow);
        return AsyncResults.then(
                platform.commit(transaction, row),
                version -> version.isPresent()
                        ? AsyncResults.right(Optional.of(new JobRecord(job, version.get())))
                        : read(upload.key()));
    }

    /**
     * Ends an upload that is not to be accepted, and deletes its objects.
     *
     * @param upload The upload.
     * @return Whether it was ended, {@code false} if it was accepted or ended already, or a failure.
     */
    public Mono<Either<Failure, Boolean>> discard(Upload upload) {
        RowKey row = StorageNames.upload(upload.startedMillis(), upload.id());
        Transaction transaction =
                Transaction.EMPTY.withCondition(row, upload.version()).withDelete(row);
        return AsyncResults.then(
                platform.commit(transaction, row),
                ignored -> AsyncResults.then(
                        platform.read(row),
                        found -> found.isPresent()
                                ? AsyncResults.right(false)
                                : AsyncResults.then(
                                        read(upload.key()),
                                        job -> isAccepted(upload, job)
                                                ? AsyncResults.right(false)
                                                : AsyncResults.then(
                                                        objects.deleteAll(upload.key(), upload.id()),
                                                        n -> AsyncResults.right(true)))));
    }

    /**
     * Reads the oldest uploads that are not accepted yet.
     *
     * @param limit The most uploads to return.
     * @return The uploads, oldest first, or a failure.
     */
    public Mono<Either<Failure, List<Upload>>> uploads(int limit) {
        return platform.scan(StorageNames.UPLOADS, "", "", limit)
                .map(result -> result.map(rows -> rows.stream()
                        .flatMap(row -> MeteredPlatform.parse(UploadRow.parser(), row.value())
                                .toJavaStream()
                                .map(value -> new Upload(
                                        JobKey.of(value.getTeam(), value.getKey()),
                                        value.getUpload(),
                                        value.getStartedMillis(),
                                        row.version())))
                        .toList()));
    }

    /**
     * Puts a job row in place of the one that was read.
     *
     * @param before The job as it was read.
     * @param row The row to put.
     * @return The job, or nothing if the row was changed meanwhile, or a failure.
     */
    public Mono<Either<Failure, Optional<JobRecord>>> replace(JobRecord before, JobRow row) {
        RowKey key = StorageNames.job(before.key());
        Transaction transaction =
                Transaction.EMPTY.withCondition(key, before.version()).withPut(key, row.toByteArray());
        return platform.commit(transaction, key)
                .map(result -> result.map(version -> version.map(found -> new JobRecord(row, found))));
    }

    /**
     * Ends a job that is active.
     *
     * @param before The job as it was read.
     * @param row The row to put, whose state is not active.
     * @return The job, or nothing if the row was changed meanwhile, or a failure.
     */
    public Mono<Either<Failure, Optional<JobRecord>>> end(JobRecord before, JobRow row) {
        return platform.commit(withJobEnd(before, row, Transaction.EMPTY), StorageNames.job(before.key()))
                .map(result -> result.map(version -> version.map(found -> new JobRecord(row, found))));
    }

    /**
     * Deletes everything of a job that ended.
     *
     * @param entry The entry of the index of ended jobs.
     * @return Whether it was deleted, or a failure.
     */
    public Mono<Either<Failure, Boolean>> deleteEndedJob(IndexEntry entry) {
        RowKey index = RowKey.of(StorageNames.ENDED, entry.position());
        Mono<Either<Failure, Boolean>> deleteIndexEntry = Mono.defer(
                        () -> platform.commit(Transaction.EMPTY.withDelete(index), index))
                .map(result -> result.map(ignored -> true));
        return AsyncResults.then(read(entry.key()), found -> {
            if (found.isEmpty() || found.get().active()) {
                return deleteIndexEntry;
            }
            JobRecord job = found.get();
            String upload = job.row().getUpload();
            return AsyncResults.then(
                    objects.deleteAll(job.key(), upload),
                    ignored -> AsyncResults.then(
                            progress.deleteAll(job.key(), upload),
                            done -> AsyncResults.then(remove(job), gone -> deleteIndexEntry)));
        });
    }

    /**
     * Returns a transaction that ends a job.
     *
     * @param before The job as it was read.
     * @param row The row to put.
     * @param transaction What is written together with it.
     * @return The transaction.
     */
    static Transaction withJobEnd(JobRecord before, JobRow row, Transaction transaction) {
        JobKey key = before.key();
        return transaction
                .withCondition(StorageNames.job(key), before.version())
                .withPut(StorageNames.job(key), row.toByteArray())
                .withDelete(StorageNames.active(key))
                .withPut(StorageNames.ended(row.getEndedMillis(), key), indexValue(key));
    }

    /**
     * Deletes the row of a job.
     *
     * @param job The job.
     * @return Whether it was deleted, or a failure.
     */
    private Mono<Either<Failure, Boolean>> remove(JobRecord job) {
        RowKey key = StorageNames.job(job.key());
        return platform.commit(
                        Transaction.EMPTY.withCondition(key, job.version()).withDelete(key), key)
                .map(result -> result.map(ignored -> true));
    }

    /**
     * Reads some entries of an index.
     *
     * @param table The table.
     * @param after The position after which to begin.
     * @param limit The most entries to return.
     * @return The entries in order, or a failure.
     */
    private Mono<Either<Failure, List<IndexEntry>>> index(String table, String after, int limit) {
        return platform.scan(table, "", after, limit)
                .map(result -> result.map(rows -> rows.stream()
                        .flatMap(row -> MeteredPlatform.parse(IndexRow.parser(), row.value())
                                .toJavaStream()
                                .map(value ->
                                        new IndexEntry(row.key().key(), JobKey.of(value.getTeam(), value.getKey()))))
                        .toList()));
    }

    /**
     * Returns whether an upload was accepted.
     *
     * @param upload The upload.
     * @param job The job that has its key, if there is one.
     * @return Whether it was accepted.
     */
    private static boolean isAccepted(Upload upload, Optional<JobRecord> job) {
        return job.filter(found -> found.row().getUpload().equals(upload.id())).isPresent();
    }

    /**
     * Reads a job.
     *
     * @param row The row, if it is present.
     * @return The job if there is one, or a failure.
     */
    private static Either<Failure, Optional<JobRecord>> record(Optional<Row> row) {
        return row.map(found -> parse(found).map(Optional::of)).orElseGet(() -> Either.right(Optional.empty()));
    }

    /**
     * Reads a job.
     *
     * @param row The row.
     * @return The job, or a failure.
     */
    private static Either<Failure, JobRecord> parse(Row row) {
        return MeteredPlatform.parse(JobRow.parser(), row.value()).map(value -> new JobRecord(value, row.version()));
    }

    /**
     * Returns the value of an entry of an index.
     *
     * @param key The key of the job.
     * @return The value.
     */
    private static byte[] indexValue(JobKey key) {
        return IndexRow.newBuilder()
                .setTeam(key.team())
                .setKey(key.key())
                .build()
                .toByteArray();
    }

    /**
     * Returns a failure of a condition that did not hold.
     *
     * @param step The step.
     * @param detail What is wrong.
     * @return A failure that was certainly not executed.
     */
    private static Failure conflict(String step, String detail) {
        return Failure.notRun(Failure.Kind.CONFLICT, step, Failure.LOCAL, detail);
    }

    /**
     * An entry of an index of jobs.
     *
     * @param position The position.
     * @param key The key of the job.
     */
    public record IndexEntry(String position, JobKey key) {}
}
