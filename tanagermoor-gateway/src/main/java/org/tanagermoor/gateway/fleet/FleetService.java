package org.tanagermoor.gateway.fleet;

/**
 * A service.
 *
 * @param name The name.
 * @param healthPath The path of the health check.
 * @param maxConnections The most connections that a target accepts from all callers.
 * @param maxColdRequestsPerSecond The requests a second that a cold target bears; 0 for no limit.
 */
public record FleetService(String name, String healthPath, int maxConnections, double maxColdRequestsPerSecond) {}
