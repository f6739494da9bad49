package org.tanagermoor.policy.configuration;

import org.tanagermoor.policy.fleet.TeamId;

/**
 * A team and its limits, which apply to all instances together.
 *
 * @param id The name of the team.
 * @param ratePerSecond The online requests per second, above 0.
 * @param burst The online requests that may arrive at once, at least 1.
 * @param weight The weight in the fair queues relative to other teams, above 0.
 */
public record Team(TeamId id, double ratePerSecond, double burst, double weight) {

    /**
     * Returns a team with its limits.
     *
     * @param ratePerSecond The online requests per second, above 0.
     * @param burst The online requests that may arrive at once, at least 1.
     * @param weight The weight in the fair queues relative to other teams, above 0.
     */
    public static Team of(TeamId id, double ratePerSecond, double burst, double weight) {
        return new Team(id, ratePerSecond, burst, weight);
    }
}
