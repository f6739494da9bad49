package org.tanagermoor.online.admission;

import io.vavr.control.Either;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.kernel.failure.FailureException;
import reactor.core.publisher.Mono;

/** Converts between failures as values and failures as errors of reactive streams. */
public final class Failures {

    private Failures() {}

    /**
     * Returns a value, or a stream that ends with the failure as its error.
     *
     * @param <T> The type of the value.
     * @param result The value or the failure.
     * @return Emits the value, or ends with the failure.
     */
    public static <T> Mono<T> orError(Either<Failure, T> result) {
        return result.fold(failure -> Mono.error(failure.asException()), Mono::just);
    }

    /**
     * Returns the failure that an error carries.
     *
     * @param error The error.
     * @return The failure; of kind {@link Failure.Kind#INTERNAL} if the error carries none, as that is a defect.
     */
    public static Failure of(Throwable error) {
        return error instanceof FailureException failureException
                ? failureException.failure()
                : Failure.unknown(
                        Failure.Kind.INTERNAL,
                        "online.request",
                        Failure.LOCAL,
                        "a defect: " + error.getClass().getSimpleName());
    }
}
