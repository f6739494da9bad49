package org.tanagermoor.batch.store;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
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

/** The rows of jobs and the indexes of active and ended jobs. */
public final class JobStore {

    private final MeteredPlatform platform;

    private final JobObjects objects;

    private final ProgressStore progress;

    private JobStore(MeteredPlatform platform) {
        this.platform = platform;
        objects = new JobObjects(platform);
        progress = new ProgressStore(platform);
    }

    /**
     * Creates a store.
     *
     * @param tables The table service of the platform.
     * @param objects The object store of the platform.
     * @param metrics Counts the calls of the platform.
     */
    public static JobStore of(TableService tables, ObjectStore objects, BatchMetrics metrics) {
        return new JobStore(new MeteredPlatform(tables, objects, metrics));
    }

    /** Returns the items, manifests and results of jobs. */
    public JobObjects objects() {
        return objects;
    }

    /** Returns the rows that record the progress of jobs. */
    public ProgressStore progress() {
        return progress;
    }

    /**
     * Reads a job.
     *
     * @return The job, empty if there is none, or a failure.
     */
    public Mono<Either<Failure, Optional<JobRecord>>> read(JobKey key) {
        return platform.read(StorageNames.job(key)).map(result -> result.flatMap(JobStore::record));
    }

    /**
     * Reads a page of the jobs of a team.
     *
     * @param team The name of the team.
     * @param after The key of the job after which the page starts, or an empty string.
     * @param limit The maximum number of jobs to return.
     * @return The jobs, ordered by key, or a failure.
     */
    public Mono<Either<Failure, List<JobRecord>>> list(String team, String after, int limit) {
        String prefix = team + "/";
        return platform.scan(StorageNames.JOBS, prefix, after.isEmpty() ? "" : prefix + after, limit)
                .map(result -> result.flatMap(page -> {
                    List<JobRecord> jobs = new ArrayList<>();
                    for (Row row : page.rows()) {
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
     * Reads a page of the index of active jobs.
     *
     * @param after The position after which the page starts, or an empty string.
     * @param limit The maximum number of jobs to return.
     * @return The entries by position and where to read on, or a failure.
     */
    public Mono<Either<Failure, IndexPage>> active(String after, int limit) {
        return index(StorageNames.ACTIVE, after, limit);
    }

    /**
     * Reads the entries of the jobs that ended first.
     *
     * @param limit The maximum number of jobs to return.
     * @return The entries by position, or a failure.
     */
    public Mono<Either<Failure, List<IndexEntry>>> ended(int limit) {
        return index(StorageNames.ENDED, "", limit).map(result -> result.map(IndexPage::entries));
    }

    /**
     * Returns the position in the index of ended jobs before which all jobs ended earlier than a given time.
     *
     * @param millis The wall-clock time in milliseconds.
     */
    public static String endedPositionAt(long millis) {
        return StorageNames.ordered(millis);
    }

    /**
     * Starts an upload.
     *
     * @param id The identity of the upload, which is unique.
     * @param nowMillis The current wall-clock time in milliseconds.
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
                        .orElseGet(() -> Either.left(conflict("batch.upload", "the upload already exists")))));
    }

    /**
     * Turns an upload into a job, unless there is a job with the same key or the upload was swept.
     *
     * @param job The row of the job.
     * @return The job that has the key now, which may be another one; empty if the upload was swept; or a
     *     failure.
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
     * Ends an upload that will not be accepted, and deletes its objects.
     *
     * @return Whether the upload was ended; {@code false} if it was accepted or is still there; or a failure.
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
     * @param limit The maximum number of uploads to return.
     * @return The uploads, oldest first, or a failure.
     */
    public Mono<Either<Failure, List<Upload>>> uploads(int limit) {
        return platform.scan(StorageNames.UPLOADS, "", "", limit)
                .map(result -> result.map(page -> page.rows().stream()
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
     * Replaces the row of a job by another one, unless it was changed since it was read.
     *
     * @param before The job as it was read.
     * @param row The row to put.
     * @return The job, empty if the row was changed in the meantime, or a failure.
     */
    public Mono<Either<Failure, Optional<JobRecord>>> replace(JobRecord before, JobRow row) {
        RowKey key = StorageNames.job(before.key());
        Transaction transaction =
                Transaction.EMPTY.withCondition(key, before.version()).withPut(key, row.toByteArray());
        return platform.commit(transaction, key)
                .map(result -> result.map(version -> version.map(found -> new JobRecord(row, found))));
    }

    /**
     * Ends an active job.
     *
     * @param before The job as it was read.
     * @param row The row to put, whose state is not active.
     * @return The job, empty if the row was changed in the meantime, or a failure.
     */
    public Mono<Either<Failure, Optional<JobRecord>>> end(JobRecord before, JobRow row) {
        return platform.commit(withJobEnd(before, row, Transaction.EMPTY), StorageNames.job(before.key()))
                .map(result -> result.map(version -> version.map(found -> new JobRecord(row, found))));
    }

    /**
     * Deletes all objects and rows of a job that has ended. If there is no such job or it is active, only the index
     * entry is deleted.
     *
     * @param entry The entry of the index of ended jobs.
     * @return Always {@code true}, or a failure.
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
     * Adds the end of a job to a transaction.
     *
     * @param before The job as it was read.
     * @param row The row to put.
     * @param transaction The writes that are committed together with the end of the job.
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
     * Deletes the row of a job, unless it was changed since it was read.
     *
     * @return Always {@code true}, or a failure.
     */
    private Mono<Either<Failure, Boolean>> remove(JobRecord job) {
        RowKey key = StorageNames.job(job.key());
        return platform.commit(
                        Transaction.EMPTY.withCondition(key, job.version()).withDelete(key), key)
                .map(result -> result.map(ignored -> true));
    }

    /**
     * Reads a page of an index. Rows that cannot be parsed are skipped.
     *
     * @param after The position after which the page starts.
     * @param limit The maximum number of entries to return.
     * @return The entries in order and where to read on, or a failure.
     */
    private Mono<Either<Failure, IndexPage>> index(String table, String after, int limit) {
        return platform.scan(table, "", after, limit)
                .map(result -> result.map(page -> new IndexPage(
                        page.rows().stream().flatMap(JobStore::entries).toList(), page.next())));
    }

    /** Returns the entry of an index row; none if it cannot be parsed. */
    private static Stream<IndexEntry> entries(Row row) {
        return MeteredPlatform.parse(IndexRow.parser(), row.value())
                .toJavaStream()
                .map(value -> new IndexEntry(row.key().key(), JobKey.of(value.getTeam(), value.getKey())));
    }

    /**
     * Returns whether an upload has become the job that has its key.
     *
     * @param job The job that has the key of the upload, if there is one.
     */
    private static boolean isAccepted(Upload upload, Optional<JobRecord> job) {
        return job.filter(found -> found.row().getUpload().equals(upload.id())).isPresent();
    }

    /**
     * Parses the row of a job.
     *
     * @param row The row, or empty if it is absent.
     * @return The job, empty if the row is absent, or a failure.
     */
    private static Either<Failure, Optional<JobRecord>> record(Optional<Row> row) {
        return row.map(found -> parse(found).map(Optional::of)).orElseGet(() -> Either.right(Optional.empty()));
    }

    private static Either<Failure, JobRecord> parse(Row row) {
        return MeteredPlatform.parse(JobRow.parser(), row.value()).map(value -> new JobRecord(value, row.version()));
    }

    /** Returns the value of the index entries of a job. */
    private static byte[] indexValue(JobKey key) {
        return IndexRow.newBuilder()
                .setTeam(key.team())
                .setKey(key.key())
                .build()
                .toByteArray();
    }

    /** Returns the failure of a write whose condition did not hold, so that it was certainly not executed. */
    private static Failure conflict(String step, String detail) {
        return Failure.notRun(Failure.Kind.CONFLICT, step, Failure.LOCAL, detail);
    }

    /**
     * An entry of an index of jobs.
     *
     * @param position The key of the index row, by which the entries are ordered.
     * @param key The key of the job.
     */
    public record IndexEntry(String position, JobKey key) {}

    /**
     * A part of an index of jobs.
     *
     * @param entries The entries, ordered by position.
     * @param next The position after which to read on, or empty if there are no further entries.
     */
    public record IndexPage(List<IndexEntry> entries, Optional<String> next) {}
}
