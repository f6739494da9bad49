package org.tanagermoor.gateway.fleet;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;

/** A version of the operator's configuration: the routes, services, teams and limits. Immutable. */
public final class FleetConfiguration {

    private final long version;

    /** The routes by host; those with the longest prefix come first. */
    private final Map<String, List<Route>> routes;

    private final Map<String, FleetService> services;

    private final Map<String, FleetTeam> teams;

    /** The name of the team that holds each key. */
    private final Map<String, String> keys;

    private final CallerLimits limits;

    /** Creates a configuration. The collections are not copied, so the caller must not change them. */
    private FleetConfiguration(
            long version,
            Map<String, List<Route>> routes,
            Map<String, FleetService> services,
            Map<String, FleetTeam> teams,
            Map<String, String> keys,
            CallerLimits limits) {
        this.version = version;
        this.routes = routes;
        this.services = services;
        this.teams = teams;
        this.keys = keys;
        this.limits = limits;
    }

    /**
     * Returns a configuration.
     *
     * @param version The version, which grows with each change.
     * @param routes The routes in any order.
     * @param services The services, which have different names.
     * @param teams The teams, which have different names; without any, requests need no key.
     * @param keys The names of teams by key.
     * @param limits The limits of requests and connections of callers.
     * @return An immutable configuration.
     */
    public static FleetConfiguration of(
            long version,
            Collection<Route> routes,
            Collection<FleetService> services,
            Collection<FleetTeam> teams,
            Map<String, String> keys,
            CallerLimits limits) {
        Map<String, List<Route>> byHost = new HashMap<>();
        routes.stream()
                .sorted((left, right) -> right.prefix().length() - left.prefix().length())
                .forEach(route -> byHost.computeIfAbsent(route.host(), host -> new java.util.ArrayList<>())
                        .add(route));
        Map<String, FleetService> serviceMap = new HashMap<>();
        services.forEach(service -> serviceMap.put(service.name(), service));
        Map<String, FleetTeam> teamMap = new HashMap<>();
        teams.forEach(team -> teamMap.put(team.name(), team));
        return new FleetConfiguration(version, byHost, serviceMap, teamMap, Map.copyOf(keys), limits);
    }

    /** Returns the version, which grows with each change by the operator. */
    public long version() {
        return version;
    }

    /**
     * Returns the route of a request: the one with the longest matching prefix among the routes of its host.
     *
     * @param host The host, possibly with a port.
     * @param path The path without a query.
     * @return The route; empty if none matches.
     */
    public Optional<Route> route(String host, String path) {
        int colon = host.indexOf(':');
        String name = (colon < 0 ? host : host.substring(0, colon)).toLowerCase(Locale.ROOT);
        for (Route route : routes.getOrDefault(name, List.of())) {
            if (path.startsWith(route.prefix())) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    /** Returns whether there are teams, so that requests need keys. */
    public boolean hasTeams() {
        return !teams.isEmpty();
    }

    /** Returns the team that holds a key. */
    public Optional<FleetTeam> teamOfKey(String key) {
        return Optional.ofNullable(keys.get(key)).map(teams::get);
    }

    /** Returns the team with a name; empty if the configuration does not define it. */
    public Optional<FleetTeam> team(String name) {
        return Optional.ofNullable(teams.get(name));
    }

    /**
     * Returns the rank of the requests of a team on a route, where 0 is served first. The rank of the team precedes
     * that of the route.
     *
     * @param route The route.
     * @param team The name of the team; empty if there is none.
     * @return The rank; empty if neither has one.
     */
    public OptionalInt priority(Route route, String team) {
        OptionalInt own = team(team).map(FleetTeam::priority).orElse(OptionalInt.empty());
        return own.isPresent() ? own : route.priority();
    }

    /** Returns all teams, in no particular order. */
    public Collection<FleetTeam> teams() {
        return teams.values();
    }

    /** Returns the service with a name; empty if the configuration does not define it. */
    public Optional<FleetService> service(String name) {
        return Optional.ofNullable(services.get(name));
    }

    /** Returns the limits of requests and connections of callers. */
    public CallerLimits limits() {
        return limits;
    }
}
