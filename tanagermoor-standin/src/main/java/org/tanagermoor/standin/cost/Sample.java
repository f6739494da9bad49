package org.tanagermoor.standin.cost;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A reading of the metrics of an instance.
 *
 * @param nanos The monotonic time of the reading in nanoseconds.
 * @param processorNanos The processor time of the process so far in nanoseconds.
 * @param linkBytes The bytes that went over the link to other instances so far, both ways.
 * @param heapBytes The heap in use in bytes.
 * @param platformReads The reads of the platform so far.
 * @param platformWrites The writes to the platform so far.
 */
record Sample(
        long nanos, long processorNanos, long linkBytes, long heapBytes, long platformReads, long platformWrites) {

    /**
     * Reads a sample.
     *
     * @param nanos The monotonic time of the reading in nanoseconds.
     * @param metrics The metrics of an instance.
     * @return The sample.
     */
    static Sample of(long nanos, JsonNode metrics) {
        return new Sample(
                nanos,
                metrics.path("process.cpu.nanos").asLong(),
                metrics.path("link.bytes").asLong(),
                metrics.path("process.heap.bytes").asLong(),
                count(metrics, "platform.table.reads") + count(metrics, "platform.object.reads"),
                count(metrics, "platform.table.writes") + count(metrics, "platform.object.writes"));
    }

    /**
     * Returns the count of a metric, whatever its kind.
     *
     * @param metrics The metrics.
     * @param name The name of the metric.
     * @return The count, 0 if there is no such metric.
     */
    private static long count(JsonNode metrics, String name) {
        JsonNode metric = metrics.path(name);
        return metric.isObject() ? metric.path("count").asLong() : metric.asLong();
    }

    /**
     * Returns what was spent since an earlier sample.
     *
     * @param earlier The earlier sample.
     * @return What was spent.
     */
    Cost since(Sample earlier) {
        double seconds = (nanos - earlier.nanos) / 1e9;
        return new Cost(
                100.0 * (processorNanos - earlier.processorNanos) / (nanos - earlier.nanos),
                (linkBytes - earlier.linkBytes) / seconds,
                heapBytes / 1e6,
                (platformReads - earlier.platformReads) / seconds,
                (platformWrites - earlier.platformWrites) / seconds);
    }
}
