package org.tanagermoor.gateway;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;
import java.util.Map;

/** Writes counters and latency histograms in the text format of Prometheus. */
public final class MetricsText {

    private static final String PREFIX = "tanagermoor_";

    private static final double[] QUANTILES = {0.5, 0.95, 0.99};

    private static final double NANOS_PER_SECOND = 1e9;

    private MetricsText() {}

    /**
     * Writes the metrics of a registry, with latencies in seconds. The name of a counter may end with labels in braces.
     *
     * @param registry The registry.
     * @return One line for each type and each value, in the text format of Prometheus.
     */
    public static String of(MetricRegistry registry) {
        StringBuilder text = new StringBuilder();
        String previous = "";
        for (Map.Entry<String, Counter> counter : registry.getCounters().entrySet()) {
            int labels = labelsIndex(counter.getKey());
            String name = name(counter.getKey().substring(0, labels)) + "_total";
            // The format allows one type line for all counters of a name that differ by their labels.
            if (!name.equals(previous)) {
                text.append("# TYPE ").append(name).append(" counter\n");
            }
            previous = name;
            line(text, name + counter.getKey().substring(labels), (double)
                    counter.getValue().getCount());
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

    /** Returns the index at which the labels of a counter begin, or the length of its name if it has none. */
    private static int labelsIndex(String name) {
        int index = name.indexOf('{');
        return index < 0 ? name.length() : index;
    }

    private static void line(StringBuilder text, String name, double value) {
        text.append(name).append(' ').append(value).append('\n');
    }

    /** Replaces the characters that the format does not allow in names. */
    private static String name(String name) {
        return PREFIX + name.replace('.', '_').replace('-', '_');
    }
}
