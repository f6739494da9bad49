package org.tanagermoor.gateway.job;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.tanagermoor.gateway.GatewayEvent;

/**
 * Deletes jobs that have ended and that nobody may read any more, so that neither the store nor the memory of instances
 * fills up. Confined to the event loop.
 */
final class JobRetention {

    /** By how much the clocks of two instances may differ, in milliseconds: twice the bound that the users state. */
    private static final long SKEW_MILLIS = 10_000;

    /** The most jobs that are deleted at once: each takes some calls, and callers' calls share their rate. */
    private static final int AT_ONCE = 2;

    /** The time before anything is deleted after a failure, in nanoseconds: long beside a short outage of the store. */
    private static final long RETRY_NANOS = TimeUnit.SECONDS.toNanos(5);

    /** What jobs need. */
    private final JobContext context;

    /** The jobs that are being deleted, or were and are still known here. */
    private final Set<String> deleting = new HashSet<>();

    /** The deletions on their way. */
    private int running;

    /** The monotonic time in nanoseconds of the last failure. */
    private long failedAt;

    /** Creates a retention. */
    JobRetention(JobContext context) {
        this.context = context;
        failedAt = context.time().nanos() - RETRY_NANOS;
    }

    /**
     * Deletes some of the jobs that are past their retention.
     *
     * @param jobs The jobs that are known.
     * @param responsible Tells whether this instance deletes a job; one does for all.
     * @param now The present monotonic time in nanoseconds.
     * @param nowMillis The present time of day in milliseconds.
     */
    void tick(Collection<JobView> jobs, Predicate<JobRecord> responsible, long now, long nowMillis) {
        deleting.removeIf(
                id -> jobs.stream().noneMatch(view -> id(view.record()).equals(id)));
        if (now - failedAt < RETRY_NANOS) {
            return;
        }
        for (JobView view : jobs) {
            JobRecord job = view.record();
            if (running < AT_ONCE && past(job, nowMillis) && !deleting.contains(id(job)) && responsible.test(job)) {
                delete(job);
            }
        }
    }

    /** Returns whether a job is past its retention. */
    private boolean past(JobRecord job, long nowMillis) {
        long age = nowMillis - job.row().getAcceptedMillis();
        return !job.open() && age > context.retention().toMillis() + SKEW_MILLIS;
    }

    /** Deletes a job. */
    private void delete(JobRecord job) {
        running++;
        deleting.add(id(job));
        context.store()
                .delete(job)
                .subscribe(result -> context.loop().execute(() -> {
                    running--;
                    if (result.isLeft()) {
                        failedAt = context.time().nanos();
                        deleting.remove(id(job));
                        context.events()
                                .record(
                                        GatewayEvent.JOB_WRITE_FAILED,
                                        "job",
                                        id(job),
                                        "step",
                                        "delete",
                                        "failure",
                                        result.getLeft());
                    } else {
                        context.events().record(GatewayEvent.JOB_DELETED, "job", id(job), "version", job.version());
                    }
                }));
    }

    /** Returns the identity of a job. */
    private static String id(JobRecord job) {
        return job.row().getId();
    }
}
