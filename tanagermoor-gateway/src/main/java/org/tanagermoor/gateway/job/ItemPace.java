package org.tanagermoor.gateway.job;

import java.util.concurrent.TimeUnit;
import org.tanagermoor.gateway.dispatch.Work;

/**
 * How long items of jobs run, from those that ran here. It tells by when an item must have a place to end in time, and
 * how much of its work is left, so that with more items than places those go first that can still end in time and need
 * least. Not safe for use by several
 * threads.
 */
public final class ItemPace {

    /** The number of events of an item before one was seen: a long answer. */
    private static final double EVENTS_FIRST = 250;

    /** The time between two events before any was seen, in nanoseconds: that of a busy engine. */
    private static final double EVENT_NANOS_FIRST = TimeUnit.MILLISECONDS.toNanos(24);

    /** The weight of a new observation in the means. */
    private static final double WEIGHT = 0.1;

    /** The events from which a run says something about the time between two of them: a second of a usual engine. */
    private static final long RUN_EVENTS_LEAST = 40;

    /** The least part of the work that is left of an item that has not ended. */
    private static final double LEFT_LEAST = 0.1;

    /** The mean number of events of an item. */
    private double events = EVENTS_FIRST;

    /** The mean time between two events in nanoseconds. */
    private double eventNanos = EVENT_NANOS_FIRST;

    /** Creates a pace without observations. */
    private ItemPace() {}

    /** Returns a pace without observations. */
    public static ItemPace of() {
        return new ItemPace();
    }

    /**
     * Takes in an item that has ended.
     *
     * @param count The number of its events, over all of its runs.
     */
    void ended(long count) {
        events += WEIGHT * (count - events);
    }

    /**
     * Takes in a run, also one that was cut.
     *
     * @param count The number of its events; a run with few of them says little and is left out.
     * @param nanos The time that it took, in nanoseconds.
     */
    void ran(long count, long nanos) {
        if (count >= RUN_EVENTS_LEAST) {
            eventNanos += WEIGHT * ((double) nanos / count - eventNanos);
        }
    }

    /**
     * Returns the work that is left of an item.
     *
     * @param lastEvent The number of the last event that it has produced; 0 if it has not begun.
     * @return The work.
     */
    Work left(long lastEvent) {
        double part = Math.max(LEFT_LEAST, 1 - lastEvent / events);
        return Work.of((long) (part * events * eventNanos), part);
    }
}
