package org.tanagermoor.gateway.edge;

/** The end of the time for which an instance serves, by which it decides which requests it can still complete. */
public sealed interface ServingEnd {

    /**
     * Returns whether a request is certain to be answered before the end.
     *
     * @param maxNanos The longest time that the answer may take, in nanoseconds.
     * @param now The current monotonic time in nanoseconds.
     * @return Whether the instance serves for at least that long.
     */
    default boolean admits(long maxNanos, long now) {
        return switch (this) {
            case Open open -> true;
            case Planned planned -> maxNanos <= planned.atNanos() - now;
        };
    }

    /** The end of an instance that has not been told to stop. */
    record Open() implements ServingEnd {}

    /**
     * The end of a planned stop.
     *
     * @param atNanos The monotonic time in nanoseconds by which all answers must have been sent.
     */
    record Planned(long atNanos) implements ServingEnd {}
}
