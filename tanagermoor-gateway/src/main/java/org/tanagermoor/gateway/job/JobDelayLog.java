package org.tanagermoor.gateway.job;

import java.util.concurrent.TimeUnit;
import org.tanagermoor.gateway.GatewayEvent;

/** Logs that a job of this instance cannot be run, and limits the records of its items that wait without asking. */
final class JobDelayLog {

    /** Time after which it is logged that a job cannot be run, in nanoseconds. */
    private static final long DELAY_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** Minimum time between two records of items that wait without asking, in nanoseconds. */
    private static final long UNASKED_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(5);

    private final JobContext context;

    /** Monotonic time in nanoseconds at which the job could last be run. */
    private long runnableAt;

    /** Whether it has been logged since then that it cannot. */
    private boolean recorded;

    /** Monotonic time in nanoseconds at which the wait of an item that did not ask was last logged. */
    private long unaskedRecordedAt;

    /** Creates a log for a job that this instance runs from a monotonic time in nanoseconds on. */
    JobDelayLog(JobContext context, long now) {
        this.context = context;
        runnableAt = now;
        unaskedRecordedAt = now;
    }

    /**
     * Logs once that a job has not been runnable for long.
     *
     * @param job The job.
     * @param reason Why it cannot be run; empty if it can.
     * @param now The current monotonic time in nanoseconds.
     */
    void check(JobRecord job, String reason, long now) {
        if (reason.isEmpty()) {
            runnableAt = now;
            recorded = false;
        } else if (!recorded && now - runnableAt >= DELAY_NANOS) {
            recorded = true;
            context.events()
                    .record(
                            GatewayEvent.JOB_NOT_RUN,
                            "job",
                            job.row().getId(),
                            "team",
                            job.row().getTeam(),
                            "owner",
                            job.row().getOwner(),
                            "reason",
                            reason,
                            "version",
                            job.version());
        }
    }

    /**
     * Returns whether the wait of an item that did not even ask may be logged now. There may be thousands of such
     * items, which wait for the same reason.
     */
    boolean mayRecordUnasked(long now) {
        boolean may = now - unaskedRecordedAt >= UNASKED_INTERVAL_NANOS;
        unaskedRecordedAt = may ? now : unaskedRecordedAt;
        return may;
    }
}
