package org.tanagermoor.gateway.fleet;

import org.tanagermoor.policy.budget.RateLimit;

/**
 * A team, the owner of keys, whose requests count against a common limit.
 *
 * @param name The name, which is forwarded to targets.
 * @param limit The rate and burst of its requests over all instances.
 * @param limited Whether the limit applies; a team without a configured rate has none.
 */
public record FleetTeam(String name, RateLimit limit, boolean limited) {}
