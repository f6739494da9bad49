package org.tanagermoor.policy.budget;

import java.util.Optional;
import org.tanagermoor.policy.configuration.Configuration;
import org.tanagermoor.policy.configuration.Team;
import org.tanagermoor.policy.fleet.TeamId;

/** The limits of budgets that a configuration sets. */
public final class BudgetLimits {

    /** The name of the budget of the loads from the weight store. */
    public static final String WEIGHTS = "weights";

    /** The loads from the weight store that may begin at once. */
    private static final double WEIGHTS_BURST = 2;

    /** The seconds of a minute. */
    private static final double SECONDS = 60;

    /** What the names of the budgets of teams begin with. */
    private static final String TEAM_PREFIX = "team/";

    /** There are no instances. */
    private BudgetLimits() {}

    /**
     * Returns the limit of a budget over all instances together.
     *
     * @param budget The name of the budget.
     * @return The limit, or nothing if the configuration has no such budget.
     */
    public static Optional<RateLimit> limit(Configuration configuration, String budget) {
        if (budget.equals(WEIGHTS)) {
            return Optional.of(RateLimit.of(configuration.preset().loadsPerMinute() / SECONDS, WEIGHTS_BURST));
        }
        if (!budget.startsWith(TEAM_PREFIX)) {
            return Optional.empty();
        }
        TeamId id = TeamId.of(budget.substring(TEAM_PREFIX.length()));
        double factor = configuration.preset().rateFactor();
        return configuration.teams().get(id).map(team -> limit(team, factor)).toJavaOptional();
    }

    /**
     * Returns the limit of a team.
     *
     * @param factor The factor of the preset in force.
     */
    private static RateLimit limit(Team team, double factor) {
        return RateLimit.of(team.ratePerSecond() * factor, team.burst());
    }
}
