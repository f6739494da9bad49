package org.tanagermoor.batch.http;

import io.vavr.control.Either;
import java.time.Duration;
import org.tanagermoor.batch.peer.BatchPeers;
import org.tanagermoor.batch.proto.BatchAnswer;
import org.tanagermoor.batch.proto.BatchRequest;
import org.tanagermoor.batch.proto.Cancel;
import org.tanagermoor.batch.proto.JobRow;
import org.tanagermoor.batch.store.AsyncResults;
import org.tanagermoor.batch.store.JobKey;
import org.tanagermoor.batch.store.JobRecord;
import org.tanagermoor.batch.store.JobStore;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.kernel.time.TimeSource;
import org.tanagermoor.policy.batch.Outcomes;
import reactor.core.publisher.Mono;

/**
 * Cancels jobs: a conditional write records the cancellation, then the steward ensures that no item starts any more.
 */
public final class JobCancel {

    /** Name of the step in failures. */
    private static final String STEP = "batch.cancel";

    /** Maximum number of attempts of the conditional write. */
    private static final int MAX_WRITE_ATTEMPTS = 5;

    /** Timeout of a request to the steward to stop a job. */
    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(12);

    /** Maximum number of retries of the request to the steward. */
    private static final int MAX_STOP_ATTEMPTS = 20;

    /** Delay before the request to the steward is retried. */
    private static final Duration STOP_RETRY_DELAY = Duration.ofMillis(500);

    private final JobStore store;

    private final BatchPeers peers;

    private final TimeSource time;

    /**
     * Creates the handler that cancels jobs.
     *
     * @param store Reads and writes jobs and their results.
     * @param peers Sends requests to the other instances.
     * @param time The source of the current time.
     */
    public JobCancel(JobStore store, BatchPeers peers, TimeSource time) {
        this.store = store;
        this.peers = peers;
        this.time = time;
    }

    /**
     * Cancels a job. After a successful answer no item of the job starts.
     *
     * @param key The key of the job.
     * @return The job, which may already have ended, or a failure.
     */
    public Mono<Either<Failure, JobRecord>> cancel(JobKey key) {
        return AsyncResults.then(
                write(key, MAX_WRITE_ATTEMPTS),
                job -> job.row().getState() == JobRow.State.CANCELLED
                        ? stop(job, MAX_STOP_ATTEMPTS)
                        : AsyncResults.right(job));
    }

    /**
     * Records that the job is cancelled, unless it has already ended.
     *
     * @param key The key of the job.
     * @param attempts The number of attempts that are left.
     * @return The job as it is recorded afterwards, or a failure.
     */
    private Mono<Either<Failure, JobRecord>> write(JobKey key, int attempts) {
        return AsyncResults.then(store.read(key), found -> {
            if (found.isEmpty()) {
                return AsyncResults.left(
                        Failure.notRun(Failure.Kind.NOT_FOUND, STEP, Failure.LOCAL, "there is no such job"));
            }
            JobRecord job = found.get();
            if (!job.active()) {
                return AsyncResults.right(job);
            }
            if (attempts == 0) {
                return AsyncResults.left(Failure.notRun(
                        Failure.Kind.UNAVAILABLE,
                        STEP,
                        Failure.LOCAL,
                        "the job was changed by other writers during each attempt"));
            }
            return AsyncResults.then(
                    outcomes(job),
                    outcomes -> AsyncResults.then(
                            store.end(job, cancelled(job, outcomes)),
                            ended -> ended.map(AsyncResults::<JobRecord>right)
                                    .orElseGet(() -> write(key, attempts - 1))));
        });
    }

    /**
     * Asks the steward to stop the job until it confirms that the job has stopped.
     *
     * @param attempts The number of retries that are left.
     * @return The job, or a failure.
     */
    private Mono<Either<Failure, JobRecord>> stop(JobRecord job, int attempts) {
        BatchRequest request = BatchRequest.newBuilder()
                .setCancel(Cancel.newBuilder()
                        .setTeam(job.key().team())
                        .setKey(job.key().key()))
                .build();
        Mono<Either<Failure, BatchAnswer>> answer = Mono.defer(() -> Mono.justOrEmpty(peers.steward(job.key())))
                .flatMap(member -> peers.call(member, request, STOP_TIMEOUT))
                .defaultIfEmpty(Either.left(stopUnconfirmed()));
        return answer.flatMap(result -> {
            if (result.isRight() && result.get().getDone()) {
                return AsyncResults.right(job);
            }
            return attempts == 0
                    ? AsyncResults.left(stopUnconfirmed())
                    : Mono.delay(STOP_RETRY_DELAY).then(stop(job, attempts - 1));
        });
    }

    /**
     * Reads the outcomes that are recorded for a job.
     *
     * @return The outcomes, or a failure.
     */
    private Mono<Either<Failure, Outcomes>> outcomes(JobRecord job) {
        return store.progress().read(job).map(result -> result.map(JobStatus::outcomes));
    }

    /**
     * Returns the row that records the cancellation.
     *
     * @param outcomes The outcomes that were recorded shortly before.
     */
    private JobRow cancelled(JobRecord job, Outcomes outcomes) {
        return job.row().toBuilder()
                .setState(JobRow.State.CANCELLED)
                .setEndedMillis(time.wallMillis())
                .setCompleted(outcomes.completed())
                .setFailed(outcomes.failed())
                .setUnknown(outcomes.unknown())
                .build();
    }

    /** Returns the failure of a cancellation that is recorded, but after which items may still start. */
    private static Failure stopUnconfirmed() {
        return Failure.unknown(
                Failure.Kind.UNAVAILABLE,
                STEP,
                "steward",
                "the cancellation is recorded; whether all items have stopped is unknown");
    }
}
