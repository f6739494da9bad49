package org.tanagermoor.gateway;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.tanagermoor.gateway.edge.Refusal;

/** The counters and latency histograms of the gateway. */
public final class GatewayMetrics {

    /** The registry. */
    private final MetricRegistry registry;

    /** The time to the head of an answer. */
    private final Timer first;

    /** The time to the end of an answer. */
    private final Timer whole;

    /** The callers that left. */
    private final Counter left;

    /** The exchanges with targets that failed. */
    private final Counter failed;

    /** The jobs that were accepted. */
    private final Counter jobs;

    /** The results that were recorded. */
    private final Counter results;

    /** The time for which items of jobs waited for each of their places. */
    private final Timer itemWait;

    /** The items that were completed in time. */
    private final Counter itemsInTime;

    /** The items that were completed late. */
    private final Counter itemsLate;

    /** The items that were given up. */
    private final Counter itemsAbandoned;

    /** Creates metrics. */
    private GatewayMetrics(MetricRegistry registry) {
        this.registry = registry;
        first = registry.timer("online.first-answer");
        whole = registry.timer("online.whole-answer");
        left = registry.counter("online.callers-left");
        failed = registry.counter("online.exchanges-failed");
        jobs = registry.counter("batch.jobs-accepted");
        results = registry.counter("batch.results-recorded");
        itemWait = registry.timer("batch.item-wait");
        itemsInTime = registry.counter("batch.items-in-time");
        itemsLate = registry.counter("batch.items-late");
        itemsAbandoned = registry.counter("batch.items-abandoned");
    }

    /** Returns metrics in a registry. */
    public static GatewayMetrics of(MetricRegistry registry) {
        return new GatewayMetrics(registry);
    }

    /** Counts the head of an answer that took a time in nanoseconds. */
    public void firstAnswer(long nanos) {
        first.update(nanos, TimeUnit.NANOSECONDS);
    }

    /** Counts a whole answer that took a time in nanoseconds. */
    public void answered(long nanos) {
        whole.update(nanos, TimeUnit.NANOSECONDS);
    }

    /** Counts a refusal. */
    public void refused(Refusal.Kind kind) {
        registry.counter("online.refused." + kind.name().toLowerCase(Locale.ROOT))
                .inc();
    }

    /** Counts a caller that left. */
    public void callerLeft() {
        left.inc();
    }

    /** Counts an exchange with a target that failed. */
    public void exchangeFailed() {
        failed.inc();
    }

    /** Counts an accepted job. */
    public void jobAccepted() {
        jobs.inc();
    }

    /** Counts recorded results. */
    public void resultsRecorded(int count) {
        results.inc(count);
    }

    /** Counts a place for an item that came after a time in nanoseconds. */
    public void itemWaited(long nanos) {
        itemWait.update(nanos, TimeUnit.NANOSECONDS);
    }

    /** Counts a run of an item that ended in a way and took a time in nanoseconds. */
    public void itemRunEnded(String end, long nanos) {
        registry.timer("batch.item-run." + end).update(nanos, TimeUnit.NANOSECONDS);
    }

    /** Counts an item that ended. */
    public void itemEnded(boolean inTime, boolean completed) {
        if (inTime) {
            itemsInTime.inc();
        } else if (completed) {
            itemsLate.inc();
        } else {
            itemsAbandoned.inc();
        }
    }
}
