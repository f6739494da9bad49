package org.tanagermoor.batch.steward;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import org.tanagermoor.batch.proto.Ask;
import org.tanagermoor.batch.proto.BatchAnswer;
import org.tanagermoor.batch.proto.Cancel;
import org.tanagermoor.batch.proto.LeaseKey;
import org.tanagermoor.batch.proto.Renew;
import org.tanagermoor.batch.proto.Report;
import org.tanagermoor.batch.store.JobKey;
import org.tanagermoor.batch.store.JobRecord;
import org.tanagermoor.batch.store.JobStore;
import org.tanagermoor.batch.store.ProgressLog;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.policy.fleet.InstanceId;
import reactor.core.publisher.MonoSink;

/** A message to the duty of the steward. */
sealed interface StewardMessage {

    /**
     * An instance asks for chunks.
     *
     * @param from The instance.
     * @param ask What it asks for.
     * @param answer Takes the answer.
     */
    record ChunksRequested(InstanceId from, Ask ask, MonoSink<Either<Failure, BatchAnswer>> answer)
            implements StewardMessage {}

    /**
     * An instance renews its leases.
     *
     * @param from The instance.
     * @param renew The leases.
     * @param answer Takes the answer.
     */
    record RenewalRequested(InstanceId from, Renew renew, MonoSink<Either<Failure, BatchAnswer>> answer)
            implements StewardMessage {}

    /**
     * An instance reports what became of a chunk.
     *
     * @param report The report.
     * @param answer Takes the answer once it is recorded.
     */
    record ChunkReported(Report report, MonoSink<Either<Failure, BatchAnswer>> answer) implements StewardMessage {}

    /**
     * A job was cancelled.
     *
     * @param cancel The job.
     * @param answer Takes the answer once no item can start.
     */
    record CancelRequested(Cancel cancel, MonoSink<Either<Failure, BatchAnswer>> answer) implements StewardMessage {}

    /**
     * The row of a cancelled job was read, as this steward did not run the job.
     *
     * @param key The key of the job.
     * @param result The job.
     * @param answer Takes the answer once no item can start.
     */
    record CancelledJobRead(
            JobKey key, Either<Failure, Optional<JobRecord>> result, MonoSink<Either<Failure, BatchAnswer>> answer)
            implements StewardMessage {}

    /**
     * There is a job.
     *
     * @param key The key of the job.
     */
    record JobAnnounced(JobKey key) implements StewardMessage {}

    /**
     * Some active jobs were read.
     *
     * @param result The jobs.
     */
    record PageScanned(Either<Failure, List<JobStore.IndexEntry>> result) implements StewardMessage {}

    /**
     * A job was taken over.
     *
     * @param key The key of the job.
     * @param result The job; nothing if it is not active.
     */
    record JobLoaded(JobKey key, Either<Failure, Optional<LoadedJob>> result) implements StewardMessage {}

    /**
     * Entries were recorded, or not.
     *
     * @param run The job.
     * @param result Where the progress goes on; nothing if the row of the job was changed.
     */
    record WriteEnded(JobRun run, Either<Failure, Optional<ProgressLog>> result) implements StewardMessage {}

    /**
     * A worker dropped a lease.
     *
     * @param lease The lease.
     */
    record LeaseDropped(LeaseKey lease) implements StewardMessage {}
}
