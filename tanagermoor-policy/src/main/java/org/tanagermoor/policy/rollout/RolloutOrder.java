package org.tanagermoor.policy.rollout;

import java.time.Duration;

/**
 * An order to move the traffic of a service to the targets of another version.
 *
 * @param service The name of the service.
 * @param version The version to which its traffic moves.
 * @param duration The time from the order to its deadline.
 */
public record RolloutOrder(String service, String version, Duration duration) {}
