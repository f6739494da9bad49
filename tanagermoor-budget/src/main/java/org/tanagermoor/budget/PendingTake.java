package org.tanagermoor.budget;

import io.vavr.control.Either;
import org.tanagermoor.kernel.failure.Failure;
import reactor.core.publisher.MonoSink;

/**
 * A request of this instance that waits for an amount from a budget. Compared by identity.
 *
 * @param budget The name of the budget.
 * @param amount The amount to take.
 * @param deadline The latest monotonic time in nanoseconds at which a result is of use.
 * @param sink Receives the amount or the failure.
 */
record PendingTake(String budget, double amount, long deadline, MonoSink<Either<Failure, Double>> sink) {

    /** Completes the request with its amount. */
    void succeed() {
        sink.success(Either.right(amount));
    }

    /** Completes the request with a failure. */
    void fail(Failure failure) {
        sink.success(Either.left(failure));
    }

    /** {@inheritDoc} */
    @Override
    public boolean equals(Object other) {
        return this == other;
    }

    /** {@inheritDoc} */
    @Override
    public int hashCode() {
        return System.identityHashCode(this);
    }
}
