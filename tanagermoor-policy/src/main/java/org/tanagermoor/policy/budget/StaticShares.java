package org.tanagermoor.policy.budget;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.tanagermoor.policy.configuration.Configuration;
import org.tanagermoor.policy.fleet.InstanceId;

/**
 * Divides each budget into equal shares that never move between instances. The baseline for comparison with lent
 * shares. Not thread-safe.
 */
public final class StaticShares {

    private final InstanceId self;

    private final Map<String, TokenBucket> buckets = new HashMap<>();

    private Configuration configuration = Configuration.EMPTY;

    /** The number of members by which the budgets are divided, or 0 while this instance has no share. */
    private int memberCount;

    /** Whether the view of the adopted configuration is accepted. */
    private boolean accepted;

    /** The monotonic time in nanoseconds from which budgets that were not used before accrue. */
    private long accruesFrom;

    private StaticShares(InstanceId self) {
        this.self = self;
    }

    /**
     * Returns the shares of an instance that is not a member yet, which are all zero.
     *
     * @param self The identity of this instance.
     */
    public static StaticShares of(InstanceId self) {
        return new StaticShares(self);
    }

    /**
     * Adopts a configuration. Until its view is accepted, budgets are divided by the larger of the sizes of the views.
     *
     * @param value The new configuration.
     * @param now The current monotonic time in nanoseconds.
     */
    public void adopt(Configuration value, long now) {
        boolean viewChanged = value.view().version() != configuration.view().version();
        configuration = value;
        accepted &= !viewChanged;
        if (viewChanged && memberCount > 0) {
            memberCount = value.view().member(self).isPresent()
                    ? Math.max(memberCount, value.view().members().size())
                    : 0;
        }
        buckets.forEach((budget, bucket) -> bucket.limit(share(budget), now));
    }

    /**
     * Records that the view of the adopted configuration is accepted.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    public void accept(long now) {
        if (accepted) {
            return;
        }
        accepted = true;
        boolean isMember = configuration.view().member(self).isPresent();
        int newMemberCount = isMember ? configuration.view().members().size() : 0;
        accruesFrom = newMemberCount == memberCount ? accruesFrom : now;
        memberCount = newMemberCount;
        buckets.forEach((budget, bucket) -> bucket.limit(share(budget), now));
    }

    /**
     * Takes an amount from this instance's share of a budget.
     *
     * @param budget The name of the budget.
     * @param now The current monotonic time in nanoseconds.
     * @return Whether the amount was taken.
     */
    public boolean take(String budget, double amount, long now) {
        return buckets.computeIfAbsent(budget, name -> TokenBucket.empty(share(name), accruesFrom))
                .take(amount, now);
    }

    /** Returns this instance's share of a budget, which is zero while it is not a member. */
    private RateLimit share(String budget) {
        Optional<RateLimit> limit = BudgetLimits.limit(configuration, budget);
        return memberCount == 0
                ? RateLimit.NOTHING
                : limit.orElse(RateLimit.NOTHING).scaled(1.0 / memberCount);
    }
}
