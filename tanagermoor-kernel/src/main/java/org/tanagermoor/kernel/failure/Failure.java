package org.tanagermoor.kernel.failure;

/**
 * A failure of a request or of a step of it, with the step and the peer at which it occurred.
 *
 * @param kind The kind of failure.
 * @param step The step that failed, for example {@code table.commit}.
 * @param peer The address or name of the other side, or {@link #LOCAL} when no other side was involved.
 * @param detail A sentence for people.
 * @param execution Whether the request may have been executed despite the failure.
 */
public record Failure(Kind kind, String step, String peer, String detail, Execution execution) {

    /** The peer of failures that occurred within this process. */
    public static final String LOCAL = "local";

    /**
     * Returns a failure of a request that was certainly not executed.
     *
     * @param kind The kind of failure.
     * @param step The step that failed.
     * @param peer The address or name of the other side, or {@link #LOCAL}.
     * @param detail A sentence for people.
     * @return A failure whose execution is {@link Execution#NOT_RUN}.
     */
    public static Failure notRun(Kind kind, String step, String peer, String detail) {
        return new Failure(kind, step, peer, detail, Execution.NOT_RUN);
    }

    /**
     * Returns a failure of a request that may have been executed.
     *
     * @param kind The kind of failure.
     * @param step The step that failed.
     * @param peer The address or name of the other side, or {@link #LOCAL}.
     * @param detail A sentence for people.
     * @return A failure whose execution is {@link Execution#UNKNOWN}.
     */
    public static Failure unknown(Kind kind, String step, String peer, String detail) {
        return new Failure(kind, step, peer, detail, Execution.UNKNOWN);
    }

    /**
     * Returns this failure with another execution state.
     *
     * @return A failure that is otherwise equal to this one.
     */
    public Failure withExecution(Execution value) {
        return new Failure(kind, step, peer, detail, value);
    }

    /**
     * Returns this failure with another step.
     *
     * @return A failure that is otherwise equal to this one.
     */
    public Failure withStep(String value) {
        return new Failure(kind, value, peer, detail, execution);
    }

    /**
     * Returns an exception that carries this failure, for libraries that accept only exceptions.
     *
     * @return The exception, without a stack trace.
     */
    public FailureException asException() {
        return new FailureException(this);
    }

    /** The kinds of failure, which determine the status that a caller receives. */
    public enum Kind {

        /** The message or a setting is malformed. */
        INVALID,

        /** The key is missing, unknown or withdrawn. */
        UNAUTHENTICATED,

        /** The caller's team may not do this. */
        FORBIDDEN,

        /** The named object does not exist. */
        NOT_FOUND,

        /** The current state differs from the state on which the request was based. */
        CONFLICT,

        /** The message exceeds a size limit. */
        TOO_LARGE,

        /** A rate or burst limit is exhausted. */
        RATE_LIMITED,

        /** No capacity becomes available within the deadline. */
        OVERLOADED,

        /** The other side, or a dependency of the request, is unreachable or temporarily refuses work. */
        UNAVAILABLE,

        /** This instance has no standing and takes no new work. */
        NO_STANDING,

        /** No answer came in time. */
        TIMEOUT,

        /** The answer was truncated, belongs to another request or is otherwise not the complete answer to this one. */
        CORRUPT,

        /** The request was cancelled before it completed. */
        CANCELLED,

        /** A defect in this process. */
        INTERNAL
    }
}
