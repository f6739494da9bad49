package org.tanagermoor.policy.configuration;

import org.tanagermoor.policy.fleet.TeamId;

/**
 * A key that was given to a team. The key itself is stored nowhere.
 *
 * @param sha256 The SHA-256 of the key as 64 lower-case hexadecimal digits.
 * @param team The team.
 */
public record KeyGrant(String sha256, TeamId team) {

    /**
     * Returns a grant.
     *
     * @param sha256 The SHA-256 of the key.
     */
    public static KeyGrant of(String sha256, TeamId team) {
        return new KeyGrant(sha256, team);
    }
}
