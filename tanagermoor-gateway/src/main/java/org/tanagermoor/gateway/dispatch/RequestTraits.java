package org.tanagermoor.gateway.dispatch;

import java.util.Optional;
import java.util.OptionalInt;
import org.tanagermoor.gateway.fleet.FleetConfiguration;
import org.tanagermoor.gateway.fleet.Route;

/**
 * What the dispatcher knows of a request beyond its limits of time.
 *
 * @param route The name of the route; empty if it is unknown.
 * @param tokens The number of tokens of the prompt and of the longest output together; 0 if it is unknown.
 * @param priority The rank of the request, where 0 is served first; empty if it is unknown.
 */
public record RequestTraits(String route, int tokens, OptionalInt priority) {

    /** The traits of a request of which nothing is known. */
    public static final RequestTraits NONE = new RequestTraits("", 0, OptionalInt.empty());

    /**
     * Returns the traits of a request of a team. The rank of the team precedes that of the route.
     *
     * @param route The route.
     * @param team The name of the team; empty if there is none.
     * @param tokens The number of tokens of the prompt and of the longest output together; 0 if it is unknown.
     * @param configuration The configuration that defines the team.
     * @return The traits.
     */
    public static RequestTraits of(Route route, String team, long tokens, Optional<FleetConfiguration> configuration) {
        OptionalInt priority =
                configuration.map(current -> current.priority(route, team)).orElseGet(route::priority);
        return new RequestTraits(route.name(), (int) Math.max(0, Math.min(Integer.MAX_VALUE, tokens)), priority);
    }
}
