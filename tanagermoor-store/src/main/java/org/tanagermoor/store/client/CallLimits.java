package org.tanagermoor.store.client;

import java.time.Duration;

/**
 * The limits on calls to the platform.
 *
 * @param deadline The time within which a call ends, with an answer or a failure.
 * @param inFlight The maximum number of calls in flight at once.
 */
public record CallLimits(Duration deadline, int inFlight) {

    /** The limits that apply unless the settings give others. */
    public static final CallLimits DEFAULT = new CallLimits(Duration.ofSeconds(1), 64);

    /** Returns a copy of these limits with the given deadline. */
    public CallLimits withDeadline(Duration value) {
        return new CallLimits(value, inFlight);
    }

    /** Returns a copy of these limits with the given maximum number of calls in flight. */
    public CallLimits withInFlight(int value) {
        return new CallLimits(deadline, value);
    }
}
