package org.tanagermoor.gateway.fleet;

/**
 * A service to which a route sends a share of its requests.
 *
 * @param service The name of the service.
 * @param weight The size of the share, relative to the weights of the other backends of the route.
 */
public record Backend(String service, double weight) {}
