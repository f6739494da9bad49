package org.tanagermoor.gateway.fleet;

/**
 * The limits of requests and connections of callers.
 *
 * @param maxHeaderBytes The maximum size of all headers of a request in bytes.
 * @param maxBodyBytes The maximum size of a body in bytes.
 * @param idleTimeoutMillis The time after which an idle connection is closed, in milliseconds.
 */
public record CallerLimits(int maxHeaderBytes, int maxBodyBytes, long idleTimeoutMillis) {

    /** The limits that apply before a configuration is known, as the specification of the interface defines them. */
    public static final CallerLimits DEFAULT = new CallerLimits(16_384, 4_194_304, 15_000);
}
