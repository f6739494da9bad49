package org.tanagermoor.policy.configuration;

import org.tanagermoor.policy.fleet.TeamId;

/**
 * A team and its limits, which count over all instances together.
 *
 * @param id The name.
 * @param ratePerSecond The online requests per second, above 0.
 * @param burst The online requests that may come at once, at least 1.
 * @param weight The share in the fair queues relative to other teams, above 0.
 */
public record Team(TeamId id, double ratePerSecond, double burst, double weight) {

    /**
     * Returns a team.
     *
     * @param id The name.
     * @param ratePerSecond The online requests per second.
     * @param burst The online requests that may come at once.
     * @param weight The share in the fair queues relative to other teams.
     */
    public static Team of(TeamId id, double ratePerSecond, double burst, double weight) {
        return new Team(id, ratePerSecond, burst, weight);
    }
}
