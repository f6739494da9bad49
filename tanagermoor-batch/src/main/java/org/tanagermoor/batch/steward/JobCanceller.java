package org.tanagermoor.batch.steward;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.tanagermoor.batch.BatchEvent;
import org.tanagermoor.batch.proto.BatchRequest;
import org.tanagermoor.batch.proto.LeaseKey;
import org.tanagermoor.batch.proto.Revoke;
import org.tanagermoor.batch.store.JobKey;
import org.tanagermoor.batch.store.JobRecord;
import org.tanagermoor.batch.store.ProgressLog;
import org.tanagermoor.policy.batch.ChunkLease;
import org.tanagermoor.policy.batch.JobState;
import org.tanagermoor.policy.fleet.Member;

/** Stops jobs that were cancelled. */
final class JobCanceller {

    /** The timeout of the request that tells a worker to drop a lease. */
    private static final Duration REVOKE_TIMEOUT = Duration.ofSeconds(1);

    private final StewardContext context;

    private final JobTakeover takeover;

    JobCanceller(StewardContext context, JobTakeover takeover) {
        this.context = context;
        this.takeover = takeover;
    }

    /** Stops a job that was cancelled. If this steward does not run the job, its row is read first. */
    void cancel(StewardMessage.CancelRequested message) {
        JobKey key = JobKey.of(message.cancel().getTeam(), message.cancel().getKey());
        if (!context.mayAct() || !context.isSteward(key) || takeover.pending(key)) {
            message.answer().success(Either.left(StewardAnswers.notSteward()));
            return;
        }
        JobRun run = context.runs().get(key.id());
        if (run == null) {
            context.store()
                    .read(key)
                    .subscribe(result ->
                            context.deliver(new StewardMessage.CancelledJobRead(key, result, message.answer())));
            return;
        }
        boolean firstCancel = !run.state().cancelled();
        run.cancel(message.answer());
        if (firstCancel) {
            context.events().record(BatchEvent.JOB_CANCELLED, "team", key.team(), "job", key.key());
            run.state().leases().values().forEach(chunkLease -> revoke(run, chunkLease));
        }
    }

    /**
     * Stops a cancelled job that this steward did not run. Leases of an earlier steward must lapse before the
     * cancellation is answered.
     */
    void cancelRead(StewardMessage.CancelledJobRead message) {
        Optional<JobRecord> job = message.result().getOrElse(Optional.empty());
        if (job.isEmpty()
                || job.get().active()
                || context.runs().containsKey(message.key().id())) {
            message.answer().success(Either.left(StewardAnswers.notLoaded()));
            return;
        }
        long now = context.time().nanos();
        boolean lentBefore = job.get().row().getEpoch() > 0;
        JobState state = JobState.of(
                0, List.of(), List.of(), lentBefore ? now + context.lease().toNanos() : now);
        LoadedJob loaded =
                new LoadedJob(job.get(), new org.tanagermoor.batch.store.JobLayout(List.of(), 1), ProgressLog.EMPTY);
        JobRun run = new JobRun(loaded, state, now);
        context.runs().put(message.key().id(), run);
        run.cancel(message.answer());
    }

    /**
     * Tells a worker to drop a lease. If that fails, the lease lapses.
     *
     * @param chunkLease The lease.
     */
    private void revoke(JobRun run, ChunkLease chunkLease) {
        Optional<Member> worker = context.membership().configuration().view().member(chunkLease.worker());
        LeaseKey key = LeaseKey.newBuilder()
                .setJob(run.key().id())
                .setLease(chunkLease.id())
                .build();
        BatchRequest request = BatchRequest.newBuilder()
                .setRevoke(Revoke.newBuilder().setLease(key))
                .build();
        worker.ifPresent(member -> context.peers()
                .call(member, request, REVOKE_TIMEOUT)
                .filter(result -> result.isRight() && result.get().getDone())
                .subscribe(result -> context.deliver(new StewardMessage.LeaseDropped(key))));
    }

    /** Removes a lease that its worker has dropped. */
    void drop(LeaseKey key) {
        JobRun run = context.runs().get(key.getJob());
        if (run != null) {
            run.state(run.state().drop(key.getLease()));
        }
    }
}
