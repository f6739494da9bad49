package org.tanagermoor.gateway.dispatch;

/** The decision of the dispatcher on an ask. */
public sealed interface PlacementDecision {

    /**
     * The ask is granted a place.
     *
     * @param target The identity of the target.
     */
    record Granted(String target) implements PlacementDecision {}

    /**
     * The ask is refused.
     *
     * @param reason Why it is refused.
     * @param retryAfterMillis The time after which a new ask may succeed, in milliseconds.
     * @param detail More about the reason, for people; may be empty.
     */
    record Refused(Reason reason, long retryAfterMillis, String detail) implements PlacementDecision {

        /** Creates a refusal whose reason says all. */
        public Refused(Reason reason, long retryAfterMillis) {
            this(reason, retryAfterMillis, "");
        }
    }

    /** Why an ask is refused. */
    enum Reason {

        /** The team exceeds its rate limit. */
        RATE_LIMITED,

        /** No place is expected to be free in time. */
        OVERLOADED,

        /** The service has no usable target. */
        NO_TARGET,

        /** A part of the prompt is held back, because it crashes targets. */
        QUARANTINED
    }
}
