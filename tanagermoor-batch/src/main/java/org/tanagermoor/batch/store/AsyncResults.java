package org.tanagermoor.batch.store;

import io.vavr.control.Either;
import java.util.function.Function;
import org.tanagermoor.kernel.failure.Failure;
import reactor.core.publisher.Mono;

/** Combines asynchronous steps that return their failures as values. */
public final class AsyncResults {

    private AsyncResults() {}

    /**
     * Runs a step after another one has succeeded.
     *
     * @param <A> The type of the first result.
     * @param <B> The type of the second result.
     * @param first The first step.
     * @param next Creates the second step from the result of the first.
     * @return The result of the second step, or the failure of either.
     */
    public static <A, B> Mono<Either<Failure, B>> then(
            Mono<Either<Failure, A>> first, Function<A, Mono<Either<Failure, B>>> next) {
        return first.flatMap(result -> result.fold(failure -> Mono.just(Either.left(failure)), next));
    }

    /**
     * Returns an immediate success.
     *
     * @param <A> The type of the result.
     */
    public static <A> Mono<Either<Failure, A>> right(A value) {
        return Mono.just(Either.right(value));
    }

    /**
     * Returns an immediate failure.
     *
     * @param <A> The type of the result.
     */
    public static <A> Mono<Either<Failure, A>> left(Failure failure) {
        return Mono.just(Either.left(failure));
    }
}
