package org.tanagermoor.gateway.job;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.tanagermoor.gateway.GatewayEvent;

/**
 * Deletes ended jobs after their retention, when they can no longer be read, so that neither the store nor the memory
 * of the instances fills up. Confined to the event loop.
 */
final class JobRetention {

    /**
     * Maximum number of jobs deleted at the same time: each deletion takes several calls of the store, which share
     * their rate limit with the calls made for callers.
     */
    private static final int MAX_CONCURRENT_DELETIONS = 2;

    /**
     * Time after a failed deletion before anything else is deleted, in nanoseconds: long compared to a short outage of
     * the store.
     */
    private static final long RETRY_DELAY_NANOS = TimeUnit.SECONDS.toNanos(5);

    private final JobContext context;

    /** Identities of the jobs that are being deleted, or were deleted and are still known on this instance. */
    private final Set<String> deleting = new HashSet<>();

    /** Number of failed deletions of the jobs that are still known, by identity. */
    private final Map<String, Integer> failures = new HashMap<>();

    /** Number of deletions in progress. */
    private int pendingDeletions;

    /** Monotonic time of the last failed deletion, in nanoseconds. */
    private long failedAt;

    JobRetention(JobContext context) {
        this.context = context;
        failedAt = context.time().nanos() - RETRY_DELAY_NANOS;
    }

    /**
     * Deletes some of the jobs whose retention has passed.
     *
     * @param jobs The jobs known on this instance.
     * @param responsible Tells whether this instance deletes a job; one instance does so for the fleet.
     * @param now The current monotonic time in nanoseconds.
     * @param nowMillis The current wall-clock time in milliseconds.
     */
    void tick(Collection<JobView> jobs, Predicate<JobRecord> responsible, long now, long nowMillis) {
        deleting.removeIf(
                id -> jobs.stream().noneMatch(view -> id(view.record()).equals(id)));
        failures.keySet()
                .removeIf(
                        id -> jobs.stream().noneMatch(view -> id(view.record()).equals(id)));
        if (now - failedAt < RETRY_DELAY_NANOS) {
            return;
        }
        // Jobs whose deletion has failed come last, so that one that always fails does not hold up the others.
        jobs.stream()
                .map(JobView::record)
                .filter(job -> expired(job, nowMillis) && !deleting.contains(id(job)) && responsible.test(job))
                .sorted(Comparator.comparing(job -> failures.getOrDefault(id(job), 0)))
                .limit(Math.max(0, MAX_CONCURRENT_DELETIONS - pendingDeletions))
                .toList()
                .forEach(this::delete);
    }

    /** Returns whether a job has ended and its retention has passed, even if the clocks of instances differ. */
    private boolean expired(JobRecord job, long nowMillis) {
        long age = nowMillis - job.row().getAcceptedMillis();
        return !job.open() && age > context.retention().toMillis() + JobAge.MAX_CLOCK_SKEW_MILLIS;
    }

    private void delete(JobRecord job) {
        pendingDeletions++;
        deleting.add(id(job));
        context.store()
                .delete(job)
                .subscribe(result -> context.loop().execute(() -> {
                    pendingDeletions--;
                    if (result.isLeft()) {
                        failedAt = context.time().nanos();
                        failures.merge(id(job), 1, Integer::sum);
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

    private static String id(JobRecord job) {
        return job.row().getId();
    }
}
