package org.tanagermoor.gateway.fleet;

import java.util.List;
import java.util.OptionalInt;

/**
 * The rule for the requests of one host whose path begins with a prefix.
 *
 * @param name The name.
 * @param host The host, in lower case and without a port.
 * @param prefix The prefix of the path, which begins and ends with a slash.
 * @param kind Whether requests may be repeated, and how they are answered.
 * @param backends The services that serve the requests, at least one.
 * @param timeoutMillis The maximum duration of a request, in milliseconds.
 * @param targetLatencyMillis The time within which an answer, a first event or the acceptance of a job is on time, in
 *     milliseconds.
 * @param attempts The maximum number of targets that may run one request.
 * @param anonymousAllowed Whether requests need no key.
 * @param resumable Whether a stream may be resumed at another target.
 * @param batch The limits of jobs; routes of other kinds do not use them.
 * @param priority The rank of its requests, where 0 is served first; empty if it has none.
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
        BatchLimits batch,
        OptionalInt priority) {

    /** Creates a route without a priority. */
    public Route(
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
        this(
                name,
                host,
                prefix,
                kind,
                backends,
                timeoutMillis,
                targetLatencyMillis,
                attempts,
                anonymousAllowed,
                resumable,
                batch,
                OptionalInt.empty());
    }

    /** Returns this route, whose requests have the given rank. */
    public Route withPriority(OptionalInt value) {
        return new Route(
                name,
                host,
                prefix,
                kind,
                backends,
                timeoutMillis,
                targetLatencyMillis,
                attempts,
                anonymousAllowed,
                resumable,
                batch,
                value);
    }

    /** Returns whether a request may run again at another target when it is unknown whether the first target ran it. */
    public boolean repeatable() {
        return kind == RouteKind.IDEMPOTENT || resumable;
    }

    /**
     * Returns how long a request may take.
     *
     * @param deadlineMillis How long the caller waits, in milliseconds; 0 if it does not say.
     * @return The time in milliseconds after which the request is ended.
     */
    public long limitMillis(long deadlineMillis) {
        return deadlineMillis > 0 ? Math.min(deadlineMillis, timeoutMillis) : timeoutMillis;
    }

    /**
     * Chooses the service for a request.
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
     * The limits of the jobs that are submitted by a route.
     *
     * @param completionMillis The time from the submission within which all results are due, in milliseconds.
     * @param abandonMillis The time from the submission after which an item may be abandoned, in milliseconds.
     * @param maxWaitingTokens The maximum number of tokens of a team that may wait; 0 for no limit.
     */
    public record BatchLimits(long completionMillis, long abandonMillis, long maxWaitingTokens) {

        /** The limits for routes that do not accept jobs. */
        public static final BatchLimits NONE = new BatchLimits(0, 0, 0);
    }
}
