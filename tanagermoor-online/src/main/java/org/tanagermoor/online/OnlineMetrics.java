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

    /** The prefix of the names. */
    private static final String PREFIX = "online.";

    /** The requests that arrived. */
    private final Meter requests;

    /** The retries. */
    private final Meter retries;

    /** The refusals by kind. */
    private final Map<Failure.Kind, Counter> refusals = new EnumMap<>(Failure.Kind.class);

    /** The time to the first token. */
    private final Timer firstToken;

    /** The time between two tokens. */
    private final Timer betweenTokens;

    /** The time to the end of the answer. */
    private final Timer completeAnswer;

    /**
     * Creates metrics.
     *
     * @param registry Keeps the metrics.
     */
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
     * Returns metrics.
     *
     * @param registry Keeps the metrics.
     * @return The metrics.
     */
    public static OnlineMetrics of(MetricRegistry registry) {
        return new OnlineMetrics(registry);
    }

    /** Counts a request that arrived. */
    public void arrived() {
        requests.mark();
    }

    /** Counts a retry. */
    public void retried() {
        retries.mark();
    }

    /**
     * Counts a refusal or a failure.
     *
     * @param kind The kind.
     */
    public void refused(Failure.Kind kind) {
        Counter counter = refusals.get(kind);
        if (counter != null) {
            counter.inc();
        }
    }

    /**
     * Notes the time to the first token.
     *
     * @param nanos The time in nanoseconds.
     */
    public void firstToken(long nanos) {
        firstToken.update(nanos, TimeUnit.NANOSECONDS);
    }

    /**
     * Notes the time between two tokens.
     *
     * @param nanos The time in nanoseconds.
     */
    public void betweenTokens(long nanos) {
        betweenTokens.update(nanos, TimeUnit.NANOSECONDS);
    }

    /**
     * Notes the time to the end of an answer.
     *
     * @param nanos The time in nanoseconds.
     */
    public void completeAnswer(long nanos) {
        completeAnswer.update(nanos, TimeUnit.NANOSECONDS);
    }
}
