package org.tanagermoor.policy.budget;

import java.util.Optional;
import org.tanagermoor.policy.configuration.Configuration;
import org.tanagermoor.policy.configuration.Team;
import org.tanagermoor.policy.fleet.TeamId;

/** Derives the limits of budgets from a configuration. */
public final class BudgetLimits {

    /** The name of the budget for loads from the weight store. */
    public static final String WEIGHTS = "weights";

    /** The number of loads from the weight store that may start at once. */
    private static final double WEIGHTS_BURST = 2;

    private static final double SECONDS_PER_MINUTE = 60;

    /** The prefix of the names of team budgets; the name of the team follows. */
    private static final String TEAM_PREFIX = "team/";

    private BudgetLimits() {}

    /** Returns the limit of a budget for all instances together, or empty if the configuration has no such budget. */
    public static Optional<RateLimit> limit(Configuration configuration, String budget) {
        if (budget.equals(WEIGHTS)) {
            return Optional.of(
                    RateLimit.of(configuration.preset().loadsPerMinute() / SECONDS_PER_MINUTE, WEIGHTS_BURST));
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
     * @param factor The rate factor of the preset in force.
     */
    private static RateLimit limit(Team team, double factor) {
        return RateLimit.of(team.ratePerSecond() * factor, team.burst());
    }
}
