package org.tanagermoor.policy.target;

import java.util.Comparator;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.tanagermoor.policy.configuration.Configuration;
import org.tanagermoor.policy.configuration.Target;
import org.tanagermoor.policy.fleet.ServiceName;

/**
 * The requests that wait for a permit of a service. Not thread-safe.
 *
 * @param <V> The type of the object that is notified of the outcome of a request.
 */
final class WaitingRequests<V> {

    /** The maximum number of requests that wait for a service. */
    private static final int QUEUE_CAPACITY = 4_096;

    /** The weight of the last interval in the moving average of the time between two served requests. */
    private static final double INTERVAL_SMOOTHING = 0.1;

    final FairQueue<Ticket<V>> queue = FairQueue.of(QUEUE_CAPACITY);

    /** The usable targets, or {@code null} if they must be determined again. */
    @Nullable
    private List<Target> targets;

    /** The moving average of the time between two served requests, in nanoseconds. */
    private double serviceInterval;

    /** The monotonic time at which the last request was served, in nanoseconds. */
    private long lastServedAt;

    /** Whether any request was served before. */
    private boolean served;

    /**
     * Returns the usable targets of the service.
     *
     * @param configuration The adopted configuration.
     * @param subset The targets that this instance uses.
     * @param service The service.
     * @return The targets, sorted by name.
     */
    List<Target> targets(Configuration configuration, TargetSubset subset, ServiceName service) {
        List<Target> cached = targets;
        if (cached == null) {
            cached = configuration.usableTargets(service).stream()
                    .filter(target -> subset.includes(target.id()))
                    .sorted(Comparator.comparing(Target::id))
                    .toList();
            targets = cached;
        }
        return cached;
    }

    /** Discards the usable targets after a configuration was adopted, so that they are determined again. */
    void invalidateTargets() {
        targets = null;
    }

    /**
     * Records that a request is served.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    void served(long now) {
        if (served) {
            serviceInterval += INTERVAL_SMOOTHING * (now - lastServedAt - serviceInterval);
        }
        served = true;
        lastServedAt = now;
    }

    /**
     * Returns the estimated time between two served requests.
     *
     * @return The estimate in nanoseconds; 0 until two requests were served.
     */
    long serviceInterval() {
        return (long) serviceInterval;
    }
}
