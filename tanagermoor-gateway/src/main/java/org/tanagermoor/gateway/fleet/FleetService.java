package org.tanagermoor.gateway.fleet;

/**
 * A group of targets that serve the same requests.
 *
 * @param name The name, to which routes and targets refer.
 * @param healthPath The path of the health check.
 * @param maxConnections The maximum number of connections that a target accepts from all callers.
 * @param maxColdRequestsPerSecond The maximum rate of requests that a target handles while it warms up; 0 for no limit.
 */
public record FleetService(String name, String healthPath, int maxConnections, double maxColdRequestsPerSecond) {}
