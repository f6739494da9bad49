package org.tanagermoor.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.matchesPattern;

import com.codahale.metrics.MetricRegistry;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.tanagermoor.gateway.edge.Refusal;

/** Tests the text form of the metrics. */
final class MetricsTextTest {

    /** Each line is a type or a value, and the recorded counts and latencies are present. */
    @Test
    void writesCountersAndLatencies() {
        MetricRegistry registry = new MetricRegistry();
        GatewayMetrics metrics = GatewayMetrics.of(registry);
        metrics.refused(Refusal.Kind.UNAVAILABLE);
        metrics.answerStarted(TimeUnit.MILLISECONDS.toNanos(250));
        String text = MetricsText.of(registry);
        assertThat(text, containsString("tanagermoor_online_refused_unavailable_total 1.0\n"));
        assertThat(text, containsString("tanagermoor_online_first_answer_seconds{quantile=\"0.5\"} 0.25\n"));
        assertThat(text, containsString("tanagermoor_online_first_answer_seconds_count 1.0\n"));
        assertThat(
                text.lines().toList(),
                everyItem(matchesPattern(
                        "# TYPE [a-z_]+ (counter|summary)|[a-z_]+(\\{quantile=\"[0-9.]+\"\\})? [0-9.E-]+")));
    }

    /** Counters that differ by their labels have one type line; a second one makes readers reject the whole text. */
    @Test
    void writesLabels() {
        MetricRegistry registry = new MetricRegistry();
        registry.counter("rollout.requests{service=\"s-1\",side=\"new\"}").inc(2);
        registry.counter("rollout.requests{service=\"s-1\",side=\"old\"}").inc(3);
        assertThat(MetricsText.of(registry), is("""
                # TYPE tanagermoor_rollout_requests_total counter
                tanagermoor_rollout_requests_total{service="s-1",side="new"} 2.0
                tanagermoor_rollout_requests_total{service="s-1",side="old"} 3.0
                """));
    }
}
