package org.tanagermoor.gateway.job;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * Selects the items of a job that ask for a place next: all items that have started, since they need the least time to
 * complete, and a limited number of items that have not started. A place is room for one request at a target.
 */
final class AskOrder {

    /** Maximum number of items of a job that have not started and wait for a place at the same time. */
    private static final int MAX_UNSTARTED_ASKING = 4;

    private AskOrder() {}

    /**
     * Returns the items that ask for a place now.
     *
     * @param items The items of a job that have no result, in the order of the job.
     * @param <T> The type of an item.
     * @return The selected items, in the order in which they ask.
     */
    static <T extends Candidate> List<T> next(Collection<T> items) {
        List<T> next = new ArrayList<>(
                items.stream().filter(item -> item.idle() && item.started()).toList());
        long unstarted =
                items.stream().filter(item -> item.asking() && !item.started()).count();
        items.stream()
                .filter(item -> item.idle() && !item.started())
                .limit(Math.max(0, MAX_UNSTARTED_ASKING - unstarted))
                .forEach(next::add);
        return next;
    }

    /** An item that can ask for a place at a target. */
    interface Candidate {

        /** Returns whether the item neither runs nor waits for a place. */
        boolean idle();

        /** Returns whether the item waits for a place. */
        boolean asking();

        /** Returns whether the item has produced at least one event. */
        boolean started();
    }
}
