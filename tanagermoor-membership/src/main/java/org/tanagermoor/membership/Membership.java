package org.tanagermoor.membership;

import java.util.function.Consumer;
import org.tanagermoor.policy.configuration.Configuration;
import org.tanagermoor.policy.fleet.InstanceId;
import org.tanagermoor.policy.fleet.Member;
import org.tanagermoor.policy.fleet.View;
import org.tanagermoor.policy.standing.Standing;

/** The membership of this instance. Safe for use by several threads; no method blocks. */
public interface Membership {

    /**
     * Returns this instance as a member.
     *
     * @return This instance.
     */
    Member self();

    /**
     * Returns the standing at a time. To be asked as late before an action as can be, with a time that was just read.
     *
     * @param now The present monotonic time in nanoseconds.
     * @return The standing.
     */
    Standing standing(long now);

    /**
     * Returns the configuration that this instance has adopted, with the membership view.
     *
     * @return The adopted configuration, whose version never goes back.
     */
    Configuration configuration();

    /**
     * Returns whether the view of the adopted configuration is accepted: no instance that acts on an earlier view can
     * have standing any more. A new steward lends only then.
     *
     * @param now The present monotonic time in nanoseconds.
     * @return Whether the view is accepted.
     */
    boolean viewAccepted(long now);

    /**
     * Returns whether a view that somebody holds is the adopted one, and accepted. The versions are compared first, as
     * a later view may be adopted in between; once that is accepted, this one is, too.
     *
     * @param view The view.
     * @param now The present monotonic time in nanoseconds.
     * @return Whether it is accepted.
     */
    default boolean viewAccepted(View view, long now) {
        return configuration().view().version() == view.version() && viewAccepted(now);
    }

    /**
     * Returns whether a member was heard of lately, directly or through others.
     *
     * @param id The identity of the member.
     * @param now The present monotonic time in nanoseconds.
     * @return Whether it was heard of within the freshness window.
     */
    boolean seenRecently(InstanceId id, long now);

    /**
     * Adds a listener that is called with each configuration that is adopted, in the order of the versions, by the
     * thread of the membership duty. It must not block. It is called at once with the present configuration.
     *
     * @param listener The listener.
     */
    void onAdopted(Consumer<Configuration> listener);

    /** Asks for this instance to be marked as leaving in the view, ahead of a planned stop. */
    void leave();
}
