package org.tanagermoor.gateway.job;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.tanagermoor.gateway.GatewayEvent;
import org.tanagermoor.gateway.dispatch.PlacementDecision;
import org.tanagermoor.gateway.forward.TargetHead;
import org.tanagermoor.policy.prompt.Prompt;

/**
 * Logs and measures the runs of an item on the instance that owns its job: how long the item waited for places, ran,
 * and was idle, so that the times of a late item add up to its age. Confined to the event loop.
 */
final class ItemLog {

    /** Time without a run after which the wait is logged, in nanoseconds. */
    private static final long LONG_WAIT_NANOS = TimeUnit.SECONDS.toNanos(5);

    private final JobContext context;

    private final JobRun job;

    /** Identity of the item, logged as the request. */
    private final String item;

    private final Prompt prompt;

    /** Time spent in the phases that have ended, in nanoseconds. */
    private final Map<Phase, Long> elapsed = new EnumMap<>(Phase.class);

    private Phase phase = Phase.IDLE;

    /** Monotonic time at which the current phase started, in nanoseconds. */
    private long phaseStartedAt;

    /** Number of the last event before the current run. */
    private long startEvent;

    /** Number of runs started so far. */
    private int runs;

    /** The head of the answer in the current run, or {@code null} before it has arrived. */
    @Nullable
    private TargetHead answer;

    /** Monotonic time at which the last run ended, or at which this instance began to run the job, in nanoseconds. */
    private long waitingSince;

    /** Time without a run after which the wait is logged next, in nanoseconds. */
    private long nextWait = LONG_WAIT_NANOS;

    /** Number of asks for a place since the last run. */
    private int asks;

    /** Why the last ask, or the last attempt to ask, failed; empty if none has since the last run. */
    private String refusal = "";

    /** Creates a log for an idle item, whose first phase starts at the given monotonic time in nanoseconds. */
    ItemLog(JobContext context, JobRun job, String item, Prompt prompt, long now) {
        this.context = context;
        this.job = job;
        this.item = item;
        this.prompt = prompt;
        phaseStartedAt = now;
        waitingSince = now;
    }

    /**
     * Notes why the item got no place.
     *
     * @param reason Why the ask was refused, was not even sent, or was granted in vain.
     * @param detail More about the reason; may be empty.
     */
    void refused(PlacementDecision.Reason reason, String detail) {
        refusal = detail.isEmpty() ? reason.name() : reason + ": " + detail;
    }

    /**
     * Records that the item has had no run for long, once at first and again each time that the wait has doubled. Does
     * nothing if the item is running.
     *
     * @param state What the item does instead.
     * @param excluded The identities of the targets that it excludes.
     * @param lastEvent The number of the last received event.
     * @param now The current monotonic time in nanoseconds.
     */
    void recordWait(String state, Set<String> excluded, long lastEvent, long now) {
        if (phase == Phase.RUNNING || now - waitingSince < nextWait) {
            return;
        }
        if (asks == 0 && refusal.isEmpty() && !job.mayRecordUnasked(now)) {
            return;
        }
        nextWait = 2 * (now - waitingSince);
        context.events()
                .record(
                        GatewayEvent.ITEM_WAITING,
                        "request",
                        item,
                        "job",
                        job.id(),
                        "team",
                        job.team(),
                        "state",
                        state,
                        "waited-ms",
                        TimeUnit.NANOSECONDS.toMillis(now - waitingSince),
                        "asks",
                        asks,
                        "refusal",
                        refusal,
                        "excluded",
                        String.join(",", new TreeSet<>(excluded)),
                        "parts",
                        String.join(",", prompt.shared()),
                        "runs",
                        runs,
                        "last-event",
                        lastEvent,
                        "due-in-ms",
                        job.dueMillis());
    }

    /**
     * Ends the current phase and starts another.
     *
     * @param nextPhase The phase that starts.
     * @param now The current monotonic time in nanoseconds.
     */
    void enter(Phase nextPhase, long now) {
        elapsed.merge(phase, now - phaseStartedAt, Long::sum);
        phase = nextPhase;
        asks += nextPhase == Phase.WAITING ? 1 : 0;
        phaseStartedAt = now;
    }

    /**
     * Records the start of a run. The current phase must be {@link Phase#WAITING}.
     *
     * @param target The identity of the target.
     * @param permit The number of the permit.
     * @param lastEvent The number of the last event before the run.
     * @param now The current monotonic time in nanoseconds.
     */
    void recordRunStart(String target, long permit, long lastEvent, long now) {
        context.metrics().itemWaited(now - phaseStartedAt);
        context.events()
                .record(
                        GatewayEvent.REQUEST_PLACED,
                        "request",
                        item,
                        "job",
                        job.id(),
                        "team",
                        job.team(),
                        "target",
                        target,
                        "permit",
                        permit,
                        "parts",
                        String.join(",", prompt.shared()),
                        "last-event",
                        lastEvent,
                        "waited-ms",
                        TimeUnit.NANOSECONDS.toMillis(now - phaseStartedAt),
                        "due-in-ms",
                        job.dueMillis());
        enter(Phase.RUNNING, now);
        startEvent = lastEvent;
        answer = null;
        runs++;
        asks = 0;
        refusal = "";
    }

    /** Notes the head of the answer in the current run. */
    void answerStarted(TargetHead head) {
        answer = head;
    }

    /**
     * Records the end of the current run. Does nothing if the item is not running.
     *
     * @param end Why the run ended.
     * @param detail A description of the cause.
     * @param target The identity of the target.
     * @param lastEvent The number of the last received event.
     * @param recordedEvent The number of the last event recorded in the store; later events are lost if the owner
     *     fails.
     * @param now The current monotonic time in nanoseconds.
     */
    void recordRunEnd(RunEnd end, String detail, String target, long lastEvent, long recordedEvent, long now) {
        if (phase != Phase.RUNNING) {
            return;
        }
        context.metrics().itemRunEnded(end.name().toLowerCase(Locale.ROOT), now - phaseStartedAt);
        context.events()
                .record(
                        GatewayEvent.ITEM_RUN_ENDED,
                        "request",
                        item,
                        "job",
                        job.id(),
                        "target",
                        target,
                        "end",
                        end,
                        "detail",
                        detail,
                        "parts",
                        String.join(",", prompt.shared()),
                        "status",
                        answer == null ? "" : answer.status(),
                        "signed",
                        answer != null && answer.signed(),
                        "ran-ms",
                        TimeUnit.NANOSECONDS.toMillis(now - phaseStartedAt),
                        "begun-after",
                        startEvent,
                        "last-event",
                        lastEvent,
                        "recorded-event",
                        recordedEvent);
        enter(Phase.IDLE, now);
        waitingSince = now;
        nextWait = LONG_WAIT_NANOS;
    }

    /**
     * Records the end of the item.
     *
     * @param completed {@code true} if the item was completed, {@code false} if it was abandoned.
     * @param now The current monotonic time in nanoseconds.
     */
    void recordEnd(boolean completed, long now) {
        enter(Phase.IDLE, now);
        boolean inTime = completed && job.dueMillis() >= 0;
        context.metrics().itemEnded(inTime, completed);
        context.events()
                .record(
                        GatewayEvent.ITEM_ENDED,
                        "request",
                        item,
                        "job",
                        job.id(),
                        "completed",
                        completed,
                        "due-in-ms",
                        job.dueMillis(),
                        "runs",
                        runs,
                        "waited-ms",
                        millis(Phase.WAITING),
                        "ran-ms",
                        millis(Phase.RUNNING),
                        "idle-ms",
                        millis(Phase.IDLE));
    }

    /** Returns the total time of the ended phases of a kind, in milliseconds. */
    private long millis(Phase measured) {
        return TimeUnit.NANOSECONDS.toMillis(elapsed.getOrDefault(measured, 0L));
    }

    /** The activity to which the time of an item is attributed. */
    enum Phase {

        /** The item neither runs nor waits for a place. */
        IDLE,

        /** The item waits for a place. */
        WAITING,

        /** The item runs at a target. */
        RUNNING
    }

    /** The reason why a run ended. */
    enum RunEnd {

        /** The item has a result. */
        DONE,

        /** An online request needed the place. */
        RECALLED,

        /** The target failed, or did not run the item. */
        FAILED,

        /** The job is being handed over to another instance. */
        SUSPENDED,

        /** The item is no longer needed on this instance. */
        STOPPED
    }
}
