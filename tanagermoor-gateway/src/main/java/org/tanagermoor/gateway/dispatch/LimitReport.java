package org.tanagermoor.gateway.dispatch;

import java.util.Collection;
import java.util.List;
import java.util.OptionalDouble;

/**
 * What an answer of a target said about its request limit.
 *
 * @param target The identity of the target.
 * @param startedAtMillis The time of its start in milliseconds, which tells incarnations apart.
 * @param perSecond The requests per second that it takes from all instances together; empty if it named no limit.
 * @param heardAt The monotonic time in nanoseconds at which the head of the answer was received.
 * @param sent The monotonic times in nanoseconds at which the reporting instance has sent requests to the target
 *     recently, if the dispatcher may not know them.
 */
record LimitReport(String target, long startedAtMillis, OptionalDouble perSecond, long heardAt, Collection<Long> sent) {

    /** Creates a report without requests. */
    LimitReport(String target, long startedAtMillis, OptionalDouble perSecond, long heardAt) {
        this(target, startedAtMillis, perSecond, heardAt, List.of());
    }

    /** Returns this report with the times at which requests were sent. */
    LimitReport withSent(Collection<Long> times) {
        return new LimitReport(target, startedAtMillis, perSecond, heardAt, List.copyOf(times));
    }

    /** Returns whether this is about the same incarnation of a target as another report. */
    boolean sameRun(LimitReport other) {
        return target.equals(other.target) && startedAtMillis == other.startedAtMillis;
    }

    /** Returns the limit as text, for the log. */
    String text() {
        return perSecond.isPresent() ? Double.toString(perSecond.getAsDouble()) : "none";
    }
}
