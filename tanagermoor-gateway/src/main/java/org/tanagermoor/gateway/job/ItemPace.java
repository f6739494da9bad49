package org.tanagermoor.gateway.job;

import java.util.concurrent.TimeUnit;

/**
 * How long items of jobs run, from those that ran here. It tells by when an item must have a place to end in time, so
 * that on days with more items than places those that can still be in time go first. Not safe for use by several
 * threads.
 */
public final class ItemPace {

    /** The time that an item runs before one was seen, in nanoseconds: a long answer at a busy engine. */
    private static final long FIRST_NANOS = TimeUnit.SECONDS.toNanos(6);

    /** The weight of a new observation in the means. */
    private static final double WEIGHT = 0.1;

    /** The least part of the work that is left of an item that has not ended. */
    private static final double LEFT_LEAST = 0.1;

    /** The mean number of events of an item; 0 before one was seen. */
    private double events;

    /** The mean time between two events in nanoseconds. */
    private double eventNanos;

    /** Creates a pace without observations. */
    private ItemPace() {}

    /** Returns a pace without observations. */
    public static ItemPace of() {
        return new ItemPace();
    }

    /**
     * Takes in an item that ran to its end without a break.
     *
     * @param count The number of its events.
     * @param nanos The time that it ran, in nanoseconds.
     */
    void ended(long count, long nanos) {
        if (count <= 0) {
            return;
        }
        double each = (double) nanos / count;
        events = events == 0 ? count : events + WEIGHT * (count - events);
        eventNanos = eventNanos == 0 ? each : eventNanos + WEIGHT * (each - eventNanos);
    }

    /**
     * Returns how long an item is expected to run on.
     *
     * @param lastEvent The number of the last event that it has produced; 0 if it has not begun.
     * @return The time in nanoseconds.
     */
    long nanosLeft(long lastEvent) {
        if (events == 0) {
            return FIRST_NANOS;
        }
        double left = Math.max(LEFT_LEAST, 1 - lastEvent / events);
        return (long) (left * events * eventNanos);
    }
}
