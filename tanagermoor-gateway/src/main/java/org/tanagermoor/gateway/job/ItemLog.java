package org.tanagermoor.gateway.job;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.tanagermoor.gateway.GatewayEvent;

/**
 * Records what becomes of an item at this owner, and how long it waited for places, ran, and did neither, so that
 * the times of a late item add up to its age. Confined to the event loop.
 */
final class ItemLog {

    /** What jobs need. */
    private final JobContext context;

    /** The job. */
    private final JobRun job;

    /** The identity of the item. */
    private final String item;

    /** The time spent in each phase that is over, in nanoseconds. */
    private final Map<Phase, Long> spent = new EnumMap<>(Phase.class);

    /** The present phase. */
    private Phase phase = Phase.IDLE;

    /** The monotonic time in nanoseconds at which the present phase began. */
    private long since;

    /** The number of the event after which the present run began. */
    private long begunAfter;

    /** The runs so far. */
    private int runs;

    /** Creates a log of an item that is idle. */
    ItemLog(JobContext context, JobRun job, String item, long now) {
        this.context = context;
        this.job = job;
        this.item = item;
        since = now;
    }

    /**
     * Notes the begin of a phase.
     *
     * @param next The phase.
     * @param now The present monotonic time in nanoseconds.
     */
    void enter(Phase next, long now) {
        spent.merge(phase, now - since, Long::sum);
        phase = next;
        since = now;
    }

    /**
     * Records the begin of a run. The present phase must be {@link Phase#WAITING}.
     *
     * @param target The identity of the target.
     * @param lastEvent The number of the event after which the run begins.
     * @param now The present monotonic time in nanoseconds.
     */
    void placed(String target, long lastEvent, long now) {
        context.metrics().itemWaited(now - since);
        context.events()
                .record(
                        GatewayEvent.REQUEST_PLACED,
                        "request",
                        item,
                        "job",
                        job.id(),
                        "target",
                        target,
                        "last-event",
                        lastEvent,
                        "waited-ms",
                        TimeUnit.NANOSECONDS.toMillis(now - since),
                        "due-in-ms",
                        job.dueMillis());
        enter(Phase.RUNNING, now);
        begunAfter = lastEvent;
        runs++;
    }

    /**
     * Records the end of a run, if one is on its way.
     *
     * @param end Why it ended.
     * @param detail What happened in words.
     * @param target The identity of the target.
     * @param lastEvent The number of the last event that has come.
     * @param recordedEvent The number of the last event that is recorded; a lost owner loses the later ones.
     * @param now The present monotonic time in nanoseconds.
     */
    void runEnded(RunEnd end, String detail, String target, long lastEvent, long recordedEvent, long now) {
        if (phase != Phase.RUNNING) {
            return;
        }
        context.metrics().itemRunEnded(end.name().toLowerCase(Locale.ROOT), now - since);
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
                        "ran-ms",
                        TimeUnit.NANOSECONDS.toMillis(now - since),
                        "begun-after",
                        begunAfter,
                        "last-event",
                        lastEvent,
                        "recorded-event",
                        recordedEvent);
        enter(Phase.IDLE, now);
    }

    /**
     * Records the end of the item.
     *
     * @param completed Whether it was completed; else it was given up.
     * @param now The present monotonic time in nanoseconds.
     */
    void ended(boolean completed, long now) {
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

    /** Returns the time spent in a phase that is over, in milliseconds. */
    private long millis(Phase of) {
        return TimeUnit.NANOSECONDS.toMillis(spent.getOrDefault(of, 0L));
    }

    /** What an item does with its time. */
    enum Phase {

        /** It neither runs nor asks for a place. */
        IDLE,

        /** It waits for a place. */
        WAITING,

        /** It runs. */
        RUNNING
    }

    /** Why a run ended. */
    enum RunEnd {

        /** The item has a result. */
        DONE,

        /** An online request needed the place. */
        RECALLED,

        /** The target failed, or did not run the item. */
        FAILED,

        /** The job is handed over. */
        SUSPENDED,

        /** The item is no longer wanted here. */
        STOPPED
    }
}
