package org.tanagermoor.gateway.rollout;

import com.codahale.metrics.MetricRegistry;
import org.tanagermoor.policy.rollout.RolloutEvidence;

/** Counts the requests and the bad answers of services under roll-out by side, at the instance that dispatches. */
final class RolloutMetrics {

    private final MetricRegistry registry;

    RolloutMetrics(MetricRegistry registry) {
        this.registry = registry;
    }

    /**
     * Adds what has been counted since the last call.
     *
     * @param run The roll-out.
     * @param evidence Its evidence.
     */
    void update(RolloutRun run, RolloutEvidence evidence) {
        Counts counts = Counts.of(evidence);
        Counts before = run.count(counts);
        String service = run.order().service();
        add("rollout.requests", service, "new", counts.newRequests - before.newRequests);
        add("rollout.requests", service, "old", counts.oldRequests - before.oldRequests);
        add("rollout.bad-answers", service, "new", counts.newBad - before.newBad);
        add("rollout.bad-answers", service, "old", counts.oldBad - before.oldBad);
    }

    private void add(String name, String service, String side, long count) {
        // A request that did not run is no longer counted, and a counter never decreases.
        if (count > 0) {
            registry.counter(name + "{service=\"" + service + "\",side=\"" + side + "\"}")
                    .inc(count);
        }
    }

    /**
     * The counts of a roll-out by side.
     *
     * @param newRequests The number of requests to the new version.
     * @param oldRequests The number of requests to other versions.
     * @param newBad The number of bad answers of the new version.
     * @param oldBad The number of bad answers of other versions.
     */
    record Counts(long newRequests, long oldRequests, long newBad, long oldBad) {

        /** Nothing counted. */
        static final Counts NONE = new Counts(0, 0, 0, 0);

        private static Counts of(RolloutEvidence evidence) {
            return new Counts(
                    evidence.newRequests(),
                    evidence.oldRequests(),
                    evidence.routes().stream()
                            .mapToLong(RolloutEvidence.Route::newBad)
                            .sum(),
                    evidence.routes().stream()
                            .mapToLong(RolloutEvidence.Route::oldBad)
                            .sum());
        }
    }
}
