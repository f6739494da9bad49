package org.tanagermoor.batch.store;

import io.vavr.control.Either;
import java.util.function.Function;
import org.tanagermoor.kernel.failure.Failure;
import reactor.core.publisher.Mono;

/** Joins asynchronous steps whose errors are values. */
public final class AsyncResults {

    /** There are no instances. */
    private AsyncResults() {}

    /**
     * Does a step after another that succeeded.
     *
     * @param <A> The type of the first result.
     * @param <B> The type of the second result.
     * @param first The first step.
     * @param next Returns the second step.
     * @return The result of the second step, or the failure of either.
     */
    public static <A, B> Mono<Either<Failure, B>> then(
            Mono<Either<Failure, A>> first, Function<A, Mono<Either<Failure, B>>> next) {
        return first.flatMap(result -> result.fold(failure -> Mono.just(Either.left(failure)), next));
    }

    /**
     * Returns a result at once.
     *
     * @param <A> The type of the result.
     * @param value The result.
     * @return The result.
     */
    public static <A> Mono<Either<Failure, A>> right(A value) {
        return Mono.just(Either.right(value));
    }

    /**
     * Returns a failure at once.
     *
     * @param <A> The type of the result.
     * @param failure The failure.
     * @return The failure.
     */
    public static <A> Mono<Either<Failure, A>> left(Failure failure) {
        return Mono.just(Either.left(failure));
    }
}
