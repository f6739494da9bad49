package org.tanagermoor.batch.steward;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.tanagermoor.batch.BatchEvent;
import org.tanagermoor.batch.proto.JobRow;
import org.tanagermoor.batch.store.JobKey;
import org.tanagermoor.policy.batch.JobState;
import reactor.core.publisher.Mono;

/**
 * Finds the jobs that belong to this steward, takes them over, and releases them when a new view assigns them to
 * another instance.
 */
final class JobTakeover {

    /** The delay before a failed takeover is repeated, in nanoseconds. */
    private static final long RETRY_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** The maximum number of ended jobs that are remembered. */
    private static final int MAX_ENDED = 16_384;

    /** The maximum number of jobs that are taken over at the same time. */
    private static final int MAX_CONCURRENT_LOADS = 4;

    private final JobLoader loader;

    private final JobScan scan;

    /** The jobs that wait to be taken over, in order. */
    private final Deque<JobKey> queue = new ArrayDeque<>();

    /** The identities of the jobs that wait to be taken over or are being taken over. */
    private final Set<String> pending = new HashSet<>();

    /**
     * The identities of jobs that are known to have ended, in the order in which this was learned; the oldest are
     * dropped.
     */
    private final Set<String> ended = new LinkedHashSet<>();

    /** The number of jobs that are being taken over. */
    private int loadsInFlight;

    /** The monotonic time in nanoseconds before which no takeover starts, as the last one failed. */
    private long nextLoadAt;

    /** The version of the view against which the jobs were last checked. */
    private long viewVersion = -1;

    private final StewardContext context;

    /**
     * Creates the part of the steward that takes jobs over.
     *
     * @param scanInterval The interval between two scans for jobs.
     */
    JobTakeover(StewardContext context, Duration scanInterval) {
        this.context = context;
        loader = new JobLoader(
                context.store(),
                context.self().toString(),
                () -> context.membership().configuration().view().version());
        scan = new JobScan(context.store(), scanInterval, context::deliver);
        nextLoadAt = context.time().nanos();
    }

    /**
     * In a new view, releases the jobs that belong to other instances and restarts the scan for those that belong to
     * this one.
     */
    void checkView() {
        long version = context.membership().configuration().view().version();
        if (version == viewVersion) {
            return;
        }
        viewVersion = version;
        scan.restart();
        for (JobRun run : List.copyOf(context.runs().values())) {
            if (!context.isSteward(run.key())) {
                release(run);
            }
        }
    }

    /** Releases a job: its waiters get a failure, and another steward may take it over. */
    void release(JobRun run) {
        context.runs().remove(run.key().id(), run);
        run.release(StewardAnswers.notSteward());
        context.events()
                .record(
                        BatchEvent.JOB_RELEASED,
                        "team",
                        run.key().team(),
                        "job",
                        run.key().key());
    }

    /**
     * Continues the scan and starts takeovers that are due.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    void tick(long now) {
        scan.tick(now);
        load(now);
    }

    /** Enqueues the jobs of a page of the index that belong to this instance. */
    void scanned(StewardMessage.PageScanned message) {
        scan.acceptPage(message.result()).forEach(this::enqueue);
    }

    /** Records that a job has ended. */
    void ended(JobKey key) {
        ended.add(key.id());
        if (ended.size() > MAX_ENDED) {
            ended.remove(ended.iterator().next());
        }
    }

    boolean hasEnded(JobKey key) {
        return ended.contains(key.id());
    }

    /** Returns whether a job waits to be taken over or is being taken over. */
    boolean pending(JobKey key) {
        return pending.contains(key.id());
    }

    /** Enqueues a job for takeover if it belongs to this instance and is neither running nor pending. */
    void enqueue(JobKey key) {
        if (!context.runs().containsKey(key.id()) && context.isSteward(key) && pending.add(key.id())) {
            queue.addLast(key);
        }
    }

    /**
     * Starts takeovers, up to {@link #MAX_CONCURRENT_LOADS} at the same time.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    private void load(long now) {
        while (loadsInFlight < MAX_CONCURRENT_LOADS && !queue.isEmpty() && now - nextLoadAt >= 0) {
            JobKey key = queue.removeFirst();
            loadsInFlight++;
            loader.load(key, () -> context.mayAct() && context.isSteward(key))
                    .onErrorResume(error -> Mono.just(Either.left(StewardContext.defect(error))))
                    .subscribe(result -> context.deliver(new StewardMessage.JobLoaded(key, result)));
        }
    }

    /**
     * Handles the end of a takeover: starts to lend the chunks of the job, or enqueues the job again after a failure.
     */
    void loaded(StewardMessage.JobLoaded message) {
        loadsInFlight--;
        long now = context.time().nanos();
        if (message.result().isLeft() && context.isSteward(message.key())) {
            queue.addLast(message.key());
            nextLoadAt = now + RETRY_DELAY_NANOS;
            return;
        }
        pending.remove(message.key().id());
        if (message.result().isLeft()) {
            return;
        }
        if (message.result().get().isEmpty()) {
            ended(message.key());
        }
        message.result()
                .get()
                .filter(found -> context.isSteward(message.key()))
                .ifPresent(found -> startRun(found, now));
    }

    /**
     * Starts to lend the chunks of a job. If an earlier steward may have lent chunks, lending starts only when their
     * leases must have lapsed.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    private void startRun(LoadedJob loaded, long now) {
        JobRow row = loaded.job().row();
        long lendFrom = loaded.lentBefore() ? now + context.lease().toNanos() : now;
        JobState state = JobState.of(
                row.getEpoch(), loaded.layout().cells(), loaded.log().entries(), lendFrom);
        context.runs().put(loaded.job().key().id(), new JobRun(loaded, state, now));
        context.events()
                .record(BatchEvent.JOB_TAKEN_OVER, "team", row.getTeam(), "job", row.getKey(), "epoch", row.getEpoch());
    }
}
