package org.tanagermoor.kernel.time;

/**
 * A reading of a hybrid logical clock. The order of readings is consistent with causality: an event has a later reading
 * than the events that caused it.
 *
 * @param millis The wall clock part in milliseconds since the epoch.
 * @param counter The logical part, which orders readings of the same millisecond.
 */
public record HybridTimestamp(long millis, int counter) implements Comparable<HybridTimestamp> {

    /** The earliest reading, from which clocks start. */
    public static final HybridTimestamp ZERO = new HybridTimestamp(0, 0);

    /** {@inheritDoc} */
    @Override
    public int compareTo(HybridTimestamp other) {
        int order = Long.compare(millis, other.millis);
        return order == 0 ? Integer.compare(counter, other.counter) : order;
    }
}
