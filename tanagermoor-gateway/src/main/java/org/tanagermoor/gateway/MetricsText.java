package org.tanagermoor.gateway;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;
import java.util.Map;

/** Writes counters and latency histograms in the text format of Prometheus. */
public final class MetricsText {

    /** What all names begin with. */
    private static final String PREFIX = "tanagermoor_";

    /** The quantiles of latencies that are written. */
    private static final double[] QUANTILES = {0.5, 0.95, 0.99};

    /** The nanoseconds of a second. */
    private static final double NANOS_PER_SECOND = 1e9;

    /** There are no instances. */
    private MetricsText() {}

    /**
     * Writes the metrics of a registry. Latencies are in seconds.
     *
     * @param registry The registry.
     * @return The text.
     */
    public static String of(MetricRegistry registry) {
        StringBuilder text = new StringBuilder();
        for (Map.Entry<String, Counter> counter : registry.getCounters().entrySet()) {
            String name = name(counter.getKey()) + "_total";
            text.append("# TYPE ").append(name).append(" counter\n");
            line(text, name, (double) counter.getValue().getCount());
        }
        for (Map.Entry<String, Timer> timer : registry.getTimers().entrySet()) {
            String name = name(timer.getKey()) + "_seconds";
            Snapshot snapshot = timer.getValue().getSnapshot();
            text.append("# TYPE ").append(name).append(" summary\n");
            for (double quantile : QUANTILES) {
                line(text, name + "{quantile=\"" + quantile + "\"}", snapshot.getValue(quantile) / NANOS_PER_SECOND);
            }
            line(text, name + "_count", (double) timer.getValue().getCount());
        }
        return text.toString();
    }

    /** Writes one value. */
    private static void line(StringBuilder text, String name, double value) {
        text.append(name).append(' ').append(value).append('\n');
    }

    /** Returns a name in the form that the format wants. */
    private static String name(String name) {
        return PREFIX + name.replace('.', '_').replace('-', '_');
    }
}
