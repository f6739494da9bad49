package org.tanagermoor.store.client;

/**
 * A complete HTTP response of the platform.
 *
 * @param status The HTTP status code.
 * @param body The complete body, which must not be modified.
 */
@SuppressWarnings("ArrayRecordComponent")
public record Answer(int status, byte[] body) {

    /** The status of a successful call. */
    public static final int OK = 200;

    /** The status when the requested item does not exist. */
    public static final int NOT_FOUND = 404;

    /** The status when a condition of a commit did not hold. */
    public static final int CONFLICT = 409;
}
