package org.tanagermoor.batch.steward;

import io.vavr.control.Either;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.tanagermoor.batch.proto.JobRow;
import org.tanagermoor.batch.store.AsyncResults;
import org.tanagermoor.batch.store.JobKey;
import org.tanagermoor.batch.store.JobRecord;
import org.tanagermoor.batch.store.JobStore;
import org.tanagermoor.kernel.failure.Failure;
import reactor.core.publisher.Mono;

/**
 * Takes jobs over. The epoch of the row is raised before the progress is read, so that no other steward can append to
 * the progress after that. The row also keeps the version of the view by which the job was taken over, and an
 * instance with an older view leaves the job alone: otherwise two instances with different views would take the job
 * from each other endlessly.
 */
final class JobLoader {

    private final JobStore store;

    /** The name of this instance, which is written into the row. */
    private final String self;

    private final LongSupplier viewVersion;

    /**
     * Creates a loader.
     *
     * @param self The name of this instance.
     * @param viewVersion Returns the version of the view of this instance.
     */
    JobLoader(JobStore store, String self, LongSupplier viewVersion) {
        this.store = store;
        this.self = self;
        this.viewVersion = viewVersion;
    }

    /**
     * Takes a job over.
     *
     * @param allowed Returns whether this instance may act as the steward; called directly before the write.
     * @return The job; empty if it is not active; or a failure, also if the row was changed in the meantime or
     *     the job was taken over by a newer view than that of this instance.
     */
    Mono<Either<Failure, Optional<LoadedJob>>> load(JobKey key, BooleanSupplier allowed) {
        return AsyncResults.then(store.read(key), found -> {
            Optional<JobRecord> job = found.filter(JobRecord::active);
            if (job.isEmpty()) {
                return AsyncResults.right(Optional.empty());
            }
            JobRow row = job.get().row();
            long version = viewVersion.getAsLong();
            if (version < row.getViewVersion() || !allowed.getAsBoolean()) {
                return AsyncResults.left(StewardAnswers.notSteward());
            }
            JobRow takenOver = row.toBuilder()
                    .setEpoch(row.getEpoch() + 1)
                    .setSteward(self)
                    .setViewVersion(version)
                    .build();
            return AsyncResults.then(
                    store.replace(job.get(), takenOver),
                    replaced ->
                            replaced.isEmpty() ? AsyncResults.left(StewardAnswers.changed()) : read(replaced.get()));
        });
    }

    /**
     * Reads the layout and the progress of a job that was taken over.
     *
     * @param job The job, with the epoch of this steward.
     */
    private Mono<Either<Failure, Optional<LoadedJob>>> read(JobRecord job) {
        return AsyncResults.then(
                store.objects().layout(job),
                layout -> store.progress()
                        .read(job)
                        .map(result -> result.map(log -> Optional.of(new LoadedJob(job, layout, log)))));
    }
}
