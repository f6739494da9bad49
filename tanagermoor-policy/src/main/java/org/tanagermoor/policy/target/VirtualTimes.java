package org.tanagermoor.policy.target;

import java.util.HashMap;
import java.util.Map;

/**
 * The virtual times of start-time fair queueing. Designed for flows of which one asks for several times its share: each
 * flow is served in proportion to its weight while requests wait, and what others do not use goes to those that ask for
 * more. Not thread-safe.
 *
 * @param <K> The type of the flows.
 */
public final class VirtualTimes<K> {

    /** The number of flows from which those that no longer matter are dropped. */
    private static final int PRUNE_SIZE = 1_024;

    /** The virtual finish time of the last request of each flow. */
    private final Map<K, Double> lastFinishes = new HashMap<>();

    /** The number of requests of an idle flow that are served as if they had arrived earlier. */
    private final double burst;

    /** The virtual start time of the request that was served last. */
    private double now;

    private VirtualTimes(double burst) {
        this.burst = burst;
    }

    /**
     * Returns virtual times without any request.
     *
     * @param <F> The type of the flows.
     */
    public static <F> VirtualTimes<F> of() {
        return new VirtualTimes<>(0);
    }

    /**
     * Returns virtual times without any request, in which a flow that has been idle may catch up with a few requests. A
     * flow with a small weight, whose requests seldom come evenly, would otherwise wait long for its second one.
     *
     * @param <F> The type of the flows.
     * @param burst The number of requests.
     */
    public static <F> VirtualTimes<F> ofBurst(double burst) {
        return new VirtualTimes<>(burst);
    }

    /**
     * Adds a request to a flow.
     *
     * @param flow The flow.
     * @param cost The cost of the request divided by the weight of the flow, above 0.
     * @return The virtual start time of the request; requests are served in the ascending order of these.
     */
    public double add(K flow, double cost) {
        double start = start(flow, cost);
        lastFinishes.put(flow, start + cost);
        if (lastFinishes.size() > PRUNE_SIZE) {
            lastFinishes.values().removeIf(finish -> finish <= now - burst * cost);
        }
        return start;
    }

    /**
     * Returns the virtual start time that the next request of a flow would get.
     *
     * @param flow The flow.
     * @param cost The cost of the request divided by the weight of the flow, above 0.
     */
    public double start(K flow, double cost) {
        return Math.max(now - burst * cost, lastFinishes.getOrDefault(flow, Double.NEGATIVE_INFINITY));
    }

    /** Records that a request with the given virtual start time is served. */
    public void served(double start) {
        now = Math.max(now, start);
    }

    /**
     * Records that any request of a flow is not served: the next requests of the flow start earlier by its cost.
     *
     * @param flow The flow.
     * @param cost The cost with which the request was added.
     */
    public void regained(K flow, double cost) {
        lastFinishes.computeIfPresent(flow, (name, finish) -> finish - cost);
    }

    /**
     * Changes the weight of a flow. What it has been charged beyond the present virtual time is charged at the new
     * weight.
     *
     * @param flow The flow.
     * @param factor The new cost of a request relative to the old one.
     */
    public void rescaled(K flow, double factor) {
        lastFinishes.computeIfPresent(flow, (name, finish) -> finish <= now ? finish : now + factor * (finish - now));
    }

    /**
     * Records that a request is not served. If it was the last one of its flow, the flow regains its virtual time.
     *
     * @param flow The flow.
     * @param start The virtual start time of the request.
     * @param cost The cost with which it was added.
     */
    public void withdrawn(K flow, double start, double cost) {
        lastFinishes.replace(flow, start + cost, start);
    }
}
