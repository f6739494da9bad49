package org.tanagermoor.gateway.job;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.tanagermoor.gateway.fleet.Route;
import org.tanagermoor.gateway.proto.JobRow;

/**
 * Decides whether the items of a job run, wait, or are given up. They are given up when the time for the job is over,
 * and when its route has been removed and not put back. An instance that has not read the current configuration lets
 * them wait, since items that are given up are lost for good. Not thread-safe.
 */
final class JobExpiry {

    /**
     * Time for which a route must have been gone before items are given up, in nanoseconds: a route that was removed by
     * mistake can be put back within it.
     */
    static final long ROUTE_ABSENCE_NANOS = TimeUnit.SECONDS.toNanos(10);

    /** Route of the job when it was last there; its limits hold until it returns. */
    private Optional<Route> lastRoute = Optional.empty();

    /** Whether the route was gone at the last decision. */
    private boolean absent;

    /** Version of the configuration in which the route was first found gone. */
    private long absentVersion;

    /** Monotonic time at which the route was first found gone, in nanoseconds. */
    private long absentSince;

    private JobExpiry() {}

    /** Returns an instance that has not seen the route of the job. */
    static JobExpiry of() {
        return new JobExpiry();
    }

    /** Returns the route when it was last there; empty if it was not since this instance runs the job. */
    Optional<Route> lastRoute() {
        return lastRoute;
    }

    /**
     * Decides about the items that have no result.
     *
     * @param route What this instance knows about the route.
     * @param job The row of the job.
     * @param ageMillis The time in milliseconds that has passed since the acceptance of the job, at least.
     * @param configurationReadAt The monotonic time in nanoseconds up to which all changes of the configuration are
     *     known.
     * @param now The current monotonic time in nanoseconds.
     * @return The decision, which holds until the next one.
     */
    Decision decide(JobRoute route, JobRow job, long ageMillis, long configurationReadAt, long now) {
        return switch (route) {
            case JobRoute.Unknown unknown -> {
                absent = false;
                yield new Decision.Wait(unknown.reason());
            }
            case JobRoute.Known known -> {
                absent = false;
                lastRoute = Optional.of(known.route());
                yield ageMillis > limitMillis(job)
                        ? new Decision.AbandonAll("the time for the job is over")
                        : new Decision.Run(known.route());
            }
            case JobRoute.Removed removed -> decideWithoutRoute(removed, job, ageMillis, configurationReadAt, now);
        };
    }

    private Decision decideWithoutRoute(
            JobRoute.Removed removed, JobRow job, long ageMillis, long configurationReadAt, long now) {
        if (!absent) {
            absent = true;
            absentVersion = removed.version();
            absentSince = now;
        }
        String detail = "its route was removed, as of version " + absentVersion + " of the configuration";
        // A removal that the store confirms afterwards cannot have been undone by a version that was not read yet.
        boolean confirmed = configurationReadAt - absentSince >= 0;
        if (confirmed && limitMillis(job) > 0 && ageMillis > limitMillis(job)) {
            return new Decision.AbandonAll("the time for the job is over, and " + detail);
        }
        return configurationReadAt - absentSince >= ROUTE_ABSENCE_NANOS
                ? new Decision.AbandonWaiting(detail)
                : new Decision.Wait(detail);
    }

    /** Returns the time after its acceptance at which the job is abandoned, in milliseconds; 0 if it is not known. */
    private long limitMillis(JobRow job) {
        return Math.max(
                job.getAbandonMillis(),
                lastRoute.map(route -> route.batch().abandonMillis()).orElse(0L));
    }

    /** What happens to the items that have no result. */
    sealed interface Decision {

        /**
         * Items ask for places.
         *
         * @param route The route of the job.
         */
        record Run(Route route) implements Decision {}

        /**
         * Items do not ask for places. Those that run go on.
         *
         * @param reason Why they wait.
         */
        record Wait(String reason) implements Decision {}

        /**
         * Items are given up unless they run.
         *
         * @param reason Why they are given up.
         */
        record AbandonWaiting(String reason) implements Decision {}

        /**
         * All items are given up.
         *
         * @param reason Why they are given up.
         */
        record AbandonAll(String reason) implements Decision {}
    }
}
