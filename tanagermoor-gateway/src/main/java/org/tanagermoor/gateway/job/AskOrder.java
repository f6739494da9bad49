package org.tanagermoor.gateway.job;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * Decides which items of a job ask for a place next: all that have begun, since they need least to end, and a few that
 * have not.
 */
final class AskOrder {

    /** The most items of a job that have not begun and wait for a place at once. */
    private static final int FRESH_MOST = 4;

    /** Not to be instantiated. */
    private AskOrder() {}

    /**
     * Returns the items that are to ask for a place now.
     *
     * @param items The items of a job without a result, in the order of the job.
     * @param <T> The type of an item.
     * @return The items, in the order in which they are to ask.
     */
    static <T extends Candidate> List<T> next(Collection<T> items) {
        List<T> next = new ArrayList<>(
                items.stream().filter(item -> item.idle() && item.begun()).toList());
        long fresh =
                items.stream().filter(item -> item.asking() && !item.begun()).count();
        items.stream()
                .filter(item -> item.idle() && !item.begun())
                .limit(Math.max(0, FRESH_MOST - fresh))
                .forEach(next::add);
        return next;
    }

    /** An item that may ask. */
    interface Candidate {

        /** Returns whether the item neither runs nor waits for a place. */
        boolean idle();

        /** Returns whether the item waits for a place. */
        boolean asking();

        /** Returns whether the item has produced something. */
        boolean begun();
    }
}
