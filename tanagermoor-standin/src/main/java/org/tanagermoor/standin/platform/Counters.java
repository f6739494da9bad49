package org.tanagermoor.standin.platform;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import org.tanagermoor.http.Json;

/** The counters of the stand-in. */
final class Counters {

    /** The counter of reads. */
    private final SecondCounter reads = new SecondCounter();

    /** The counter of writes. */
    private final SecondCounter writes = new SecondCounter();

    /** The counter of refusals, by fault or by rate. */
    private final SecondCounter refusals = new SecondCounter();

    /** The counters of the calls that were not refused, by operation. */
    private final Map<Operation, SecondCounter> operations = new ConcurrentSkipListMap<>();

    /** Creates counters at zero. */
    Counters() {
        for (Operation operation : Operation.values()) {
            operations.put(operation, new SecondCounter());
        }
    }

    /**
     * Counts a call that is carried out.
     *
     * @param operation The operation.
     * @param now The present monotonic time in nanoseconds.
     */
    void accepted(Operation operation, long now) {
        (operation.write() ? writes : reads).count(now);
        operations.computeIfAbsent(operation, absent -> new SecondCounter()).count(now);
    }

    /**
     * Returns the total of calls that were carried out.
     *
     * @param operation The operation.
     * @return The number of calls since the start.
     */
    long total(Operation operation) {
        return operations
                .computeIfAbsent(operation, absent -> new SecondCounter())
                .total();
    }

    /**
     * Counts a call that is refused.
     *
     * @param now The present monotonic time in nanoseconds.
     */
    void refused(long now) {
        refusals.count(now);
    }

    /**
     * Returns the counts as JSON.
     *
     * @param now The present monotonic time in nanoseconds.
     * @return The counts.
     */
    ObjectNode toJson(long now) {
        ObjectNode result = Json.mapper().createObjectNode();
        write(result.putObject("reads"), reads, now);
        write(result.putObject("writes"), writes, now);
        write(result.putObject("refusals"), refusals, now);
        ObjectNode byOperation = result.putObject("operations");
        operations.forEach((operation, counter) -> write(byOperation.putObject(operation.label()), counter, now));
        return result;
    }

    /**
     * Writes counts.
     *
     * @param node Receives the counts.
     * @param counter The counter.
     * @param now The present monotonic time in nanoseconds.
     */
    private static void write(ObjectNode node, SecondCounter counter, long now) {
        SecondCounter.Counts counts = counter.counts(now);
        node.put("total", counts.total()).put("last_second", counts.last()).put("peak_second", counts.peak());
    }
}
