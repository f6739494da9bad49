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

    /** The virtual start time of the request that was served last. */
    private double now;

    private VirtualTimes() {}

    /**
     * Returns virtual times without any request.
     *
     * @param <F> The type of the flows.
     */
    public static <F> VirtualTimes<F> of() {
        return new VirtualTimes<>();
    }

    /**
     * Adds a request to a flow.
     *
     * @param flow The flow.
     * @param cost The cost of the request divided by the weight of the flow, above 0.
     * @return The virtual start time of the request; requests are served in the ascending order of these.
     */
    public double add(K flow, double cost) {
        double start = start(flow);
        lastFinishes.put(flow, start + cost);
        if (lastFinishes.size() > PRUNE_SIZE) {
            lastFinishes.values().removeIf(finish -> finish <= now);
        }
        return start;
    }

    /** Returns the virtual start time that the next request of a flow would get. */
    public double start(K flow) {
        return Math.max(now, lastFinishes.getOrDefault(flow, 0.0));
    }

    /** Records that a request with the given virtual start time is served. */
    public void served(double start) {
        now = Math.max(now, start);
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
