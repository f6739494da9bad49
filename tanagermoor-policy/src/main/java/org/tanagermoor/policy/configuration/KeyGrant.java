package org.tanagermoor.policy.configuration;

import org.tanagermoor.policy.fleet.TeamId;

/**
 * An API key that was given to a team. Only the hash of the key is stored.
 *
 * @param sha256 The SHA-256 of the key as 64 lower-case hexadecimal digits.
 * @param team The team to which the key belongs.
 */
public record KeyGrant(String sha256, TeamId team) {

    /**
     * Returns the grant of a key.
     *
     * @param sha256 The SHA-256 of the key as 64 lower-case hexadecimal digits.
     * @param team The team to which the key belongs.
     */
    public static KeyGrant of(String sha256, TeamId team) {
        return new KeyGrant(sha256, team);
    }
}
