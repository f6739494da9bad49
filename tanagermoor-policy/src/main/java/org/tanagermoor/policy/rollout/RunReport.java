package org.tanagermoor.policy.rollout;

/**
 * How a run ended that may have started at a target.
 *
 * @param route The name of the route of the request.
 * @param newVersion Whether the target has the new version.
 * @param target The identity of the target.
 * @param failed Whether the run broke off or was answered with a status of 500 or above.
 * @param firstEventNanos The time from the request to the first event in nanoseconds; 0 if unknown.
 * @param nanosPerEvent The mean time for each event in nanoseconds; 0 if unknown.
 */
public record RunReport(
        String route, boolean newVersion, String target, boolean failed, long firstEventNanos, long nanosPerEvent) {}
