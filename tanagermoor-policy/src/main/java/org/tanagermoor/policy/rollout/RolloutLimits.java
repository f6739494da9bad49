package org.tanagermoor.policy.rollout;

import java.time.Duration;

/**
 * The bounds on what a bad version may get. A bad version gets at most {@code share} of all requests of the service
 * until the deadline, plus {@code slack}.
 *
 * @param share The maximum share of all requests, from 0 to 1.
 * @param slack The number of requests beyond that share.
 * @param rollback The time after the 50th bad answer from which the version gets no request.
 */
public record RolloutLimits(double share, long slack, Duration rollback) {}
