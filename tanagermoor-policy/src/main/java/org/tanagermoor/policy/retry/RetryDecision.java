package org.tanagermoor.policy.retry;

import org.tanagermoor.kernel.failure.Execution;
import org.tanagermoor.kernel.failure.Failure;

/** Decides whether a failed attempt may be retried on another target and a new connection. */
public final class RetryDecision {

    /** The maximum number of attempts for one request, including the first. */
    public static final int MAX_ATTEMPTS = 3;

    private RetryDecision() {}

    /**
     * Returns whether a request may be retried without a risk to correctness. The caller checks the retry budget
     * separately.
     *
     * @param failure The failure of the last attempt.
     * @param idempotent Whether executing the request twice is harmless.
     * @param answered Whether any byte of the answer was sent to the caller.
     * @param attempts The number of attempts so far.
     */
    public static boolean allows(Failure failure, boolean idempotent, boolean answered, int attempts) {
        if (answered || attempts >= MAX_ATTEMPTS) {
            return false;
        }
        return isRetryable(failure.kind()) && (idempotent || failure.execution() == Execution.NOT_RUN);
    }

    /**
     * Returns the execution state of a request after two attempts.
     *
     * @return {@link Execution#NOT_RUN} only if neither attempt can have been executed.
     */
    public static Execution combined(Execution earlier, Execution later) {
        return earlier == Execution.NOT_RUN ? later : Execution.UNKNOWN;
    }

    /** Returns whether another target may succeed where one failed in this way. */
    private static boolean isRetryable(Failure.Kind kind) {
        return switch (kind) {
            case OVERLOADED, UNAVAILABLE, TIMEOUT, CORRUPT -> true;
            case INVALID,
                    UNAUTHENTICATED,
                    FORBIDDEN,
                    NOT_FOUND,
                    CONFLICT,
                    TOO_LARGE,
                    RATE_LIMITED,
                    NO_STANDING,
                    CANCELLED,
                    INTERNAL -> false;
        };
    }
}
