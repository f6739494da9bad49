package org.tanagermoor.gateway.job;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * Selects the items of a job that ask for a place next: all items that have started, since they need the least time to
 * complete, and a limited number of items that have not started. Those with a part that is held back wait for their
 * turn at a reserved target, and must not keep the others from asking. A place is room for one request at a target.
 */
final class AskOrder {

    /** Maximum number of items of a job that have not started and wait for a place at the same time. */
    private static final int MAX_UNSTARTED_ASKING = 4;

    /** Maximum number of items of a job that wait for a place although a part of their prompts is held back. */
    private static final int MAX_HELD_BACK_ASKING = 32;

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
        addUnstarted(items, next, false, MAX_UNSTARTED_ASKING);
        addUnstarted(items, next, true, MAX_HELD_BACK_ASKING);
        return next;
    }

    /** Adds the first idle items that have not started and are held back or not, up to a number that asks at a time. */
    private static <T extends Candidate> void addUnstarted(
            Collection<T> items, List<T> next, boolean heldBack, int limit) {
        List<T> unstarted = items.stream()
                .filter(item -> !item.started() && (item.idle() || item.asking()))
                .filter(item -> item.heldBack() == heldBack)
                .toList();
        long asking = unstarted.stream().filter(Candidate::asking).count();
        unstarted.stream()
                .filter(Candidate::idle)
                .limit(Math.max(0, limit - asking))
                .forEach(next::add);
    }

    /** An item that can ask for a place at a target. */
    interface Candidate {

        /** Returns whether the item neither runs nor waits for a place. */
        boolean idle();

        /** Returns whether the item waits for a place. */
        boolean asking();

        /** Returns whether the item has produced at least one event. */
        boolean started();

        /** Returns whether a part of the item's prompt is held back. */
        boolean heldBack();
    }
}
