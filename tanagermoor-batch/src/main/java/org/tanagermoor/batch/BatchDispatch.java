package org.tanagermoor.batch;

import io.vavr.control.Either;
import org.tanagermoor.batch.proto.BatchAnswer;
import org.tanagermoor.batch.proto.BatchRequest;
import org.tanagermoor.batch.proto.Notice;
import org.tanagermoor.batch.steward.Steward;
import org.tanagermoor.batch.store.JobKey;
import org.tanagermoor.batch.worker.Worker;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.policy.fleet.InstanceId;
import reactor.core.publisher.Mono;

/**
 * Dispatches the requests of other instances to the steward or the worker of this instance.
 *
 * @param steward The steward of this instance, which lends chunks of its jobs and records their progress.
 * @param worker The worker of this instance, which runs chunks.
 */
public record BatchDispatch(Steward steward, Worker worker) {

    /**
     * Handles a request of another instance.
     *
     * @param from The instance that sent the request.
     * @param request The request to handle.
     * @return The answer to send back, or a failure.
     */
    public Mono<Either<Failure, BatchAnswer>> handle(InstanceId from, BatchRequest request) {
        return switch (request.getKindCase()) {
            case REVOKE -> worker.revoke(request.getRevoke());
            case NOTICE -> notice(from, request.getNotice());
            default -> steward.answer(from, request);
        };
    }

    /**
     * Handles a notice that a job exists: this instance may be its steward, and the sender may have chunks to lend.
     *
     * @param from The instance that sent the notice.
     * @return An empty answer.
     */
    private Mono<Either<Failure, BatchAnswer>> notice(InstanceId from, Notice notice) {
        steward.notice(JobKey.of(notice.getTeam(), notice.getKey()));
        worker.hint(from);
        return Mono.just(Either.right(BatchAnswer.getDefaultInstance()));
    }
}
