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

/** Finds the jobs of this steward, takes them over and gives them up. */
final class JobTakeover {

    /** The delay before a failed write or takeover is repeated, in nanoseconds. */
    private static final long RETRY_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** The ended jobs that are remembered. */
    private static final int MAX_ENDED = 16_384;

    /** The jobs that are taken over at once. */
    private static final int MAX_CONCURRENT_LOADS = 4;

    /** Takes jobs over. */
    private final JobLoader loader;

    /** Finds jobs. */
    private final JobScan scan;

    /** The jobs to take over, in order. */
    private final Deque<JobKey> queue = new ArrayDeque<>();

    /** The identities of the jobs to take over or that are being taken over. */
    private final Set<String> pending = new HashSet<>();

    /** The identities of jobs that are known to have ended, the one learnt last at the end. */
    private final Set<String> ended = new LinkedHashSet<>();

    /** The jobs that are being taken over. */
    private int loadsInFlight;

    /** The monotonic time in nanoseconds from which jobs are taken over again after a failure. */
    private long nextLoadAt;

    /** The version of the view for which the jobs were checked. */
    private long viewVersion = -1;

    /** The parts that the steward shares. */
    private final StewardContext context;

    /**
     * Creates this part of the steward.
     *
     * @param context The parts that the steward shares.
     * @param scanInterval The interval from one scan to the next.
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

    /** Gives up the jobs that belong to others in a new view, and looks for those that belong to this instance. */
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

    /**
     * Gives a job up.
     *
     * @param run The job.
     */
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
     * Looks for jobs and takes them over.
     *
     * @param now The present monotonic time in nanoseconds.
     */
    void tick(long now) {
        scan.tick(now);
        load(now);
    }

    /**
     * Takes in some active jobs.
     *
     * @param message The jobs.
     */
    void scanned(StewardMessage.PageScanned message) {
        scan.acceptPage(message.result()).forEach(this::enqueue);
    }

    /**
     * Takes in that a job has ended.
     *
     * @param key The key of the job.
     */
    void ended(JobKey key) {
        ended.add(key.id());
        if (ended.size() > MAX_ENDED) {
            ended.remove(ended.iterator().next());
        }
    }

    /**
     * Returns whether a job is known to have ended.
     *
     * @param key The key of the job.
     * @return Whether it is known to have ended.
     */
    boolean hasEnded(JobKey key) {
        return ended.contains(key.id());
    }

    /**
     * Returns whether a job is to be taken over or is being taken over.
     *
     * @param key The key of the job.
     * @return Whether it is.
     */
    boolean pending(JobKey key) {
        return pending.contains(key.id());
    }

    /**
     * Adds a job to those to take over, if it belongs to this instance.
     *
     * @param key The key of the job.
     */
    void enqueue(JobKey key) {
        if (!context.runs().containsKey(key.id()) && context.isSteward(key) && pending.add(key.id())) {
            queue.addLast(key);
        }
    }

    /**
     * Takes jobs over.
     *
     * @param now The present monotonic time in nanoseconds.
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
     * Begins to lend the chunks of a job that was taken over.
     *
     * @param message The job.
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
     * Begins to lend the chunks of a job.
     *
     * @param loaded The job.
     * @param now The present monotonic time in nanoseconds.
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
