package org.tanagermoor.gateway.dispatch;

import org.jspecify.annotations.Nullable;
import org.tanagermoor.policy.prompt.Prompt;
import org.tanagermoor.policy.rollout.Rollout;

/** A granted place that is in use. */
final class Grant {

    final String holder;

    final long permit;

    final String service;

    /** The identity of the target. */
    final String target;

    /** Whether an item of a job uses the place. */
    final boolean batch;

    /** The name of the route of the request; empty if it is unknown. */
    final String route;

    /** The version of the target; {@code null} if the target is not known. */
    @Nullable
    String version;

    /** The roll-out that has counted the place as placed; {@code null} if none has. */
    @Nullable
    Rollout countedBy;

    /** The failure domain of the holder; empty if it is unknown. */
    final String domain;

    /**
     * How much longer the request could have waited and still been on time, in nanoseconds; below 0 if it is late.
     */
    final long slack;

    /** The remaining work at the time of the grant. */
    final Work work;

    final Prompt prompt;

    /** The monotonic time in nanoseconds at which this dispatcher learnt of the grant. */
    final long grantedAt;

    /** The monotonic time of the grant in nanoseconds; another dispatcher may have made it. */
    final long sentAt;

    Grant(String holder, Dispatcher.OccupiedPlace place, String domain, long grantedAt) {
        this.holder = holder;
        this.domain = domain;
        slack = place.slackNanos();
        work = place.work();
        permit = place.permit();
        service = place.service();
        target = place.target();
        batch = place.batch();
        prompt = place.prompt();
        route = place.route();
        this.grantedAt = grantedAt;
        sentAt = grantedAt - place.heldNanos();
    }

    /**
     * Returns whether a recall costs the caller of this item less than a recall of the other item costs its caller.
     */
    boolean cheaperToRecall(Grant other, double headroom, long now) {
        double benefit = work.after(now - grantedAt).benefit(slack, headroom);
        double otherBenefit = other.work.after(now - other.grantedAt).benefit(other.slack, headroom);
        if (benefit != otherBenefit) {
            return benefit < otherBenefit;
        }
        return slack == other.slack ? grantedAt - other.grantedAt > 0 : slack > other.slack;
    }

    /** {@inheritDoc} */
    @Override
    public boolean equals(@Nullable Object other) {
        return this == other;
    }

    /** {@inheritDoc} */
    @Override
    public int hashCode() {
        return System.identityHashCode(this);
    }
}
