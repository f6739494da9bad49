package org.tanagermoor.gateway.job;

import java.util.Optional;
import org.tanagermoor.gateway.fleet.FleetConfiguration;
import org.tanagermoor.gateway.fleet.Route;
import org.tanagermoor.gateway.fleet.RouteKind;
import org.tanagermoor.gateway.proto.JobRow;

/** What an instance knows about the route of a job. */
sealed interface JobRoute {

    /**
     * Looks up the route of a job.
     *
     * @param configuration The configuration that this instance has read; empty if there is none.
     * @param job The row of the job.
     * @return The route, or why there is none.
     */
    static JobRoute of(Optional<FleetConfiguration> configuration, JobRow job) {
        if (configuration.isEmpty()) {
            return new Unknown("no configuration has been read");
        }
        FleetConfiguration known = configuration.get();
        if (known.version() < job.getConfigurationVersion()) {
            return new Unknown("version " + known.version() + " of the configuration is older than version "
                    + job.getConfigurationVersion() + ", by which the job was last run");
        }
        Optional<Route> route =
                known.route(job.getHost(), job.getPath()).filter(found -> found.kind() == RouteKind.BATCH);
        return route.isPresent() ? new Known(route.get(), known.version()) : new Removed(known.version());
    }

    /**
     * Returns the row of a job with what the next owner has to know about its route. Returns the same row if the route
     * is not known.
     */
    default JobRow recordIn(JobRow job) {
        if (!(this instanceof Known known)) {
            return job;
        }
        return job.toBuilder()
                .setAbandonMillis(
                        Math.max(job.getAbandonMillis(), known.route().batch().abandonMillis()))
                .setConfigurationVersion(known.version())
                .build();
    }

    /**
     * The configuration has the route.
     *
     * @param route The route, which accepts jobs.
     * @param version The version of the configuration.
     */
    record Known(Route route, long version) implements JobRoute {}

    /**
     * The configuration that this instance has read does not tell whether the route exists.
     *
     * @param reason Why it does not.
     */
    record Unknown(String reason) implements JobRoute {}

    /**
     * The configuration has no such route, or one that does not accept jobs.
     *
     * @param version The version of the configuration.
     */
    record Removed(long version) implements JobRoute {}
}
