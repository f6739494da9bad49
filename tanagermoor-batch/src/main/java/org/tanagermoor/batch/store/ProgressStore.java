package org.tanagermoor.batch.store;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import org.tanagermoor.batch.proto.JobRow;
import org.tanagermoor.batch.proto.ProgressPart;
import org.tanagermoor.batch.proto.StartRow;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.policy.batch.Progress;
import org.tanagermoor.store.table.Row;
import org.tanagermoor.store.table.RowKey;
import org.tanagermoor.store.table.Transaction;
import reactor.core.publisher.Mono;

/** The rows that record the progress of jobs and the items that were started. */
public final class ProgressStore {

    /** The maximum number of rows that one call reads. */
    private static final int PAGE_SIZE = 1_000;

    private final MeteredPlatform platform;

    ProgressStore(MeteredPlatform platform) {
        this.platform = platform;
    }

    /**
     * Reads the progress of a job.
     *
     * @return The progress, or a failure, also if a row cannot be parsed.
     */
    public Mono<Either<Failure, ProgressLog>> read(JobRecord job) {
        String prefix = StorageNames.rows(job.key(), job.row().getUpload());
        return AsyncResults.then(platform.scanAll(StorageNames.PROGRESS, prefix), rows -> {
            ProgressLog log = ProgressLog.EMPTY;
            for (Row row : rows) {
                Either<Failure, ProgressPart> part = MeteredPlatform.parse(ProgressPart.parser(), row.value());
                if (part.isLeft()) {
                    return AsyncResults.left(part.getLeft());
                }
                int number = Integer.parseInt(row.key().key().substring(prefix.length()));
                log = log.withPart(
                        number,
                        row.version(),
                        part.get().getEntriesList().stream()
                                .map(Protos::progress)
                                .toList());
            }
            return AsyncResults.right(log);
        });
    }

    /**
     * Records entries, unless the row of the job was changed by a later steward or a cancellation.
     *
     * @param job The job as its steward took it over.
     * @param log The position at which the entries are appended.
     * @param entries The entries to append.
     * @param done The row that ends the job, if the entries complete it.
     * @return The position for the next entries, empty if a condition did not hold, or a failure.
     */
    public Mono<Either<Failure, Optional<ProgressLog>>> record(
            JobRecord job, ProgressLog log, List<Progress> entries, Optional<JobRow> done) {
        ProgressLog next = log.appended(entries);
        RowKey row = StorageNames.progress(job.key(), job.row().getUpload(), next.part());
        ProgressPart part = ProgressPart.newBuilder()
                .addAllEntries(next.partEntries().stream().map(Protos::entry).toList())
                .build();
        Transaction write = Transaction.EMPTY.withCondition(row, next.version()).withPut(row, part.toByteArray());
        Transaction transaction = done.map(ended -> JobStore.withJobEnd(job, ended, write))
                .orElseGet(() -> write.withCondition(StorageNames.job(job.key()), job.version()));
        return platform.commit(transaction, row).map(result -> result.map(version -> version.map(next::withVersion)));
    }

    /**
     * Reads which items of a cell are marked as started.
     *
     * @param upload The identity of the upload.
     * @param cell The index of the first item of the cell.
     * @return The marks, which are empty if the row is absent, or a failure.
     */
    public Mono<Either<Failure, Starts>> starts(JobKey key, String upload, int cell) {
        RowKey row = StorageNames.start(key, upload, cell);
        return AsyncResults.then(
                platform.read(row),
                found -> Mono.just(found.map(present -> MeteredPlatform.parse(StartRow.parser(), present.value())
                                .map(value -> new Starts(value, present.version())))
                        .orElseGet(() -> Either.right(new Starts(StartRow.getDefaultInstance(), Transaction.ABSENT)))));
    }

    /**
     * Marks items of a cell as started, unless the marks or the row of the job were changed.
     *
     * @param upload The identity of the upload.
     * @param cell The index of the first item of the cell.
     * @param jobVersion The version of the row of the job.
     * @param before The marks as they were read.
     * @param row The marks to put.
     * @return The marks, empty if a condition did not hold, or a failure.
     */
    public Mono<Either<Failure, Optional<Starts>>> mark(
            JobKey key, String upload, int cell, long jobVersion, Starts before, StartRow row) {
        RowKey start = StorageNames.start(key, upload, cell);
        Transaction transaction = Transaction.EMPTY
                .withCondition(StorageNames.job(key), jobVersion)
                .withCondition(start, before.version())
                .withPut(start, row.toByteArray());
        return platform.commit(transaction, start)
                .map(result -> result.map(version -> version.map(found -> new Starts(row, found))));
    }

    /**
     * Deletes the progress and the marks of started items of a job.
     *
     * @param upload The identity of the upload.
     * @return Always {@code true}, or a failure.
     */
    Mono<Either<Failure, Boolean>> deleteAll(JobKey key, String upload) {
        return AsyncResults.then(
                deletePages(StorageNames.PROGRESS, StorageNames.rows(key, upload)),
                ignored -> deletePages(StorageNames.STARTS, StorageNames.rows(key, upload)));
    }

    /**
     * Deletes the rows with a prefix page by page.
     *
     * @return Always {@code true}, or a failure.
     */
    private Mono<Either<Failure, Boolean>> deletePages(String table, String prefix) {
        return AsyncResults.then(platform.scan(table, prefix, "", PAGE_SIZE), page -> {
            List<Row> rows = page.rows();
            if (rows.isEmpty()) {
                return AsyncResults.right(true);
            }
            Transaction transaction = Transaction.EMPTY;
            for (Row row : rows) {
                transaction = transaction.withDelete(row.key());
            }
            return AsyncResults.then(
                    platform.commit(transaction, rows.get(0).key()), ignored -> deletePages(table, prefix));
        });
    }

    /**
     * The items of a cell that are marked as started.
     *
     * @param row The marks.
     * @param version The version of the row, or 0 if it is absent.
     */
    public record Starts(StartRow row, long version) {}
}
