package org.tanagermoor.gateway.fleet;

/**
 * What callers may send.
 *
 * @param maxHeaderBytes The most bytes of all headers.
 * @param maxBodyBytes The most bytes of a body.
 * @param idleTimeoutMillis The time after which an idle connection is closed, in milliseconds.
 */
public record CallerLimits(int maxHeaderBytes, int maxBodyBytes, long idleTimeoutMillis) {

    /** The limits before any configuration is known: those of the specification of the interface. */
    public static final CallerLimits DEFAULT = new CallerLimits(16_384, 4_194_304, 15_000);
}
