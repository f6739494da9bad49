package org.tanagermoor.gateway.job;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.tanagermoor.gateway.GatewayEvent;
import org.tanagermoor.gateway.fleet.Route;
import org.tanagermoor.policy.prompt.Prompt;
import org.tanagermoor.policy.quarantine.IsolatedRuns;
import org.tanagermoor.policy.quarantine.QuarantineEntry;

/**
 * When an item asks for a place while a part of its prompt is held back: only some time after a run that failed, so
 * that it crashes few targets, and often enough to be run again and again within the time for its job. Confined to the
 * event loop.
 */
final class ItemHold {

    /** Maximum time after which an item that is held back checks whether it still is, in milliseconds. */
    private static final long MAX_PAUSE_MILLIS = 1_000;

    /** Maximum time for which one ask waits for a place, in nanoseconds; the item asks again afterwards. */
    private static final long MAX_WAIT_NANOS = TimeUnit.SECONDS.toNanos(10);

    private final JobContext context;

    /** Identity of the job. */
    private final String job;

    /** Identity of the item. */
    private final String item;

    private final Prompt prompt;

    /** Whether it is logged that the item is held back; once before each run. */
    private boolean logged;

    /** Monotonic time in nanoseconds of the last run that failed and may have begun; empty if there is none. */
    private OptionalLong failedAt = OptionalLong.empty();

    /** Whether a part of the prompt was held back when the current run started. */
    private boolean isolated;

    /** Number of runs that failed although a part of the prompt was held back when they started. */
    private int isolatedFailures;

    ItemHold(JobContext context, String job, String item, Prompt prompt) {
        this.context = context;
        this.job = job;
        this.item = item;
        this.prompt = prompt;
    }

    /** Returns whether a part of the prompt is held back. */
    boolean heldBack() {
        return context.quarantine().heldBy(prompt).isPresent();
    }

    /** Notes that a run started at the given monotonic time in nanoseconds has failed. */
    void runFailed(long now) {
        failedAt = OptionalLong.of(now);
        isolatedFailures += isolated ? 1 : 0;
    }

    /** Notes that a run starts. */
    void runStarted() {
        logged = false;
        isolated = heldBack();
    }

    /**
     * Returns the time after which the item checks again whether it may ask, in milliseconds; 0 if it may ask now.
     *
     * @param route The route of the job.
     * @param now The current monotonic time in nanoseconds.
     */
    long pauseMillis(Route route, long now) {
        Optional<QuarantineEntry> held = context.quarantine().heldBy(prompt);
        held.ifPresent(entry -> log(entry.evidence()));
        if (held.isEmpty() || failedAt.isEmpty()) {
            return 0;
        }
        long leftNanos = failedAt.getAsLong() + pauseNanos(route) - now;
        return leftNanos <= 0 ? 0 : bounded(TimeUnit.NANOSECONDS.toMillis(leftNanos) + 1);
    }

    /**
     * Returns how long an ask waits for a place, in nanoseconds. One of an item that is held back keeps its turn for
     * longer.
     */
    long waitNanos(Route route) {
        return heldBack() ? Math.max(MAX_WAIT_NANOS, pauseNanos(route)) : MAX_WAIT_NANOS;
    }

    /**
     * Returns the pause after a refusal for a part that is held back, in milliseconds.
     *
     * @param detail The part and the evidence against it.
     * @param millis The time until a request with the part may be let through, in milliseconds.
     */
    long refused(String detail, long millis) {
        log(detail);
        return bounded(millis);
    }

    private static long bounded(long millis) {
        return Math.min(MAX_PAUSE_MILLIS, millis);
    }

    /**
     * Returns the time from a failed run to the next ask, in nanoseconds. The first attempts are made in the time in
     * which the job is due, since its caller needs an item in that time whose part was accused wrongly.
     */
    private long pauseNanos(Route route) {
        boolean due = isolatedFailures < route.attempts();
        long millis = route.batch().abandonMillis();
        return IsolatedRuns.pauseNanos(
                TimeUnit.MILLISECONDS.toNanos(due ? Math.min(route.batch().completionMillis(), millis) : millis),
                route.attempts());
    }

    private void log(String detail) {
        if (!logged) {
            logged = true;
            context.events().record(GatewayEvent.ITEM_HELD_BACK, "request", item, "job", job, "detail", detail);
        }
    }
}
