package org.tanagermoor.standin.platform;

import java.util.concurrent.TimeUnit;

/** Counts calls in total and in each second. Safe for use by several threads. */
final class SecondCounter {

    /** The calls in total. */
    private long total;

    /** The second that is counted now, in seconds of the monotonic time. */
    private long second;

    /** The calls in the second that is counted now. */
    private long current;

    /** The calls in the second before it. */
    private long last;

    /** The most calls in any second that has ended. */
    private long peak;

    /**
     * Counts a call.
     *
     * @param now The present monotonic time in nanoseconds.
     */
    synchronized void count(long now) {
        advance(now);
        total++;
        current++;
    }

    /**
     * Returns the counts.
     *
     * @param now The present monotonic time in nanoseconds.
     * @return The counts.
     */
    synchronized Counts counts(long now) {
        advance(now);
        return new Counts(total, last, Math.max(peak, current));
    }

    /**
     * Returns the calls in total.
     *
     * @return The calls in total.
     */
    synchronized long total() {
        return total;
    }

    /**
     * Begins a new second if the time has come.
     *
     * @param now The present monotonic time in nanoseconds.
     */
    private void advance(long now) {
        long present = Math.floorDiv(now, TimeUnit.SECONDS.toNanos(1));
        if (present == second) {
            return;
        }
        peak = Math.max(peak, current);
        last = present == second + 1 ? current : 0;
        current = 0;
        second = present;
    }

    /**
     * The counts of one kind of call.
     *
     * @param total The calls since the start.
     * @param last The calls in the last whole second.
     * @param peak The most calls in any one second.
     */
    record Counts(long total, long last, long peak) {}
}
