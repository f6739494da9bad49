package org.tanagermoor.batch;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;

/**
 * The metrics of batch jobs on one instance.
 *
 * @param itemsRun Counts the items that got an outcome from a run.
 * @param itemsReturned Counts the runs that ended without an outcome, mostly because their permit was recalled.
 * @param chunksLent Counts the chunks that this instance lent as steward.
 * @param chunksRecorded Counts the result objects that this instance recorded as steward.
 * @param chunksLentAgain Counts the leases that expired, so that their items are lent again.
 * @param resultsWaiting The number of finished chunks of this instance that are not recorded yet.
 * @param tableWrites Counts the commits to the table service.
 * @param tableReads Counts the reads and scans of the table service.
 * @param objectWrites Counts the puts and deletions at the object store.
 * @param objectReads Counts the gets and lists at the object store.
 */
public record BatchMetrics(
        Meter itemsRun,
        Meter itemsReturned,
        Meter chunksLent,
        Meter chunksRecorded,
        Meter chunksLentAgain,
        Counter resultsWaiting,
        Meter tableWrites,
        Meter tableReads,
        Meter objectWrites,
        Meter objectReads) {

    /**
     * Registers the metrics, or returns those that are already registered.
     *
     * @param registry The registry that holds the metrics.
     * @return The metrics in the registry.
     */
    public static BatchMetrics of(MetricRegistry registry) {
        return new BatchMetrics(
                registry.meter("batch.items.run"),
                registry.meter("batch.items.returned"),
                registry.meter("batch.chunks.lent"),
                registry.meter("batch.chunks.recorded"),
                registry.meter("batch.chunks.lent-again"),
                registry.counter("batch.results.waiting"),
                registry.meter("batch.platform.table-writes"),
                registry.meter("batch.platform.table-reads"),
                registry.meter("batch.platform.object-writes"),
                registry.meter("batch.platform.object-reads"));
    }
}
