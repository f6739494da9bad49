package org.tanagermoor.standin.cost;

import java.util.List;
import java.util.function.ToDoubleFunction;

/**
 * What an instance spends.
 *
 * @param corePercent The processor time in percent of a core.
 * @param linkBytesPerSecond The bytes a second over the link to other instances, both ways.
 * @param heapMegabytes The heap in use in megabytes.
 * @param platformReadsPerSecond The reads of the platform a second.
 * @param platformWritesPerSecond The writes to the platform a second.
 */
record Cost(
        double corePercent,
        double linkBytesPerSecond,
        double heapMegabytes,
        double platformReadsPerSecond,
        double platformWritesPerSecond) {

    /**
     * Returns the mean of costs.
     *
     * @param costs The costs, at least one.
     * @return Their mean.
     */
    static Cost mean(List<Cost> costs) {
        return new Cost(
                mean(costs, Cost::corePercent),
                mean(costs, Cost::linkBytesPerSecond),
                mean(costs, Cost::heapMegabytes),
                mean(costs, Cost::platformReadsPerSecond),
                mean(costs, Cost::platformWritesPerSecond));
    }

    /**
     * Returns the largest of costs, each part by itself.
     *
     * @param costs The costs, at least one.
     * @return The largest.
     */
    static Cost largest(List<Cost> costs) {
        return new Cost(
                largest(costs, Cost::corePercent),
                largest(costs, Cost::linkBytesPerSecond),
                largest(costs, Cost::heapMegabytes),
                largest(costs, Cost::platformReadsPerSecond),
                largest(costs, Cost::platformWritesPerSecond));
    }

    /**
     * Returns the mean of one part.
     *
     * @param costs The costs.
     * @param part The part.
     * @return Its mean.
     */
    private static double mean(List<Cost> costs, ToDoubleFunction<Cost> part) {
        return costs.stream().mapToDouble(part).average().orElse(0);
    }

    /**
     * Returns the largest of one part.
     *
     * @param costs The costs.
     * @param part The part.
     * @return Its largest value.
     */
    private static double largest(List<Cost> costs, ToDoubleFunction<Cost> part) {
        return costs.stream().mapToDouble(part).max().orElse(0);
    }
}
