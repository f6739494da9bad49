package org.tanagermoor.gateway.dispatch;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.tanagermoor.gateway.fleet.TargetEntry;

/** The request limits of the targets of a dispatcher. Not thread-safe. */
final class TargetLimits {

    /** The maximum number of targets that are not known yet of which reports are kept. */
    private static final int MAX_EARLY_REPORTS = 1_024;

    /** What was said about the request limits of targets that are not known yet, by their identity. */
    private final Map<String, LimitReport> earlyReports = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        /** {@inheritDoc} */
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, LimitReport> eldest) {
            return size() > MAX_EARLY_REPORTS;
        }
    };

    /** The queues by the name of the service. */
    private final Map<String, ServiceQueue> services;

    private final TeamRates rates;

    /** Grants places of a service that may have become free. */
    private final Drain drain;

    /** Whether it is known what all instances have sent to targets with a request limit. */
    private boolean sendsKnown = true;

    /** The part of the rates that was last applied. */
    private double shares = 1;

    /**
     * Creates the limits of targets that name none.
     *
     * @param services The queues by the name of the service; changes take effect.
     * @param rates Tells the part of the rates that this dispatcher may admit.
     * @param drain Grants places of a service that may have become free.
     */
    TargetLimits(Map<String, ServiceQueue> services, TeamRates rates, Drain drain) {
        this.services = services;
        this.rates = rates;
        this.drain = drain;
    }

    /** Applies what is known of the request limit of a target that was added. */
    void started(TargetEntry entry, long now) {
        LimitReport report = earlyReports.remove(entry.id());
        if (report != null && report.startedAtMillis() == entry.startedAtMillis()) {
            report(report, now);
        }
    }

    /**
     * Records what an answer of a target said about its request limit, and grants places if it has changed.
     *
     * @param report What the answer said.
     * @param now The current monotonic time in nanoseconds.
     */
    void report(LimitReport report, long now) {
        for (ServiceQueue queue : services.values()) {
            TargetPlaces place = queue.places().get(report.target());
            if (place == null) {
                continue;
            }
            long startedAt = place.entry().startedAtMillis();
            if (startedAt == report.startedAtMillis()) {
                place.requestLimit().shares(shares, now);
                place.requestLimit().blocked(!sendsKnown);
                place.requestLimit().sent(report.sent());
                if (place.requestLimit().report(report.perSecond(), report.heardAt(), now)) {
                    drain.drain(queue, now);
                }
                return;
            }
            if (startedAt > report.startedAtMillis()) {
                return;
            }
        }
        earlyReports.put(report.target(), report);
    }

    /**
     * Returns what is known of the request limit of a target.
     *
     * @param service The name of the service.
     * @param target The identity of the target.
     * @return The last report of the limit; empty if the target names none.
     */
    Optional<LimitReport> find(String service, String target) {
        ServiceQueue queue = services.get(service);
        return queue == null
                ? Optional.empty()
                : Optional.ofNullable(queue.places().get(target))
                        .filter(place -> place.requestLimit().named())
                        .map(TargetLimits::toReport);
    }

    /** Returns the request limits that targets name, each with the number of requests that they got since. */
    Map<LimitReport, Long> named() {
        Map<LimitReport, Long> result = new HashMap<>();
        places().filter(place -> place.requestLimit().named())
                .forEach(place ->
                        result.put(toReport(place), place.requestLimit().taken()));
        return result;
    }

    /**
     * Sets whether it is known what all instances have sent to targets with a request limit. Until it is, such targets
     * get nothing.
     *
     * @param known Whether it is known.
     * @param now The current monotonic time in nanoseconds.
     */
    void sendsKnown(boolean known, long now) {
        if (sendsKnown != known) {
            sendsKnown = known;
            places().forEach(place -> place.requestLimit().blocked(!known));
            if (known) {
                services.values().forEach(queue -> drain.drain(queue, now));
            }
        }
    }

    /**
     * Applies the part of the rates that this dispatcher may admit.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    void applyShares(long now) {
        if (rates.fraction() != shares) {
            shares = rates.fraction();
            places().forEach(place -> place.requestLimit().shares(shares, now));
        }
    }

    private Stream<TargetPlaces> places() {
        return services.values().stream().flatMap(queue -> queue.places().values().stream());
    }

    private static LimitReport toReport(TargetPlaces place) {
        return new LimitReport(
                place.entry().id(),
                place.entry().startedAtMillis(),
                place.requestLimit().perSecond(),
                place.requestLimit().heardAt());
    }

    /** Grants the free places of a service. */
    interface Drain {

        /**
         * Grants free places.
         *
         * @param queue The queue of the service.
         * @param now The current monotonic time in nanoseconds.
         */
        void drain(ServiceQueue queue, long now);
    }
}
