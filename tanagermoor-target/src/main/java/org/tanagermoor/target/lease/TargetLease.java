package org.tanagermoor.target.lease;

import org.tanagermoor.policy.configuration.Target;
import reactor.core.publisher.Mono;

/**
 * A permit to run one request on a target. The steward of a target divides its capacity into permits and lends them to
 * the instances. An instance passes a permit on to one request, which releases it when it ends.
 */
public interface TargetLease {

    /** Returns the target on which the request may run. */
    Target target();

    /**
     * Completes when the permit is recalled; the request must then be cancelled at once. Only batch permits are
     * recalled. Otherwise this never completes.
     */
    Mono<Void> recalled();

    /**
     * Gives the permit back. Further calls have no effect.
     *
     * @param result How the request ended.
     */
    void release(Result result);

    /** How a request ended at the target. */
    enum Result {

        /** The target returned a complete answer. */
        ANSWERED,

        /** The request was cancelled from this side. */
        CANCELLED,

        /** The target could not be reached or reset the connection, which is a sign of a cold start. */
        RESET,

        /** The target went silent or violated the protocol. */
        BROKEN,

        /** The target refused the request because it is full. */
        REFUSED
    }
}
