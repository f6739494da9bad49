package org.tanagermoor.gateway;

import java.time.Duration;
import org.tanagermoor.gateway.edge.Edge;

/**
 * The schedule of a planned stop, as times from its beginning.
 *
 * @param handsOverAfter When jobs are handed over; running items have had time to end by then.
 * @param acceptsFor How long requests are accepted if they can be completed in time: while callers may still use the
 *     address of the instance.
 * @param answersUntil The time within which all answers end.
 * @param end The time within which the last answers are written; then the process ends.
 */
record StopSchedule(Duration handsOverAfter, Duration acceptsFor, Duration answersUntil, Duration end) {

    /** The maximum time that is reserved for ending the process. */
    private static final Duration MAX_END_MARGIN = Duration.ofMillis(800);

    /**
     * The fraction of the grace that is reserved for ending the process. A request that arrived before the stop and
     * runs longer than the grace may be cut only shortly before the process is killed.
     */
    private static final int END_MARGIN_DIVISOR = 10;

    /** The maximum time for which the last answers are written. */
    private static final Duration MAX_WRITE_TIME = Duration.ofMillis(100);

    /** The fraction of the time until the end for which the last answers are written. */
    private static final int WRITE_TIME_DIVISOR = 10;

    /** The maximum time after which jobs are handed over. */
    private static final Duration MAX_HAND_OVER_DELAY = Duration.ofMillis(3_500);

    /**
     * Returns the schedule for a grace.
     *
     * @param grace The time after which a process that was told to stop is killed.
     * @return The schedule.
     */
    static StopSchedule of(Duration grace) {
        Duration end = grace.minus(min(MAX_END_MARGIN, grace.dividedBy(END_MARGIN_DIVISOR)));
        Duration answersUntil = end.minus(min(MAX_WRITE_TIME, end.dividedBy(WRITE_TIME_DIVISOR)));
        return new StopSchedule(
                min(MAX_HAND_OVER_DELAY, end.dividedBy(2)),
                min(Edge.ADDRESS_LIFETIME, answersUntil),
                answersUntil,
                end);
    }

    /**
     * Returns whether the process must end.
     *
     * @param elapsedNanos The time since the beginning of the stop, in nanoseconds.
     */
    boolean over(long elapsedNanos) {
        return elapsedNanos >= end.toNanos();
    }

    private static Duration min(Duration left, Duration right) {
        return left.compareTo(right) <= 0 ? left : right;
    }
}
