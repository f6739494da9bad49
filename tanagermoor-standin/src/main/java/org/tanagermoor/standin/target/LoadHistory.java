package org.tanagermoor.standin.target;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/** The load over time, reported with a lag. Safe for use by several threads. */
final class LoadHistory {

    /** The age of what is reported in nanoseconds. */
    private final long lag;

    /** The loads since the one that is reported, oldest first. */
    private final Deque<Sample> samples = new ArrayDeque<>();

    /**
     * Creates a history.
     *
     * @param lag The age of what is reported.
     */
    LoadHistory(Duration lag) {
        this.lag = lag.toNanos();
    }

    /**
     * Notes the load after a change.
     *
     * @param now The present monotonic time in nanoseconds.
     * @param load The load.
     */
    synchronized void record(long now, Engine.Load load) {
        samples.addLast(new Sample(now, load));
        trim(now);
    }

    /**
     * Returns the load as it was before the lag.
     *
     * @param now The present monotonic time in nanoseconds.
     * @return The load, or the oldest one that is known.
     */
    synchronized Engine.Load report(long now) {
        trim(now);
        return samples.getFirst().load();
    }

    /**
     * Drops the loads that are older than the one to report.
     *
     * @param now The present monotonic time in nanoseconds.
     */
    private void trim(long now) {
        while (samples.size() > 1) {
            Sample first = samples.removeFirst();
            if (samples.getFirst().time() - (now - lag) > 0) {
                samples.addFirst(first);
                return;
            }
        }
    }

    /**
     * A load at a time.
     *
     * @param time The monotonic time in nanoseconds.
     * @param load The load.
     */
    private record Sample(long time, Engine.Load load) {}
}
