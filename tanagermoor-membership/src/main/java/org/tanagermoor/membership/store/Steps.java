package org.tanagermoor.membership.store;

import io.vavr.control.Either;
import java.util.function.Function;
import org.tanagermoor.kernel.failure.Failure;
import reactor.core.publisher.Mono;

/** Chains asynchronous steps that may fail. */
public final class Steps {

    private Steps() {}

    /**
     * Chains two steps; the second does not run if the first fails.
     *
     * @param <A> The type of the result of the first step.
     * @param <B> The type of the result of the second step.
     * @param second Creates the second step from the result of the first.
     * @return The result of the second step, or the first failure.
     */
    public static <A, B> Mono<Either<Failure, B>> then(
            Mono<Either<Failure, A>> first, Function<A, Mono<Either<Failure, B>>> second) {
        return first.flatMap(result -> result.isLeft() ? failed(result.getLeft()) : second.apply(result.get()));
    }

    /**
     * Returns a step that fails.
     *
     * @param <T> The type of the result that a successful step would have.
     */
    public static <T> Mono<Either<Failure, T>> failed(Failure failure) {
        return Mono.just(Either.left(failure));
    }

    /**
     * Returns a step that has succeeded with a result.
     *
     * @param <T> The type of the result.
     */
    public static <T> Mono<Either<Failure, T>> succeeded(T result) {
        return Mono.just(Either.right(result));
    }
}
