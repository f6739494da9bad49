package org.tanagermoor.gateway.fleet;

import java.util.OptionalInt;
import org.tanagermoor.policy.budget.RateLimit;

/**
 * A team, the owner of keys, whose requests count against a common limit.
 *
 * @param name The name, which is forwarded to targets.
 * @param limit The rate and burst of its requests over all instances.
 * @param limited Whether the limit applies; a team without a configured rate has none.
 * @param priority The rank of its requests, which precedes that of the route; empty if it has none.
 */
public record FleetTeam(String name, RateLimit limit, boolean limited, OptionalInt priority) {

    /** Creates a team without a priority. */
    public FleetTeam(String name, RateLimit limit, boolean limited) {
        this(name, limit, limited, OptionalInt.empty());
    }

    /** Returns this team, whose requests have the given rank on all routes. */
    public FleetTeam withPriority(OptionalInt value) {
        return new FleetTeam(name, limit, limited, value);
    }
}
