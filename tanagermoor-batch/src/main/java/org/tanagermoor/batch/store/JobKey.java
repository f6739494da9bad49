package org.tanagermoor.batch.store;

import java.util.regex.Pattern;
import org.tanagermoor.http.Digests;

/**
 * The key of a job.
 *
 * @param team The name of the team.
 * @param key The key that the caller chose, which is unique within the team.
 */
public record JobKey(String team, String key) {

    /** What the key that a caller chooses may look like. */
    private static final Pattern KEY_PATTERN = Pattern.compile("[A-Za-z0-9._-]{1,128}");

    /** The number of characters of an identity. */
    private static final int ID_LENGTH = 32;

    /**
     * Returns a key.
     *
     * @param team The name of the team.
     * @param key The key that the caller chose.
     * @return A key.
     */
    public static JobKey of(String team, String key) {
        return new JobKey(team, key);
    }

    /**
     * Returns whether a key that a caller chose is well-formed.
     *
     * @param key The key.
     * @return Whether it is well-formed.
     */
    public static boolean isWellFormed(String key) {
        return KEY_PATTERN.matcher(key).matches();
    }

    /**
     * Returns the identity of the job, which is made of letters and digits.
     *
     * @return The identity of the job.
     */
    public String id() {
        return Digests.sha256(team + "/" + key).substring(0, ID_LENGTH);
    }

    /**
     * Returns the key by which the steward of the job is found.
     *
     * @return The key for rendezvous hashing.
     */
    public String stewardKey() {
        return "job/" + id();
    }
}
