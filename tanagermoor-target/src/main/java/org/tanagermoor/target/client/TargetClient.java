package org.tanagermoor.target.client;

import java.util.Optional;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.policy.configuration.Target;
import reactor.core.publisher.Flux;

/** Sends requests to targets and returns their answers. */
public interface TargetClient {

    /**
     * Sends a request on a connection that was opened or used shortly before. Cancelling the result cancels the request
     * at the target. If the target is a model engine and its stream stalls, the stream is resumed on a new connection.
     *
     * @return The parts of the answer. It ends with {@link AnswerPart.End}, or with a {@link
     *     org.tanagermoor.kernel.failure.FailureException} whose failure states {@code run: no} only if no byte of the
     *     request was sent. The kinds are {@link Failure.Kind#UNAVAILABLE}, {@link Failure.Kind#TIMEOUT}, {@link
     *     Failure.Kind#CORRUPT} and, if the target is full and states that it did not execute the request, {@link
     *     Failure.Kind#OVERLOADED}.
     */
    Flux<AnswerPart> send(Target target, TargetRequest request);

    /**
     * Sends a request like {@link #send(Target, TargetRequest)}, after a last check immediately before its first byte
     * is sent.
     *
     * @param check The last check.
     * @return The parts of the answer. If the check fails, nothing is sent and the result ends with its failure.
     */
    default Flux<AnswerPart> send(Target target, TargetRequest request, SendCheck check) {
        return Flux.defer(() -> check.refusal()
                .<Flux<AnswerPart>>map(failure -> Flux.error(failure.asException()))
                .orElseGet(() -> send(target, request)));
    }

    /**
     * Resumes a stream that was cancelled.
     *
     * @param target The target that started the stream.
     * @param request The request that started the stream.
     * @param position The position at which to resume.
     * @return The remaining parts without a head, as of {@link #send(Target, TargetRequest)}, or a failure of kind
     *     {@link Failure.Kind#UNAVAILABLE} if the target no longer knows the stream.
     */
    default Flux<AnswerPart> resume(Target target, TargetRequest request, StreamPosition position) {
        return Flux.error(Failure.notRun(
                        Failure.Kind.UNAVAILABLE,
                        "target.resume",
                        target.address().toString(),
                        "streams cannot be resumed")
                .asException());
    }

    /** Decides immediately before a request is sent whether it may still be sent. */
    @FunctionalInterface
    interface SendCheck {

        /**
         * Returns the reason why the request must not be sent. If the result is empty, the first byte is sent at once.
         */
        Optional<Failure> refusal();
    }
}
