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

    /** The form of the keys that callers choose. */
    private static final Pattern KEY_PATTERN = Pattern.compile("[A-Za-z0-9._-]{1,128}");

    /** The number of characters of an identity. */
    private static final int ID_LENGTH = 32;

    /**
     * Creates the key of a job.
     *
     * @param team The name of the team.
     * @param key The key that the caller chose.
     */
    public static JobKey of(String team, String key) {
        return new JobKey(team, key);
    }

    /**
     * Returns whether a key that a caller chose is accepted.
     *
     * @param key The key that the caller chose.
     */
    public static boolean isWellFormed(String key) {
        return KEY_PATTERN.matcher(key).matches();
    }

    /**
     * Returns the identity of the job, which consists of letters and digits and is derived from the team and the key.
     */
    public String id() {
        return Digests.sha256(team + "/" + key).substring(0, ID_LENGTH);
    }

    /** Returns the key whose rendezvous hash determines the steward of the job. */
    public String stewardKey() {
        return "job/" + id();
    }
}
