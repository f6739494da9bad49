package org.tanagermoor.membership;

/**
 * The durations that the membership protocol uses, in nanoseconds.
 *
 * @param window The freshness window.
 * @param interval The time between two reads or pulls of an instance.
 * @param silence The time after which a silent member is removed from the view.
 */
record Timing(long window, long interval, long silence) {

    /** The assumed bound of the drift between two clocks within a window is the window divided by this number. */
    private static final int DRIFT_DIVISOR = 20;

    /** The number of requests for ages within an interval while freshness is late. */
    private static final int LATE_INTERVAL_DIVISOR = 3;

    /**
     * Returns the time that must pass before a change that only a majority has adopted is accepted: the freshness
     * window plus the bound of the drift between clocks.
     */
    long acceptanceWindow() {
        return window + window / DRIFT_DIVISOR;
    }

    /** Returns the age from which freshness counts as late. */
    long late() {
        return window / 2;
    }

    /** Returns the time between two requests for ages while freshness is late. */
    long lateInterval() {
        return interval / LATE_INTERVAL_DIVISOR;
    }
}
