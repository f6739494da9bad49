package org.tanagermoor.policy.configuration;

import org.tanagermoor.policy.fleet.ServiceName;

/**
 * A service to which callers' requests are routed.
 *
 * @param name The name, which is the model's name for model engines.
 * @param kind What its targets are.
 * @param open Whether requests need no key.
 * @param idempotent Whether a request may be repeated.
 */
public record Service(ServiceName name, Kind kind, boolean open, boolean idempotent) {

    /**
     * Returns a service.
     *
     * @param kind What its targets are.
     * @param open Whether requests need no key.
     * @param idempotent Whether a request may be repeated.
     */
    public static Service of(ServiceName name, Kind kind, boolean open, boolean idempotent) {
        return new Service(name, kind, open, idempotent);
    }

    /** What the targets of a service are. */
    public enum Kind {

        /** Model engines, which batch continuously, stream, resume, cancel and cache prompt prefixes. */
        MODEL,

        /** Plain HTTP services. */
        PLAIN
    }
}
