package org.tanagermoor.batch.steward;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.tanagermoor.batch.BatchEvent;
import org.tanagermoor.batch.proto.BatchAnswer;
import org.tanagermoor.batch.proto.JobRow;
import org.tanagermoor.batch.proto.Report;
import org.tanagermoor.batch.store.JobKey;
import org.tanagermoor.batch.store.ProgressLog;
import org.tanagermoor.batch.store.Protos;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.policy.batch.ChunkReport;
import org.tanagermoor.policy.batch.JobState;
import org.tanagermoor.policy.batch.Progress;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;

/** Handles reports of workers and lapsed leases, and records the progress that follows from them. */
final class ProgressRecorder {

    /** The delay before a failed write is repeated, in nanoseconds. */
    private static final long RETRY_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private final StewardContext context;

    private final JobTakeover takeover;

    ProgressRecorder(StewardContext context, JobTakeover takeover) {
        this.context = context;
        this.takeover = takeover;
    }

    /**
     * Handles the report of a worker. A report that is recorded already is confirmed again, so a worker may repeat
     * it.
     *
     * @param answer Receives the answer when the report is recorded.
     */
    void report(Report report, MonoSink<Either<Failure, BatchAnswer>> answer) {
        JobRun run = context.runs().get(report.getLease().getJob());
        JobKey key = JobKey.of(report.getTeam(), report.getKey());
        if (run == null && takeover.hasEnded(key)) {
            answer.success(Either.right(StewardAnswers.done(false)));
            return;
        }
        if (run == null || !context.mayAct()) {
            takeover.enqueue(key);
            answer.success(Either.left(run == null ? StewardAnswers.notLoaded() : StewardAnswers.notSteward()));
            return;
        }
        String object = report.getResult().getObject();
        if (run.isRecorded(object)) {
            answer.success(Either.right(StewardAnswers.done(true)));
            return;
        }
        if (!object.isEmpty() && run.joinPending(object, answer)) {
            return;
        }
        Option<Progress.Completed> completed =
                object.isEmpty() ? Option.none() : Option.some(Protos.completed(report.getResult()));
        ChunkReport parsed =
                ChunkReport.of(report.getLease().getLease(), completed, Protos.items(report.getLostList()));
        Option<JobState.Step> step = run.state().report(parsed);
        if (step.isEmpty()) {
            context.events().record(BatchEvent.REPORT_REFUSED, "job", run.key().key(), "worker", report.getWorker());
            answer.success(Either.right(StewardAnswers.done(false)));
            return;
        }
        run.state(step.get().state());
        enqueueEntries(run, step.get().entries(), answer);
    }

    /**
     * Enqueues entries for the next write.
     *
     * @param answer Receives the answer when the entries are recorded.
     */
    private void enqueueEntries(JobRun run, List<Progress> entries, MonoSink<Either<Failure, BatchAnswer>> answer) {
        if (entries.isEmpty()) {
            answer.success(Either.right(StewardAnswers.done(true)));
            return;
        }
        run.add(entries, List.of(answer));
        recordEvents(run, entries);
        write(run, context.time().nanos());
    }

    /**
     * Ends the leases of a job that have lapsed and records the losses.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    void lapse(JobRun run, long now) {
        int leasesBefore = run.state().leases().size();
        if (leasesBefore == 0) {
            return;
        }
        JobState.Step step = run.state().lapse(now);
        int lapsed = leasesBefore - step.state().leases().size();
        if (lapsed == 0) {
            return;
        }
        run.state(step.state());
        run.announceAgain();
        context.metrics().chunksLentAgain().mark(lapsed);
        context.events().record(BatchEvent.LEASE_LAPSED, "job", run.key().key(), "leases", lapsed);
        if (!step.entries().isEmpty()) {
            run.add(step.entries(), List.of());
            recordEvents(run, step.entries());
        }
    }

    /** Logs an event for each loss and each abandoned item. */
    private void recordEvents(JobRun run, List<Progress> entries) {
        for (Progress entry : entries) {
            switch (entry) {
                case Progress.Abandoned abandoned ->
                    context.events()
                            .record(
                                    BatchEvent.ITEM_GIVEN_UP,
                                    "job",
                                    run.key().key(),
                                    "item",
                                    abandoned.items().first());
                case Progress.Lost lost ->
                    context.events()
                            .record(
                                    BatchEvent.ITEMS_LOST,
                                    "job",
                                    run.key().key(),
                                    "cause",
                                    lost.cause(),
                                    "items",
                                    lost.items());
                case Progress.Completed completed -> {
                    // Recorded results are counted when their write has ended, and not logged.
                }
            }
        }
    }

    /**
     * Starts a write of the pending entries, unless one is in flight.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    void write(JobRun run, long now) {
        if (!context.mayAct()) {
            return;
        }
        List<Progress> entries = run.takeEntries(now);
        if (entries.isEmpty()) {
            return;
        }
        Optional<JobRow> done = run.done(entries, context.time().wallMillis());
        context.store()
                .progress()
                .record(run.job(), run.log(), entries, done)
                .onErrorResume(error -> Mono.just(Either.left(StewardContext.defect(error))))
                .subscribe(result -> context.deliver(new StewardMessage.WriteEnded(run, result)));
    }

    /**
     * Handles the end of a write. If the row of the job was changed, the job is released and enqueued for another
     * takeover.
     *
     * @param result The position at which the next entries are appended; empty if the row of the job was changed.
     */
    void recorded(JobRun run, Either<Failure, Optional<ProgressLog>> result) {
        if (context.runs().get(run.key().id()) != run) {
            return;
        }
        if (run.state().cancelled()) {
            run.endWriteAfterCancel(result.isRight() && result.get().isPresent());
            return;
        }
        if (result.isLeft()) {
            run.writeFailed(context.time().nanos() + RETRY_DELAY_NANOS);
            context.events()
                    .record(BatchEvent.RECORDING_DELAYED, "job", run.key().key(), "failure", result.getLeft());
            return;
        }
        if (result.get().isEmpty()) {
            context.events().record(BatchEvent.EPOCH_REFUSED, "job", run.key().key());
            takeover.release(run);
            takeover.enqueue(run.key());
            return;
        }
        context.metrics().chunksRecorded().mark(run.writeSucceeded(result.get().get()));
        if (run.state().finished()) {
            context.runs().remove(run.key().id());
            takeover.ended(run.key());
            context.events()
                    .record(
                            BatchEvent.JOB_DONE,
                            "team",
                            run.key().team(),
                            "job",
                            run.key().key());
        } else {
            write(run, context.time().nanos());
        }
    }
}
