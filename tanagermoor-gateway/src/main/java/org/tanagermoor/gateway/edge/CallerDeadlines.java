package org.tanagermoor.gateway.edge;

import java.util.HashMap;
import java.util.Map;

/**
 * The longest deadline that callers of each route have sent, by which retries are recognized: a caller that retries
 * after a refusal has less time left than at its first attempt. Confined to the event loop.
 */
public final class CallerDeadlines {

    /**
     * A caller with less than this fraction of the longest deadline has spent some of its time; clocks and links
     * jitter.
     */
    private static final double FULL_DEADLINE_FRACTION = 0.97;

    /** By the name of the route, in milliseconds. */
    private final Map<String, Long> longestMillis = new HashMap<>();

    private CallerDeadlines() {}

    /** Returns an empty collection of deadlines. */
    public static CallerDeadlines of() {
        return new CallerDeadlines();
    }

    /**
     * Records a deadline, and returns whether its caller is retrying.
     *
     * @param route The name of the route.
     * @param deadlineMillis How long the caller waits, in milliseconds; 0 if it does not say.
     * @return Whether the caller has already spent some of its time at an earlier attempt.
     */
    public boolean retrying(String route, long deadlineMillis) {
        long maxMillis = longestMillis.merge(route, deadlineMillis, Math::max);
        return deadlineMillis > 0 && deadlineMillis < maxMillis * FULL_DEADLINE_FRACTION;
    }
}
