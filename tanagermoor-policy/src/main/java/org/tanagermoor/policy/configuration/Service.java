package org.tanagermoor.policy.configuration;

import org.tanagermoor.policy.fleet.ServiceName;

/**
 * A service, to whose targets the requests of callers are routed.
 *
 * @param name The name, which for model engines is the name of the model.
 * @param kind The kind of the service's targets.
 * @param open Whether requests need no API key.
 * @param idempotent Whether executing a request twice is harmless.
 */
public record Service(ServiceName name, Kind kind, boolean open, boolean idempotent) {

    /**
     * Returns a service.
     *
     * @param kind The kind of the service's targets.
     * @param open Whether requests need no API key.
     * @param idempotent Whether executing a request twice is harmless.
     */
    public static Service of(ServiceName name, Kind kind, boolean open, boolean idempotent) {
        return new Service(name, kind, open, idempotent);
    }

    /** The kind of a service's targets. */
    public enum Kind {

        /**
         * Model engines, which support continuous batching, streaming, resuming, cancelling and caching of prompt
         * prefixes.
         */
        MODEL,

        /** HTTP services without these abilities. */
        PLAIN
    }
}
