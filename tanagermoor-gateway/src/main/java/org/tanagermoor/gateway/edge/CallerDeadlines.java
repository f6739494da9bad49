package org.tanagermoor.gateway.edge;

import java.util.HashMap;
import java.util.Map;

/**
 * The longest deadline that callers of each route have named. A caller that comes back after a refusal has less time
 * left than at its first attempt. Confined to the event loop.
 */
public final class CallerDeadlines {

    /** The part of the longest deadline below which a caller has spent some of its time; clocks and links jitter. */
    private static final double FULL_DEADLINE_FRACTION = 0.97;

    /** The longest deadline by route, in milliseconds. */
    private final Map<String, Long> longestMillis = new HashMap<>();

    /** Creates deadlines of which none is known. */
    private CallerDeadlines() {}

    /** Returns deadlines of which none is known. */
    public static CallerDeadlines of() {
        return new CallerDeadlines();
    }

    /**
     * Notes a deadline, and returns whether its caller comes back.
     *
     * @param route The name of the route.
     * @param deadlineMillis The time for which the caller waits, in milliseconds; 0 if it does not say.
     * @return Whether the caller has spent some of its time before.
     */
    public boolean retrying(String route, long deadlineMillis) {
        long maxMillis = longestMillis.merge(route, deadlineMillis, Math::max);
        return deadlineMillis > 0 && deadlineMillis < maxMillis * FULL_DEADLINE_FRACTION;
    }
}
