package org.tanagermoor.policy.retry;

import org.tanagermoor.kernel.failure.Execution;
import org.tanagermoor.kernel.failure.Failure;

/** Decides whether a failed attempt may be followed by another one, on another target and a new connection. */
public final class RetryDecision {

    /** The most attempts of one request. */
    public static final int MAX_ATTEMPTS = 3;

    /** There are no instances. */
    private RetryDecision() {}

    /**
     * Returns whether another attempt may be made, as far as correctness goes; the budget is asked besides.
     *
     * @param failure How the attempt failed.
     * @param idempotent Whether the request may be repeated.
     * @param answered Whether a byte of the answer went to the caller.
     * @param attempts The attempts that were made.
     */
    public static boolean allows(Failure failure, boolean idempotent, boolean answered, int attempts) {
        if (answered || attempts >= MAX_ATTEMPTS) {
            return false;
        }
        return isPassing(failure.kind()) && (idempotent || failure.execution() == Execution.NOT_RUN);
    }

    /**
     * Returns the execution state of a request after two attempts.
     *
     * @param earlier The state after the earlier attempt.
     * @param later The state after the later attempt.
     * @return {@link Execution#NOT_RUN} only if neither attempt can have been executed.
     */
    public static Execution combined(Execution earlier, Execution later) {
        return earlier == Execution.NOT_RUN ? later : Execution.UNKNOWN;
    }

    /** Returns whether another target may answer where one failed like this. */
    private static boolean isPassing(Failure.Kind kind) {
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
