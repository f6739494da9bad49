package org.tanagermoor.policy.budget;

import java.util.Optional;
import org.tanagermoor.policy.fleet.InstanceId;
import org.tanagermoor.policy.fleet.Member;
import org.tanagermoor.policy.fleet.Rendezvous;
import org.tanagermoor.policy.fleet.View;

/**
 * One of the two parts of a budget. Each part has its own steward. If one steward fails and cannot be replaced during
 * an outage, the budget continues with the part of the other one.
 *
 * @param budget The name of the budget.
 * @param part {@link #PRIMARY} or {@link #RESERVE}.
 */
public record ShareKey(String budget, int part) {

    /** The larger part, from which shares are requested first. */
    public static final int PRIMARY = 0;

    /** The smaller part, from which shares are requested if the larger one does not provide enough. */
    public static final int RESERVE = 1;

    /** The size of the smaller part as a fraction of the budget. */
    public static final double RESERVE_FRACTION = 0.25;

    /** The minimum burst of a budget that is divided into two parts. */
    private static final double MIN_DIVIDED_BURST = 4;

    /** Returns the larger part of a budget. */
    public static ShareKey primary(String budget) {
        return new ShareKey(budget, PRIMARY);
    }

    /** Returns the smaller part of a budget. */
    public static ShareKey reserve(String budget) {
        return new ShareKey(budget, RESERVE);
    }

    /**
     * Returns the steward of this part in a view.
     *
     * @return The steward, or empty if the view has too few members that are not leaving.
     */
    public Optional<InstanceId> steward(View view) {
        Optional<InstanceId> first = Rendezvous.steward(budget, view).map(Member::id);
        if (part == PRIMARY || first.isEmpty()) {
            return first;
        }
        View others = view.withoutMember(view.version(), first.get());
        return Rendezvous.steward(budget + "#" + part, others).map(Member::id);
    }

    /**
     * Returns the limit of this part.
     *
     * @param total The limit of the whole budget.
     * @param divided Whether the view has enough members for two parts.
     */
    public RateLimit limit(RateLimit total, boolean divided) {
        boolean twoParts = divided && total.burst() >= MIN_DIVIDED_BURST;
        if (part == PRIMARY) {
            return twoParts ? total.scaled(1 - RESERVE_FRACTION) : total;
        }
        return twoParts ? total.scaled(RESERVE_FRACTION) : RateLimit.NOTHING;
    }
}
