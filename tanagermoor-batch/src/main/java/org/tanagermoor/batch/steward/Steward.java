package org.tanagermoor.batch.steward;

import io.vavr.control.Either;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;
import org.tanagermoor.batch.BatchMetrics;
import org.tanagermoor.batch.peer.BatchPeers;
import org.tanagermoor.batch.proto.BatchAnswer;
import org.tanagermoor.batch.proto.BatchRequest;
import org.tanagermoor.batch.store.JobKey;
import org.tanagermoor.batch.store.JobStore;
import org.tanagermoor.kernel.duty.Duty;
import org.tanagermoor.kernel.event.EventLog;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.kernel.time.TimeSource;
import org.tanagermoor.membership.Membership;
import org.tanagermoor.policy.fleet.InstanceId;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;

/**
 * The steward of the jobs that rendezvous hashing assigns to this instance. A steward is the one instance that decides
 * which worker runs which items of a job: it lends chunks of items to workers under leases and records their results.
 * All its work is done by the single thread of a duty.
 */
public final class Steward implements Duty.Work<StewardMessage>, AutoCloseable {

    /** The maximum number of messages that wait in the ring of the duty. */
    private static final int RING_CAPACITY = 16_384;

    private static final long TICK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    private final StewardContext context;

    private final JobTakeover takeover;

    private final ChunkLender lender;

    private final ProgressRecorder recorder;

    private final JobCanceller canceller;

    /** {@code null} until the constructor has started the duty, which may call this object before that. */
    @Nullable
    private volatile Duty<StewardMessage> duty;

    /** The monotonic time of the last tick in nanoseconds. */
    private long lastTickAt;

    /**
     * Creates a steward and starts its duty.
     *
     * @param store The rows and objects of the jobs.
     * @param peers Sends requests to the other instances.
     * @param membership The view, which decides which jobs belong to this instance.
     * @param events Receives the events of the steward.
     * @param metrics The counters of batch.
     * @param time The source of the current time.
     * @param timing The duration of leases and the interval of scans.
     */
    public Steward(
            JobStore store,
            BatchPeers peers,
            Membership membership,
            EventLog events,
            BatchMetrics metrics,
            TimeSource time,
            BatchTiming timing) {
        context = new StewardContext(store, peers, membership, events, metrics, time, timing.lease(), this::offer);
        takeover = new JobTakeover(context, timing.scan());
        lender = new ChunkLender(context);
        recorder = new ProgressRecorder(context, takeover);
        canceller = new JobCanceller(context, takeover);
        lastTickAt = time.nanos();
        duty = Duty.start("batch-steward", RING_CAPACITY, TICK_INTERVAL_NANOS, time, events, this);
    }

    /**
     * Answers a request of an instance.
     *
     * @param from The instance that sent the request.
     * @param request An ask, a renewal, a report or a cancellation; requests to workers are refused.
     * @return The answer, or a failure; it is of kind {@link Failure.Kind#OVERLOADED} if the ring of the duty is
     *     full.
     */
    public Mono<Either<Failure, BatchAnswer>> answer(InstanceId from, BatchRequest request) {
        return switch (request.getKindCase()) {
            case ASK -> offerRequest(sink -> new StewardMessage.ChunksRequested(from, request.getAsk(), sink));
            case RENEW -> offerRequest(sink -> new StewardMessage.RenewalRequested(from, request.getRenew(), sink));
            case REPORT -> offerRequest(sink -> new StewardMessage.ChunkReported(request.getReport(), sink));
            case CANCEL -> offerRequest(sink -> new StewardMessage.CancelRequested(request.getCancel(), sink));
            default -> Mono.just(Either.left(StewardAnswers.overloaded()));
        };
    }

    /**
     * Announces a job that may have to be taken over. The notice is dropped if the ring is full; a scan finds the job
     * later.
     *
     * @param key The key of the job.
     */
    public void notice(JobKey key) {
        offer(new StewardMessage.JobAnnounced(key));
    }

    /** {@inheritDoc} */
    @Override
    public void handle(StewardMessage message, long now) {
        switch (message) {
            case StewardMessage.ChunksRequested asked -> lender.lend(asked);
            case StewardMessage.RenewalRequested renewed -> lender.renew(renewed);
            case StewardMessage.ChunkReported reported -> recorder.report(reported.report(), reported.answer());
            case StewardMessage.CancelRequested cancelled -> canceller.cancel(cancelled);
            case StewardMessage.CancelledJobRead read -> canceller.cancelRead(read);
            case StewardMessage.JobAnnounced noticed -> takeover.enqueue(noticed.key());
            case StewardMessage.PageScanned scanned -> takeover.scanned(scanned);
            case StewardMessage.JobLoaded loaded -> takeover.loaded(loaded);
            case StewardMessage.WriteEnded recorded -> recorder.recorded(recorded.run(), recorded.result());
            case StewardMessage.LeaseDropped dropped -> canceller.drop(dropped.lease());
        }
    }

    /** {@inheritDoc} */
    @Override
    public void tick(long now) {
        long pause = now - lastTickAt;
        lastTickAt = now;
        if (pause > context.lease().toNanos() / 2) {
            // Workers could not renew their leases during a long pause of this instance.
            context.runs().values().forEach(run -> run.state(run.state().extendLeases(pause)));
        }
        takeover.checkView();
        if (!context.mayAct()) {
            return;
        }
        takeover.tick(now);
        for (JobRun run : List.copyOf(context.runs().values())) {
            announce(run, now);
            recorder.lapse(run, now);
            recorder.write(run, now);
            if (run.answerIfStopped(now)) {
                context.runs().remove(run.key().id());
            }
        }
    }

    /**
     * Notifies all members once that the job has chunks to lend.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    private void announce(JobRun run, long now) {
        if (run.announce(now)) {
            context.peers().members().forEach(member -> context.peers().notifyMember(member, run.key()));
        }
    }

    /** Stops the duty. */
    @Override
    public void close() {
        Duty<StewardMessage> startedDuty = duty;
        if (startedDuty != null) {
            startedDuty.close();
        }
    }

    /**
     * Offers a request to the duty.
     *
     * @param message Creates the message from the sink that receives the answer.
     * @return The answer, or a failure if the ring is full.
     */
    private Mono<Either<Failure, BatchAnswer>> offerRequest(
            Function<MonoSink<Either<Failure, BatchAnswer>>, StewardMessage> message) {
        return Mono.create(sink -> {
            if (!offer(message.apply(sink))) {
                sink.success(Either.left(StewardAnswers.overloaded()));
            }
        });
    }

    /**
     * Offers a message to the duty.
     *
     * @return {@code false} if the ring is full or the duty has not started.
     */
    private boolean offer(StewardMessage message) {
        Duty<StewardMessage> startedDuty = duty;
        return startedDuty != null && startedDuty.offer(message);
    }
}
