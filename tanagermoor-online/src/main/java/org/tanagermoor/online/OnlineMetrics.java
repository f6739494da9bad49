package org.tanagermoor.online;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.tanagermoor.kernel.failure.Failure;

/** The metrics of online requests. */
public final class OnlineMetrics {

    private static final String PREFIX = "online.";

    private final Meter requests;

    private final Meter retries;

    private final Map<Failure.Kind, Counter> refusals = new EnumMap<>(Failure.Kind.class);

    /** The time from the arrival of a request to the first token of its answer. */
    private final Timer firstToken;

    private final Timer betweenTokens;

    /** The time from the arrival of a request to the end of its answer. */
    private final Timer completeAnswer;

    private OnlineMetrics(MetricRegistry registry) {
        requests = registry.meter(PREFIX + "requests");
        retries = registry.meter(PREFIX + "retries");
        firstToken = registry.timer(PREFIX + "first-token");
        betweenTokens = registry.timer(PREFIX + "between-tokens");
        completeAnswer = registry.timer(PREFIX + "whole-answer");
        for (Failure.Kind kind : Failure.Kind.values()) {
            refusals.put(
                    kind, registry.counter(PREFIX + "refusals." + kind.name().toLowerCase(Locale.ROOT)));
        }
    }

    /**
     * Creates metrics and registers them.
     *
     * @param registry The registry to add to.
     * @return The metrics.
     */
    public static OnlineMetrics of(MetricRegistry registry) {
        return new OnlineMetrics(registry);
    }

    /** Counts a request that arrived, whether it is served or refused. */
    public void arrived() {
        requests.mark();
    }

    /** Counts an attempt that follows a failed one. */
    public void retried() {
        retries.mark();
    }

    /**
     * Counts a refusal or a failure.
     *
     * @param kind The kind of failure.
     */
    public void refused(Failure.Kind kind) {
        Counter counter = refusals.get(kind);
        if (counter != null) {
            counter.inc();
        }
    }

    /**
     * Records the time from the arrival of a request to the first token of its answer.
     *
     * @param nanos The time in nanoseconds.
     */
    public void firstToken(long nanos) {
        firstToken.update(nanos, TimeUnit.NANOSECONDS);
    }

    /**
     * Records the time between two tokens of an answer.
     *
     * @param nanos The time in nanoseconds.
     */
    public void betweenTokens(long nanos) {
        betweenTokens.update(nanos, TimeUnit.NANOSECONDS);
    }

    /**
     * Records the time from the arrival of a request to the end of its answer.
     *
     * @param nanos The time in nanoseconds.
     */
    public void completeAnswer(long nanos) {
        completeAnswer.update(nanos, TimeUnit.NANOSECONDS);
    }
}
