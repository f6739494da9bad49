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

/** Cancels jobs: one conditional write, then the steward makes sure that no item starts any more. */
public final class JobCancel {

    /** The step that failures name. */
    private static final String STEP = "batch.cancel";

    /** The times that the conditional write is tried. */
    private static final int WRITE_ATTEMPTS = 5;

    /** The longest time that the steward may take to stop a job. */
    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(12);

    /** The times that the steward is asked. */
    private static final int STOP_ATTEMPTS = 20;

    /** The delay before the steward is asked again. */
    private static final Duration STOP_DELAY = Duration.ofMillis(500);

    /** The store. */
    private final JobStore store;

    /** The instances. */
    private final BatchPeers peers;

    /** The source of the present time. */
    private final TimeSource time;

    /**
     * Creates the cancelling of jobs.
     *
     * @param store The store.
     * @param peers The instances.
     * @param time The source of the present time.
     */
    public JobCancel(JobStore store, BatchPeers peers, TimeSource time) {
        this.store = store;
        this.peers = peers;
        this.time = time;
    }

    /**
     * Cancels a job. No item starts after the answer.
     *
     * @param key The key of the job.
     * @return The job, which may have ended before, or a failure.
     */
    public Mono<Either<Failure, JobRecord>> cancel(JobKey key) {
        return AsyncResults.then(
                write(key, WRITE_ATTEMPTS),
                job -> job.row().getState() == JobRow.State.CANCELLED
                        ? stop(job, STOP_ATTEMPTS)
                        : AsyncResults.right(job));
    }

    /**
     * Writes that the job is cancelled, unless it has ended.
     *
     * @param key The key of the job.
     * @param attempts The times to try.
     * @return The job as it is then, or a failure.
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
                        Failure.Kind.UNAVAILABLE, STEP, Failure.LOCAL, "the job changed again and again"));
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
     * Asks the steward until it says that the job has stopped.
     *
     * @param job The job.
     * @param attempts The times to ask.
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
                .defaultIfEmpty(Either.left(unstopped()));
        return answer.flatMap(result -> {
            if (result.isRight() && result.get().getDone()) {
                return AsyncResults.right(job);
            }
            return attempts == 0
                    ? AsyncResults.left(unstopped())
                    : Mono.delay(STOP_DELAY).then(stop(job, attempts - 1));
        });
    }

    /**
     * Returns the outcomes that are recorded.
     *
     * @param job The job.
     * @return The outcomes, or a failure.
     */
    private Mono<Either<Failure, Outcomes>> outcomes(JobRecord job) {
        return store.progress().read(job).map(result -> result.map(JobStatus::outcomes));
    }

    /**
     * Returns the row of the cancelled job.
     *
     * @param job The job.
     * @param outcomes The outcomes that were recorded shortly before.
     * @return The row.
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

    /**
     * Returns the failure of a cancel that is recorded while items may still start.
     *
     * @return The failure.
     */
    private static Failure unstopped() {
        return Failure.unknown(
                Failure.Kind.UNAVAILABLE,
                STEP,
                "steward",
                "the cancel is recorded; whether all has stopped is unknown");
    }
}
