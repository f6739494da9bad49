package org.tanagermoor.gateway.job;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.tanagermoor.gateway.fleet.Route;
import org.tanagermoor.gateway.proto.JobRow;

/** What the route of a job says about its items, as far as this instance knows. Confined to the event loop. */
final class JobTerms {

    private final JobContext context;

    /** Monotonic time in nanoseconds since which this instance knows the job. */
    private final long knownSince;

    private final JobExpiry expiry = JobExpiry.of();

    private JobTerms(JobContext context, long knownSince) {
        this.context = context;
        this.knownSince = knownSince;
    }

    /**
     * Returns the terms of a job.
     *
     * @param context The dependencies of jobs.
     * @param knownSince The monotonic time in nanoseconds since which this instance knows the job.
     */
    static JobTerms of(JobContext context, long knownSince) {
        return new JobTerms(context, knownSince);
    }

    /** Returns the service that runs the items of jobs on a route. */
    static String itemService(Route route) {
        return route.service(0);
    }

    /** Returns the time in milliseconds until a job is due on a route; negative if it is late. */
    static long dueMillis(JobRow job, Route route, long wallMillis) {
        return job.getAcceptedMillis() + route.batch().completionMillis() - wallMillis;
    }

    /** Returns the time in milliseconds until the job is due; negative if it is late, 0 if its route is not known. */
    long dueMillis(JobRow job, long wallMillis) {
        return lastRoute(job).map(route -> dueMillis(job, route, wallMillis)).orElse(0L);
    }

    /** Returns the number of failures after which an item is abandoned; 1 if the route was never known. */
    int attempts(JobRow job) {
        return lastRoute(job).map(Route::attempts).orElse(1);
    }

    /** Returns whether a target of a service may run items of the job now. */
    boolean mayRunAt(JobRow job, String service) {
        return route(job) instanceof JobRoute.Known known && service.equals(itemService(known.route()));
    }

    /** Returns what is known about the route of the job. */
    JobRoute route(JobRow job) {
        return JobRoute.of(context.fleet().configuration(), job);
    }

    /**
     * Decides about the items of the job.
     *
     * @param job The row of the job.
     * @param now The current monotonic time in nanoseconds.
     * @param wallMillis The current wall-clock time in milliseconds.
     */
    JobExpiry.Decision decide(JobRow job, long now, long wallMillis) {
        long knownMillis = TimeUnit.NANOSECONDS.toMillis(now - knownSince);
        long ageMillis = JobAge.millis(job, context.storeClock().millis(now), wallMillis, knownMillis);
        return expiry.decide(
                route(job), job, ageMillis, context.configurationReadAt().getAsLong(), now);
    }

    /** Returns the route of the job, or that when it was last there; empty if it was never known here. */
    private Optional<Route> lastRoute(JobRow job) {
        return route(job) instanceof JobRoute.Known known ? Optional.of(known.route()) : expiry.lastRoute();
    }
}
