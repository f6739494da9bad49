package org.tanagermoor.target.lease;

import io.vavr.control.Either;
import org.tanagermoor.kernel.failure.Failure;
import reactor.core.publisher.Mono;

/** Leases permits of targets to the requests of this instance. */
public interface Targets {

    /**
     * Waits for a permit of one of the targets of a service.
     *
     * @return A permit, which must be released, or a failure: of kind {@link Failure.Kind#OVERLOADED} if the deadline
     *     cannot be met, of kind {@link Failure.Kind#UNAVAILABLE} if no target may be used, or of kind {@link
     *     Failure.Kind#NO_STANDING}.
     */
    Mono<Either<Failure, TargetLease>> lease(LeaseRequest request);

    /**
     * Records what a target reported about itself with an answer, so that a cold start is detected at once.
     *
     * @param lease The permit with which the request was sent.
     * @param startMark The start mark of the target, which changes with each start, or an empty string if the target
     *     sent none.
     * @param firstTokenNanos The time to the first token in nanoseconds, or a negative number if it is unknown.
     */
    void observe(TargetLease lease, String startMark, long firstTokenNanos);
}
