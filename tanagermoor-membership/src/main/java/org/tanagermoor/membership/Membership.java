package org.tanagermoor.membership;

import java.util.function.Consumer;
import org.tanagermoor.policy.configuration.Configuration;
import org.tanagermoor.policy.fleet.InstanceId;
import org.tanagermoor.policy.fleet.Member;
import org.tanagermoor.policy.fleet.View;
import org.tanagermoor.policy.standing.Standing;

/**
 * The membership of this instance: its standing and the configuration that it has adopted. Safe for use by several
 * threads; no method blocks.
 */
public interface Membership {

    /** Returns this instance as a member, with its addresses and its failure domain. */
    Member self();

    /**
     * Returns the standing at a time. Call it as late as possible before the action that depends on it, with a time
     * that was just read.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    Standing standing(long now);

    /**
     * Returns the configuration that this instance has adopted, including the membership view. Its version never
     * decreases.
     */
    Configuration configuration();

    /**
     * Returns whether the view of the adopted configuration is accepted, so that no instance that acts on an earlier
     * view can still have standing. A new steward lends only then.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    boolean viewAccepted(long now);

    /**
     * Returns whether a view is the adopted one and is accepted. The versions are compared first: if a later view is
     * adopted between the two steps and is accepted, the given view is accepted as well.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    default boolean viewAccepted(View view, long now) {
        return configuration().view().version() == view.version() && viewAccepted(now);
    }

    /**
     * Returns whether a heartbeat of a member was received, directly or through other members, within the freshness
     * window. An instance with full standing also returns {@code true} for each member that it has not itself found
     * silent.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    boolean seenRecently(InstanceId id, long now);

    /**
     * Adds a listener that the thread of the membership duty calls with each adopted configuration, in the order of the
     * versions. The listener must not block. Its first call has the current configuration.
     */
    void onAdopted(Consumer<Configuration> listener);

    /** Requests that this instance is marked as leaving in the view, before a planned stop. */
    void leave();
}
