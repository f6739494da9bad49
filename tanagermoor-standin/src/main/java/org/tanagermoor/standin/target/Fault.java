package org.tanagermoor.standin.target;

/**
 * A fault that strikes requests.
 *
 * @param kind The kind.
 * @param stage The step of the request at which it strikes.
 * @param count The number of requests that it strikes.
 * @param after The number of tokens that are sent before it strikes, at {@link Stage#STREAM}.
 * @param delayMillis The delay of a late answer in milliseconds.
 */
public record Fault(Kind kind, Stage stage, int count, int after, long delayMillis) {

    /** The delay of a late answer in milliseconds, where none is given. */
    private static final long DELAY_MILLIS = 1_000;

    /**
     * Returns a fault that strikes one request.
     *
     * @param kind The kind.
     * @param stage The step of the request.
     * @return A fault.
     */
    public static Fault of(Kind kind, Stage stage) {
        return new Fault(kind, stage, 1, 1, DELAY_MILLIS);
    }

    /**
     * Returns this fault for another number of requests.
     *
     * @param value The number of requests.
     * @return A fault that is otherwise equal to this one.
     */
    public Fault withCount(int value) {
        return new Fault(kind, stage, value, after, delayMillis);
    }

    /**
     * Returns this fault with another delay of a late answer.
     *
     * @param value The delay in milliseconds.
     * @return A fault that is otherwise equal to this one.
     */
    public Fault withDelayMillis(long value) {
        return new Fault(kind, stage, count, after, value);
    }

    /** The kinds of faults. */
    public enum Kind {

        /** The connection is reset. */
        RESET,

        /** Nothing is sent any more, while the connection stays open. */
        SILENCE,

        /** The connection is closed in order before the answer is whole. */
        TRUNCATION,

        /** The answer carries the identity of another exchange. */
        CROSSED,

        /** The answer comes late. */
        LATE,

        /** The target turns cold without warning. */
        COLD,

        /** The target stops to listen and resets all connections. */
        GONE
    }

    /** The steps of a request. */
    public enum Stage {

        /** The connection was accepted. */
        CONNECT,

        /** The request was received and is not executed. */
        RECEIVED,

        /** The request was executed and its answer has not begun. */
        EXECUTED,

        /** A part of the answer was sent. */
        STREAM,

        /** All of the answer but its last part was sent. */
        LAST
    }
}
