package org.tanagermoor.gateway.dispatch;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.tanagermoor.policy.prompt.Prompt;
import org.tanagermoor.policy.quarantine.QuarantineEntry;
import org.tanagermoor.policy.rollout.Rollout;

/** A granted place that is in use. */
final class Grant {

    /** The age from which a permit that its holder does not report is revoked, in nanoseconds: two round trips. */
    private static final long RESYNC_NANOS = TimeUnit.SECONDS.toNanos(1);

    /**
     * The same for an item of a job during a roll-out, in nanoseconds: above the 1.5 s for which its holder waits for
     * the answer to an ask, and a delay of the report. A place at an old target that is freed earlier would not hold up
     * the completion although the item may still be sent there.
     */
    private static final long ROLLOUT_BATCH_RESYNC_NANOS = TimeUnit.SECONDS.toNanos(3);

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

    /** Whether the place was taken at an earlier process of a target whose pace starts anew. */
    boolean earlierProcess;

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

    /** The records of the parts that the request is a trial of; none if it is not known how it ended. */
    List<QuarantineEntry> trial = List.of();

    /** The monotonic time in nanoseconds at which this dispatcher learnt of the grant. */
    final long grantedAt;

    /** The monotonic time of the grant in nanoseconds; another dispatcher may have made it. */
    final long sentAt;

    Grant(String holder, OccupiedPlace place, String domain, long grantedAt) {
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
     * Returns whether the grant is so recent that its holder may not have received it.
     *
     * @param rollingOut Whether a roll-out of the service runs.
     * @param now The current monotonic time in nanoseconds.
     */
    boolean recent(boolean rollingOut, long now) {
        return now - grantedAt <= (batch && rollingOut ? ROLLOUT_BATCH_RESYNC_NANOS : RESYNC_NANOS);
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
