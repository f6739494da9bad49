package org.tanagermoor.batch.steward;

import io.vavr.control.Either;
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
     * @param from The instance, which is the worker of the chunks that it gets.
     * @param ask The number of items that it asks for.
     * @param answer Receives the lent chunks.
     */
    record ChunksRequested(InstanceId from, Ask ask, MonoSink<Either<Failure, BatchAnswer>> answer)
            implements StewardMessage {}

    /**
     * An instance asks to renew its leases.
     *
     * @param from The instance.
     * @param renew The leases.
     * @param answer Receives the leases that were renewed.
     */
    record RenewalRequested(InstanceId from, Renew renew, MonoSink<Either<Failure, BatchAnswer>> answer)
            implements StewardMessage {}

    /**
     * An instance reports the results of a chunk and the items that were lost.
     *
     * @param report The results and the lost items.
     * @param answer Receives the answer when the report is recorded.
     */
    record ChunkReported(Report report, MonoSink<Either<Failure, BatchAnswer>> answer) implements StewardMessage {}

    /**
     * An instance recorded that a job is cancelled.
     *
     * @param cancel The team and the key of the job.
     * @param answer Receives the answer when no item of the job can start any more.
     */
    record CancelRequested(Cancel cancel, MonoSink<Either<Failure, BatchAnswer>> answer) implements StewardMessage {}

    /**
     * The row of a cancelled job that this steward did not run was read.
     *
     * @param key The key of the job.
     * @param result The job, or empty if there is no such job.
     * @param answer Receives the answer when no item of the job can start any more.
     */
    record CancelledJobRead(
            JobKey key, Either<Failure, Optional<JobRecord>> result, MonoSink<Either<Failure, BatchAnswer>> answer)
            implements StewardMessage {}

    /**
     * An instance announced a job that may have to be taken over.
     *
     * @param key The key of the job.
     */
    record JobAnnounced(JobKey key) implements StewardMessage {}

    /**
     * A page of the index of active jobs was read.
     *
     * @param result The entries of the page, or the failure to read it.
     */
    record PageScanned(Either<Failure, JobStore.IndexPage> result) implements StewardMessage {}

    /**
     * An attempt to take over a job ended.
     *
     * @param key The key of the job.
     * @param result The job; empty if it is not active; or the failure of the takeover.
     */
    record JobLoaded(JobKey key, Either<Failure, Optional<LoadedJob>> result) implements StewardMessage {}

    /**
     * A write of progress entries ended.
     *
     * @param run The job.
     * @param result The position at which the next entries are appended; empty if the row of the job was changed.
     */
    record WriteEnded(JobRun run, Either<Failure, Optional<ProgressLog>> result) implements StewardMessage {}

    /**
     * A worker confirmed that it dropped a lease of a cancelled job.
     *
     * @param lease The lease.
     */
    record LeaseDropped(LeaseKey lease) implements StewardMessage {}
}
