package org.tanagermoor.batch.worker;

import java.util.concurrent.TimeUnit;

/** A pause between attempts that doubles each time until an attempt succeeds. */
final class Backoff {

    /** Length of the first pause after a success, in nanoseconds. */
    private static final long MIN_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    /** Maximum number of times that the pause is doubled. */
    private static final int MAX_DOUBLINGS = 4;

    /** The monotonic time in nanoseconds at which the pause ends. */
    private long pauseEnd;

    /** Number of pauses since the last success. */
    private int consecutivePauses;

    /**
     * Creates a backoff that is not in a pause.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    Backoff(long now) {
        pauseEnd = now;
    }

    /**
     * Returns whether a pause is in progress.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    boolean backingOff(long now) {
        return now - pauseEnd < 0;
    }

    /**
     * Starts a pause, unless one is in progress.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    void pause(long now) {
        if (!backingOff(now)) {
            pauseEnd = now + (MIN_PAUSE_NANOS << Math.min(consecutivePauses++, MAX_DOUBLINGS));
        }
    }

    /** Records a success: the next pause has the minimum length. */
    void reset() {
        consecutivePauses = 0;
    }
}
