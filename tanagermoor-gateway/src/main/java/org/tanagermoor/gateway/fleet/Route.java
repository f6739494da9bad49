package org.tanagermoor.gateway.fleet;

import java.util.List;

/**
 * A route: the requests of a host whose path begins with a prefix.
 *
 * @param name The name.
 * @param host The host, in lower case and without a port.
 * @param prefix The prefix of the path, which begins and ends with a slash.
 * @param kind What may be repeated.
 * @param backends The services, at least one.
 * @param timeoutMillis The longest time that a request may take, in milliseconds.
 * @param targetLatencyMillis The time within which an answer, a first event or the acceptance of a job is on time, in
 *     milliseconds.
 * @param attempts The most targets that may run one request.
 * @param anonymousAllowed Whether requests need no key.
 * @param resumable Whether a stream may be resumed at another target.
 * @param batch The limits of jobs; those of other kinds are not used.
 */
public record Route(
        String name,
        String host,
        String prefix,
        RouteKind kind,
        List<Backend> backends,
        long timeoutMillis,
        long targetLatencyMillis,
        int attempts,
        boolean anonymousAllowed,
        boolean resumable,
        BatchLimits batch) {

    /**
     * Returns whether a request may run again at another target after its fate became unknown.
     *
     * @return Whether it may.
     */
    public boolean repeatable() {
        return kind == RouteKind.IDEMPOTENT || resumable;
    }

    /**
     * Returns the service for a request.
     *
     * @param point A number from 0 to below 1 that spreads requests over the backends.
     * @return The name of the service.
     */
    public String service(double point) {
        double sum = backends.stream().mapToDouble(Backend::weight).sum();
        double remaining = point * sum;
        for (Backend backend : backends) {
            remaining -= backend.weight();
            if (remaining < 0) {
                return backend.service();
            }
        }
        return backends.get(backends.size() - 1).service();
    }

    /**
     * The limits of jobs.
     *
     * @param completionMillis The time from the submission within which all results are due, in milliseconds.
     * @param abandonMillis The time from the submission after which an item may be given up, in milliseconds.
     * @param maxWaitingTokens The most tokens of a team that may wait; 0 for no limit.
     */
    public record BatchLimits(long completionMillis, long abandonMillis, long maxWaitingTokens) {

        /** The limits of routes that take no jobs. */
        public static final BatchLimits NONE = new BatchLimits(0, 0, 0);
    }
}
