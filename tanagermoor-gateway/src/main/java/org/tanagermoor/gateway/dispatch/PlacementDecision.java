package org.tanagermoor.gateway.dispatch;

/** What becomes of an ask. */
public sealed interface PlacementDecision {

    /**
     * The request has a place.
     *
     * @param target The identity of the target.
     */
    record Granted(String target) implements PlacementDecision {}

    /**
     * The request is refused.
     *
     * @param reason Why.
     * @param retryAfterMillis The time after which it has a chance, in milliseconds.
     */
    record Refused(Reason reason, long retryAfterMillis) implements PlacementDecision {}

    /** Why a request is refused. */
    enum Reason {

        /** The team is above its rate. */
        RATE_LIMITED,

        /** No place is free in time. */
        OVERLOADED,

        /** No target of the service is usable. */
        NO_TARGET
    }
}
