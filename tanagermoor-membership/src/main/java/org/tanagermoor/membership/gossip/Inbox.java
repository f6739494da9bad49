package org.tanagermoor.membership.gossip;

/** Accepts inputs for the membership duty. Safe for use by several threads. */
@FunctionalInterface
public interface Inbox {

    /**
     * Passes an input to the membership duty.
     *
     * @return Whether it will be handled; {@code false} if the duty is overloaded or has stopped.
     */
    boolean offer(Input input);
}
