package org.tanagermoor.daemon.status;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Sampling;
import com.codahale.metrics.Snapshot;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.tanagermoor.http.Json;

/** Converts a registry of metrics to the JSON document that operators read. */
final class MetricsDocument {

    private MetricsDocument() {}

    /**
     * Returns all metrics by name. The values of timers are in nanoseconds.
     */
    static ObjectNode of(MetricRegistry metrics) {
        ObjectNode document = Json.mapper().createObjectNode();
        metrics.getGauges().forEach((name, gauge) -> document.putPOJO(name, gauge.getValue()));
        metrics.getCounters().forEach((name, counter) -> document.put(name, counter.getCount()));
        metrics.getMeters()
                .forEach((name, meter) -> document.putObject(name)
                        .put("count", meter.getCount())
                        .put("rate_1m", meter.getOneMinuteRate()));
        metrics.getHistograms()
                .forEach((name, histogram) ->
                        putDistribution(document.putObject(name).put("count", histogram.getCount()), histogram));
        metrics.getTimers()
                .forEach((name, timer) ->
                        putDistribution(document.putObject(name).put("count", timer.getCount()), timer));
        return document;
    }

    /**
     * Adds the percentiles and the maximum of a metric to its object.
     */
    private static void putDistribution(ObjectNode node, Sampling metric) {
        Snapshot snapshot = metric.getSnapshot();
        node.put("p50", snapshot.getMedian())
                .put("p95", snapshot.get95thPercentile())
                .put("p99", snapshot.get99thPercentile())
                .put("max", snapshot.getMax());
    }
}
