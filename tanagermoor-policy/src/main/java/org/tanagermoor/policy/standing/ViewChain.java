package org.tanagermoor.policy.standing;

import io.vavr.collection.Vector;
import org.tanagermoor.policy.fleet.View;

/**
 * The views from the last accepted one to the present one. A majority is counted in each of them, so that a row of
 * quick changes cannot slip past a majority of an earlier view.
 *
 * @param accepted The largest version that is known to be accepted.
 * @param views The views in the order of their versions; the first is the one that was in force at {@code accepted}.
 */
public record ViewChain(long accepted, Vector<View> views) {

    /** The chain before the first change. */
    public static final ViewChain EMPTY = new ViewChain(0, Vector.of(View.EMPTY));

    /**
     * Returns this chain with another view at its end.
     *
     * @param view The view; one that is not later than the last is ignored.
     * @return A chain that ends with the later view.
     */
    public ViewChain withView(View view) {
        return view.version() <= last().version() ? this : shortened(accepted, views.append(view));
    }

    /**
     * Returns this chain once a version is known to be accepted. Views that were replaced up to then are dropped.
     *
     * @param version The version that is accepted.
     * @return A chain that begins with the view in force at that version.
     */
    public ViewChain withAccepted(long version) {
        return version <= accepted ? this : shortened(version, views);
    }

    /** Returns the present view. */
    public View last() {
        return views.last();
    }

    /** Returns whether the present view is accepted. */
    public boolean settled() {
        return views.size() == 1 && accepted >= last().version();
    }

    /**
     * Returns a chain without the views that were replaced before a version was accepted.
     *
     * @param accepted The version that is accepted.
     * @param views The views in the order of their versions.
     * @return A chain that begins with the view in force at that version.
     */
    private static ViewChain shortened(long accepted, Vector<View> views) {
        Vector<View> kept = views;
        while (kept.size() > 1 && kept.get(1).version() <= accepted) {
            kept = kept.tail();
        }
        return new ViewChain(accepted, kept);
    }
}
