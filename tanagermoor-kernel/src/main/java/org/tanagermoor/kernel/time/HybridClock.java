package org.tanagermoor.kernel.time;

import java.util.concurrent.atomic.AtomicReference;

/**
 * A hybrid logical clock: its readings follow the wall clock, but are later than all readings that were received in
 * messages before. It is thread-safe.
 */
public final class HybridClock {

    /** The latest reading that was returned or observed. */
    private final AtomicReference<HybridTimestamp> last = new AtomicReference<>(HybridTimestamp.ZERO);

    /**
     * Returns a new reading for a local event.
     *
     * @param wallMillis The current wall clock time in milliseconds since the epoch.
     * @return A reading later than all earlier ones of this clock.
     */
    public HybridTimestamp next(long wallMillis) {
        return last.updateAndGet(previous -> successor(previous, wallMillis));
    }

    /**
     * Observes a reading of another process, so that all further readings of this clock are later.
     *
     * @param remote The reading that a message carried.
     * @param wallMillis The current wall clock time in milliseconds since the epoch.
     * @return A reading later than both {@code remote} and all earlier readings of this clock.
     */
    public HybridTimestamp observe(HybridTimestamp remote, long wallMillis) {
        return last.updateAndGet(
                previous -> successor(previous.compareTo(remote) >= 0 ? previous : remote, wallMillis));
    }

    /**
     * Returns the earliest reading that is later than another and not before the wall clock time.
     *
     * @param previous The reading that must be exceeded.
     * @param wallMillis The current wall clock time in milliseconds since the epoch.
     */
    private static HybridTimestamp successor(HybridTimestamp previous, long wallMillis) {
        return wallMillis > previous.millis()
                ? new HybridTimestamp(wallMillis, 0)
                : new HybridTimestamp(previous.millis(), previous.counter() + 1);
    }
}
