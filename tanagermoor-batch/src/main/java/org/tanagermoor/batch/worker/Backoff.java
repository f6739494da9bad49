package org.tanagermoor.batch.worker;

import java.util.concurrent.TimeUnit;

/** A pause that doubles while nothing succeeds. */
final class Backoff {

    /** The shortest pause in nanoseconds. */
    private static final long MIN_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    /** The most times that the pause is doubled. */
    private static final int MAX_DOUBLINGS = 4;

    /** The monotonic time in nanoseconds at which the pause ends. */
    private long pauseEnd;

    /** The pauses since the last success. */
    private int consecutivePauses;

    /**
     * Creates a backoff without a pause.
     *
     * @param now The present monotonic time in nanoseconds.
     */
    Backoff(long now) {
        pauseEnd = now;
    }

    /**
     * Returns whether there is a pause.
     *
     * @param now The present monotonic time in nanoseconds.
     * @return Whether there is a pause.
     */
    boolean backingOff(long now) {
        return now - pauseEnd < 0;
    }

    /**
     * Begins a pause, unless there is one.
     *
     * @param now The present monotonic time in nanoseconds.
     */
    void pause(long now) {
        if (!backingOff(now)) {
            pauseEnd = now + (MIN_PAUSE_NANOS << Math.min(consecutivePauses++, MAX_DOUBLINGS));
        }
    }

    /** Takes a success in. The next pause is the shortest. */
    void reset() {
        consecutivePauses = 0;
    }
}
