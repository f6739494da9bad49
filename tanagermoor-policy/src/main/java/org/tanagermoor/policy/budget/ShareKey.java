package org.tanagermoor.policy.budget;

import java.util.Optional;
import org.tanagermoor.policy.fleet.InstanceId;
import org.tanagermoor.policy.fleet.Member;
import org.tanagermoor.policy.fleet.Rendezvous;
import org.tanagermoor.policy.fleet.View;

/**
 * One of the two parts of a budget, each of which has a steward of its own. When one steward is dead and cannot be
 * replaced during an outage, the budget goes on with the part of the other.
 *
 * @param budget The name of the budget.
 * @param part {@link #PRIMARY} or {@link #RESERVE}.
 */
public record ShareKey(String budget, int part) {

    /** The larger part, from which shares are asked for first. */
    public static final int PRIMARY = 0;

    /** The smaller part, from which shares are asked for when the larger one gives none. */
    public static final int RESERVE = 1;

    /** The size of the smaller part. */
    public static final double RESERVE_SIZE = 0.25;

    /** The burst from which on a budget has two parts. */
    private static final double BURST_TO_DIVIDE = 4;

    /**
     * Returns the larger part of a budget.
     *
     * @param budget The name of the budget.
     */
    public static ShareKey primary(String budget) {
        return new ShareKey(budget, PRIMARY);
    }

    /**
     * Returns the smaller part of a budget.
     *
     * @param budget The name of the budget.
     */
    public static ShareKey reserve(String budget) {
        return new ShareKey(budget, RESERVE);
    }

    /**
     * Returns the steward of this part in a view.
     *
     * @return The steward, or nothing if the view has too few members that stay.
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
     * @param whole The limit of the budget.
     * @param divided Whether the view has members enough for two parts.
     */
    public RateLimit limit(RateLimit whole, boolean divided) {
        boolean two = divided && whole.burst() >= BURST_TO_DIVIDE;
        if (part == PRIMARY) {
            return two ? whole.scaled(1 - RESERVE_SIZE) : whole;
        }
        return two ? whole.scaled(RESERVE_SIZE) : RateLimit.NOTHING;
    }
}
