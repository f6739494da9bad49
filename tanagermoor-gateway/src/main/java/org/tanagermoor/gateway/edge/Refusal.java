package org.tanagermoor.gateway.edge;

import java.util.concurrent.TimeUnit;
import org.tanagermoor.policy.quarantine.QuarantineDecision;

/**
 * An error answer that this instance itself gives, rather than a target.
 *
 * @param kind The reason, which determines the status of the answer.
 * @param retryAfterMillis The time after which a retry may succeed, in milliseconds; 0 if a retry does not help.
 * @param detail An explanation for people.
 */
public record Refusal(Kind kind, long retryAfterMillis, String detail) {

    /** The time after which a caller of an instance that is leaving may ask another one, in milliseconds. */
    private static final long LEAVING_RETRY_MILLIS = 50;

    /** Returns a refusal without a time for a retry. */
    public static Refusal of(Kind kind, String detail) {
        return new Refusal(kind, 0, detail);
    }

    /** Returns the refusal of a request that has not run, by an instance that is stopping. */
    static Refusal ofLeaving(String detail) {
        return new Refusal(Kind.UNAVAILABLE, LEAVING_RETRY_MILLIS, "leaving: " + detail);
    }

    /** Returns the refusal of a request for a part of its prompt that is held back; the request has not run. */
    static Refusal ofQuarantine(QuarantineDecision.Refused refused) {
        return new Refusal(
                Kind.UNAVAILABLE,
                Math.max(1, TimeUnit.NANOSECONDS.toMillis(refused.remainingNanos())),
                "QUARANTINED: " + refused.detail());
    }

    /** The reasons for a refusal. */
    public enum Kind {

        /** The request cannot be decoded or lacks a required part. */
        MALFORMED,

        /** The body is longer than the configuration allows. */
        TOO_LARGE,

        /** The key is missing or belongs to no team. */
        UNAUTHENTICATED,

        /** The route, job or item that the request names does not exist. */
        NOT_FOUND,

        /** The team is above its limit; the request has not run and will not. */
        RATE_LIMITED,

        /** The request cannot be served now; it has not run and will not. */
        UNAVAILABLE,

        /** The exchange with the target failed; the request may have run. */
        BROKEN,

        /** No answer arrived before the deadline; the request may have run. */
        TIMEOUT
    }
}
