package org.tanagermoor.gateway.job;

import java.util.concurrent.TimeUnit;
import org.tanagermoor.gateway.dispatch.Work;

/**
 * Estimates how long items of jobs run, from the items that ran on this instance. The estimate tells by when an item
 * must get a place to complete in time, and which fraction of its work remains. When there are more items than places,
 * those that can still complete in time and need the least time go first. Not thread-safe.
 */
public final class ItemPace {

    /** Assumed number of events of an item before any item has completed: that of a long answer. */
    private static final double INITIAL_EVENTS = 250;

    /** Assumed time between two events before any run was observed, in nanoseconds: that of a busy engine. */
    private static final double INITIAL_EVENT_NANOS = TimeUnit.MILLISECONDS.toNanos(24);

    /** Weight of a new observation in the moving averages. */
    private static final double OBSERVATION_WEIGHT = 0.1;

    /**
     * Minimum number of events of a run that is used to estimate the time between events: one second of a typical
     * engine.
     */
    private static final long MIN_RUN_EVENTS = 40;

    /** Minimum fraction of the work that is assumed to remain for an item that has not completed. */
    private static final double MIN_REMAINING_FRACTION = 0.1;

    /** Moving average of the number of events of an item. */
    private double meanEvents = INITIAL_EVENTS;

    /** Moving average of the time between two events, in nanoseconds. */
    private double meanEventNanos = INITIAL_EVENT_NANOS;

    private ItemPace() {}

    /** Returns an estimator without observations, which starts from assumed values. */
    public static ItemPace of() {
        return new ItemPace();
    }

    /**
     * Observes an item that has completed.
     *
     * @param eventCount The number of its events, over all of its runs.
     */
    void recordEnd(long eventCount) {
        meanEvents += OBSERVATION_WEIGHT * (eventCount - meanEvents);
    }

    /**
     * Observes a run, whether it completed or was interrupted.
     *
     * @param eventCount The number of its events. A run with few events is ignored, since it says little about the time
     *     between events.
     * @param nanos The duration of the run in nanoseconds.
     */
    void recordRun(long eventCount, long nanos) {
        if (eventCount >= MIN_RUN_EVENTS) {
            meanEventNanos += OBSERVATION_WEIGHT * ((double) nanos / eventCount - meanEventNanos);
        }
    }

    /**
     * Estimates the remaining work of an item.
     *
     * @param lastEvent The number of the last event that the item has produced; 0 if it has not started.
     * @return The remaining running time and the remaining fraction of the work.
     */
    Work remaining(long lastEvent) {
        double fraction = Math.max(MIN_REMAINING_FRACTION, 1 - lastEvent / meanEvents);
        return Work.of((long) (fraction * meanEvents * meanEventNanos), fraction);
    }
}
