package org.tanagermoor.policy.standing;

import io.vavr.collection.Vector;
import org.tanagermoor.policy.fleet.View;

/**
 * The views from the last accepted one to the current one. A majority is needed in each of them, so that a series of
 * quick changes cannot bypass a majority of an earlier view.
 *
 * @param accepted The largest version that is known to be accepted.
 * @param views The views in the order of their versions; the first one was in force at {@code accepted}.
 */
public record ViewChain(long accepted, Vector<View> views) {

    /** The chain before the first change, which has only the empty view. */
    public static final ViewChain EMPTY = new ViewChain(0, Vector.of(View.EMPTY));

    /**
     * Returns this chain with another view appended.
     *
     * @param view The view; it is ignored unless it is later than the last one.
     */
    public ViewChain withView(View view) {
        return view.version() <= last().version() ? this : shortened(accepted, views.append(view));
    }

    /**
     * Returns this chain once a version is known to be accepted. Views that were replaced up to that version are
     * dropped.
     *
     * @param version The accepted version.
     * @return A chain that begins with the view in force at that version.
     */
    public ViewChain withAccepted(long version) {
        return version <= accepted ? this : shortened(version, views);
    }

    /** Returns the current view, which is the last of the chain. */
    public View last() {
        return views.last();
    }

    /** Returns whether the current view is accepted, so that no other view counts. */
    public boolean settled() {
        return views.size() == 1 && accepted >= last().version();
    }

    /**
     * Returns a chain without the views that were replaced before a version was accepted.
     *
     * @param accepted The accepted version.
     * @param views The views in the order of their versions.
     * @return A chain that begins with the view in force at that version.
     */
    private static ViewChain shortened(long accepted, Vector<View> views) {
        Vector<View> shorter = views;
        while (shorter.size() > 1 && shorter.get(1).version() <= accepted) {
            shorter = shorter.tail();
        }
        return new ViewChain(accepted, shorter);
    }
}
