package org.tanagermoor.gateway.dispatch;

import java.util.Optional;

/**
 * How a target answered in one run of a request.
 *
 * @param failedAnswer Whether it answered with a failure.
 * @param firstEventNanos The time from the request to the first event, or to the head of an answer without events, in
 *     nanoseconds; 0 if it is unknown.
 * @param events The number of events.
 * @param runNanos The time from the request to the end of the run, in nanoseconds; 0 if no request was sent or it is
 *     unknown.
 * @param load The load that the target stated last; empty if it stated none.
 */
public record RunAnswer(
        boolean failedAnswer, long firstEventNanos, long events, long runNanos, Optional<LoadReport> load) {

    /** The answer of a run of which nothing is known. */
    public static final RunAnswer NONE = new RunAnswer(false, 0, 0, 0, Optional.empty());

    /** Returns whether a request is known to have been sent to the target. */
    public boolean sent() {
        return runNanos > 0;
    }

    /** Returns the mean time between two events in nanoseconds; 0 if it is unknown. */
    public long nanosPerEvent() {
        return firstEventNanos == 0 || events < 2 ? 0 : Math.max(0, runNanos - firstEventNanos) / (events - 1);
    }
}
