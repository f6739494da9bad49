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
    private final Timer timeToHead;

    /** The time to the end of an answer. */
    private final Timer timeToEnd;

    /** The callers that left. */
    private final Counter callersLeft;

    /** The exchanges with targets that failed. */
    private final Counter exchangesFailed;

    /** The jobs that were accepted. */
    private final Counter jobsAccepted;

    /** The results that were recorded. */
    private final Counter recordedResults;

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
        timeToHead = registry.timer("online.first-answer");
        timeToEnd = registry.timer("online.whole-answer");
        callersLeft = registry.counter("online.callers-left");
        exchangesFailed = registry.counter("online.exchanges-failed");
        jobsAccepted = registry.counter("batch.jobs-accepted");
        recordedResults = registry.counter("batch.results-recorded");
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
    public void answerStarted(long nanos) {
        timeToHead.update(nanos, TimeUnit.NANOSECONDS);
    }

    /** Counts a whole answer that took a time in nanoseconds. */
    public void answerCompleted(long nanos) {
        timeToEnd.update(nanos, TimeUnit.NANOSECONDS);
    }

    /** Counts a refusal. */
    public void refused(Refusal.Kind kind) {
        registry.counter("online.refused." + kind.name().toLowerCase(Locale.ROOT))
                .inc();
    }

    /** Counts a caller that left. */
    public void callerLeft() {
        callersLeft.inc();
    }

    /** Counts an exchange with a target that failed. */
    public void exchangeFailed() {
        exchangesFailed.inc();
    }

    /** Counts an accepted job. */
    public void jobAccepted() {
        jobsAccepted.inc();
    }

    /** Counts recorded results. */
    public void resultsRecorded(int count) {
        recordedResults.inc(count);
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
