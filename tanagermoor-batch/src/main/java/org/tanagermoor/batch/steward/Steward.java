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

/** The duty that acts as the steward of the jobs that rendezvous hashing gives to this instance. */
public final class Steward implements Duty.Work<StewardMessage>, AutoCloseable {

    /** The messages that may wait. */
    private static final int RING = 16_384;

    /** The interval of the ticks in nanoseconds. */
    private static final long TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    /** The parts that the steward shares. */
    private final StewardContext context;

    /** Takes jobs over. */
    private final JobTakeover takeover;

    /** Lends chunks. */
    private final ChunkLending lending;

    /** Records what became of chunks. */
    private final ProgressRecording recording;

    /** Stops jobs. */
    private final JobCancelling cancelling;

    /** The duty, or {@code null} while it is being started. */
    @Nullable
    private volatile Duty<StewardMessage> duty;

    /** The monotonic time of the last tick in nanoseconds. */
    private long lastTick;

    /**
     * Creates a steward and starts its duty.
     *
     * @param store The store.
     * @param peers The instances.
     * @param membership The membership.
     * @param events The log.
     * @param metrics The metrics.
     * @param time The source of the present time.
     * @param timing The timing.
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
        lending = new ChunkLending(context);
        recording = new ProgressRecording(context, takeover);
        cancelling = new JobCancelling(context, takeover);
        lastTick = time.nanos();
        duty = Duty.start("batch-steward", RING, TICK_NANOS, time, events, this);
    }

    /**
     * Answers a request of an instance.
     *
     * @param from The instance.
     * @param request The request, other than to a worker.
     * @return The answer, or a failure.
     */
    public Mono<Either<Failure, BatchAnswer>> answer(InstanceId from, BatchRequest request) {
        return switch (request.getKindCase()) {
            case ASK -> offered(sink -> new StewardMessage.Asked(from, request.getAsk(), sink));
            case RENEW -> offered(sink -> new StewardMessage.Renewed(from, request.getRenew(), sink));
            case REPORT -> offered(sink -> new StewardMessage.Reported(request.getReport(), sink));
            case CANCEL -> offered(sink -> new StewardMessage.Cancelled(request.getCancel(), sink));
            default -> Mono.just(Either.left(Answers.overloaded()));
        };
    }

    /**
     * Takes in that there is a job.
     *
     * @param key The key of the job.
     */
    public void notice(JobKey key) {
        offer(new StewardMessage.Noticed(key));
    }

    /** {@inheritDoc} */
    @Override
    public void handle(StewardMessage message, long now) {
        switch (message) {
            case StewardMessage.Asked asked -> lending.lend(asked);
            case StewardMessage.Renewed renewed -> lending.renew(renewed);
            case StewardMessage.Reported reported -> recording.report(reported.report(), reported.answer());
            case StewardMessage.Cancelled cancelled -> cancelling.cancel(cancelled);
            case StewardMessage.CancelledRead read -> cancelling.cancelRead(read);
            case StewardMessage.Noticed noticed -> takeover.want(noticed.key());
            case StewardMessage.Scanned scanned -> takeover.scanned(scanned);
            case StewardMessage.Loaded loaded -> takeover.loaded(loaded);
            case StewardMessage.Recorded recorded -> recording.recorded(recorded.run(), recorded.result());
            case StewardMessage.Dropped dropped -> cancelling.drop(dropped.lease());
        }
    }

    /** {@inheritDoc} */
    @Override
    public void tick(long now) {
        long pause = now - lastTick;
        lastTick = now;
        if (pause > context.lease().toNanos() / 2) {
            context.runs().values().forEach(run -> run.state(run.state().extendLeases(pause)));
        }
        takeover.checkView();
        if (!context.acts()) {
            return;
        }
        takeover.tick(now);
        for (JobRun run : List.copyOf(context.runs().values())) {
            announce(run, now);
            recording.lapse(run, now);
            recording.write(run, now);
            if (run.answerStopped(now)) {
                context.runs().remove(run.key().id());
            }
        }
    }

    /**
     * Notifies all members once that there are chunks to lend.
     *
     * @param run The job.
     * @param now The present monotonic time in nanoseconds.
     */
    private void announce(JobRun run, long now) {
        if (run.announce(now)) {
            context.peers().members().forEach(member -> context.peers().notifyMember(member, run.key()));
        }
    }

    /** Stops the duty. */
    @Override
    public void close() {
        Duty<StewardMessage> started = duty;
        if (started != null) {
            started.close();
        }
    }

    /**
     * Offers a request to the duty.
     *
     * @param message Returns the message with the taker of the answer.
     * @return The answer, or a failure.
     */
    private Mono<Either<Failure, BatchAnswer>> offered(
            Function<MonoSink<Either<Failure, BatchAnswer>>, StewardMessage> message) {
        return Mono.create(sink -> {
            if (!offer(message.apply(sink))) {
                sink.success(Either.left(Answers.overloaded()));
            }
        });
    }

    /**
     * Offers a message to the duty.
     *
     * @param message The message.
     * @return Whether it was taken.
     */
    private boolean offer(StewardMessage message) {
        Duty<StewardMessage> started = duty;
        return started != null && started.offer(message);
    }
}
