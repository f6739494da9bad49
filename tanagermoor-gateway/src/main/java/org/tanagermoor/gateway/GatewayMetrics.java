package org.tanagermoor.gateway;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.tanagermoor.gateway.edge.Refusal;

/** The counters and latency histograms of the gateway. */
public final class GatewayMetrics {

    private final MetricRegistry registry;

    /** From the arrival of a request to the head of its answer. */
    private final Timer timeToHead;

    /** From the arrival of a request to the end of its answer. */
    private final Timer timeToEnd;

    private final Counter callersLeft;

    private final Counter exchangesFailed;

    private final Counter jobsAccepted;

    private final Counter recordedResults;

    /** Failed attempts to read or write the state of jobs. */
    private final Counter failedJobSteps;

    /** Runs of duties that ended by an error. */
    private final Counter failedDuties;

    /** How long items of jobs waited for each of their places. */
    private final Timer itemWait;

    private final Counter itemsInTime;

    private final Counter itemsLate;

    private final Counter itemsAbandoned;

    private GatewayMetrics(MetricRegistry registry) {
        this.registry = registry;
        timeToHead = registry.timer("online.first-answer");
        timeToEnd = registry.timer("online.whole-answer");
        callersLeft = registry.counter("online.callers-left");
        exchangesFailed = registry.counter("online.exchanges-failed");
        jobsAccepted = registry.counter("batch.jobs-accepted");
        recordedResults = registry.counter("batch.results-recorded");
        failedJobSteps = registry.counter("batch.job-steps-failed");
        failedDuties = registry.counter("duties.failed");
        itemWait = registry.timer("batch.item-wait");
        itemsInTime = registry.counter("batch.items-in-time");
        itemsLate = registry.counter("batch.items-late");
        itemsAbandoned = registry.counter("batch.items-abandoned");
    }

    /** Returns metrics that are kept in a registry. */
    public static GatewayMetrics of(MetricRegistry registry) {
        return new GatewayMetrics(registry);
    }

    /**
     * Records that the head of an answer was sent.
     *
     * @param nanos The time since the arrival of the request, in nanoseconds.
     */
    public void answerStarted(long nanos) {
        timeToHead.update(nanos, TimeUnit.NANOSECONDS);
    }

    /**
     * Records that an answer was sent to its end.
     *
     * @param nanos The time since the arrival of the request, in nanoseconds.
     */
    public void answerCompleted(long nanos) {
        timeToEnd.update(nanos, TimeUnit.NANOSECONDS);
    }

    /** Counts a refusal under its kind. */
    public void refused(Refusal.Kind kind) {
        registry.counter("online.refused." + kind.name().toLowerCase(Locale.ROOT))
                .inc();
    }

    /** Counts a caller that closed its connection before its answer was complete. */
    public void callerLeft() {
        callersLeft.inc();
    }

    /** Counts a request that a target failed to answer. */
    public void exchangeFailed() {
        exchangesFailed.inc();
    }

    /** Counts a job that was recorded and will run. */
    public void jobAccepted() {
        jobsAccepted.inc();
    }

    /** Counts results that were written to the control store. */
    public void resultsRecorded(int count) {
        recordedResults.inc(count);
    }

    /** Counts a failed attempt to read or write the state of a job. */
    public void jobStepFailed() {
        failedJobSteps.inc();
    }

    /** Counts a run of a duty that ended by an error. */
    public void dutyFailed() {
        failedDuties.inc();
    }

    /**
     * Records that an item got a place.
     *
     * @param nanos How long it waited for the place, in nanoseconds.
     */
    public void itemWaited(long nanos) {
        itemWait.update(nanos, TimeUnit.NANOSECONDS);
    }

    /**
     * Records the end of a run of an item.
     *
     * @param end How the run ended; part of the name of the metric.
     * @param nanos The duration of the run in nanoseconds.
     */
    public void itemRunEnded(String end, long nanos) {
        registry.timer("batch.item-run." + end).update(nanos, TimeUnit.NANOSECONDS);
    }

    /**
     * Counts an item that ended.
     *
     * @param inTime Whether it was completed before it was due.
     * @param completed Whether it was completed rather than abandoned.
     */
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
