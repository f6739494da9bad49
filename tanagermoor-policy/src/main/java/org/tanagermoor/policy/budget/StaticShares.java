package org.tanagermoor.policy.budget;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.tanagermoor.policy.configuration.Configuration;
import org.tanagermoor.policy.fleet.InstanceId;

/**
 * Equal shares of each budget that never move between instances: the baseline of the lent ones. Not safe for use by
 * several threads.
 */
public final class StaticShares {

    /** The identity of this instance. */
    private final InstanceId self;

    /** The buckets by budget. */
    private final Map<String, TokenBucket> buckets = new HashMap<>();

    /** The adopted configuration. */
    private Configuration configuration = Configuration.EMPTY;

    /** The number of seats by which the budgets are divided, or 0 while this instance has none. */
    private int seats;

    /** Whether the view of the adopted configuration is accepted. */
    private boolean accepted;

    /** The monotonic time from which budgets not used before accrue, in nanoseconds. */
    private long since;

    /**
     * Creates shares.
     *
     * @param self The identity of this instance.
     */
    private StaticShares(InstanceId self) {
        this.self = self;
    }

    /**
     * Returns the shares of an instance that has none yet.
     *
     * @param self The identity of the instance.
     */
    public static StaticShares of(InstanceId self) {
        return new StaticShares(self);
    }

    /**
     * Adopts a configuration. Until its view is accepted, the shares are those of the larger of the views.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    public void adopt(Configuration value, long now) {
        boolean moved = value.view().version() != configuration.view().version();
        configuration = value;
        accepted &= !moved;
        if (moved && seats > 0) {
            seats = value.view().member(self).isPresent()
                    ? Math.max(seats, value.view().members().size())
                    : 0;
        }
        buckets.forEach((budget, bucket) -> bucket.limit(share(budget), now));
    }

    /**
     * Notes that the view of the adopted configuration is accepted.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    public void accept(long now) {
        if (accepted) {
            return;
        }
        accepted = true;
        boolean seated = configuration.view().member(self).isPresent();
        int newSeats = seated ? configuration.view().members().size() : 0;
        since = newSeats == seats ? since : now;
        seats = newSeats;
        buckets.forEach((budget, bucket) -> bucket.limit(share(budget), now));
    }

    /**
     * Takes an amount from the share of this instance.
     *
     * @param budget The name of the budget.
     * @param now The current monotonic time in nanoseconds.
     * @return Whether it was taken.
     */
    public boolean take(String budget, double amount, long now) {
        return buckets.computeIfAbsent(budget, name -> TokenBucket.empty(share(name), since))
                .take(amount, now);
    }

    /**
     * Returns the share of this instance.
     *
     * @param budget The name of the budget.
     * @return The share, which is nothing while this instance has no seat.
     */
    private RateLimit share(String budget) {
        Optional<RateLimit> limit = BudgetLimits.limit(configuration, budget);
        return seats == 0 ? RateLimit.NOTHING : limit.orElse(RateLimit.NOTHING).scaled(1.0 / seats);
    }
}
