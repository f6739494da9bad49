package org.tanagermoor.target.lease;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.tanagermoor.kernel.duty.Duty;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.kernel.plugin.Context;
import org.tanagermoor.membership.Membership;
import org.tanagermoor.policy.fleet.InstanceId;
import org.tanagermoor.policy.fleet.TargetId;
import org.tanagermoor.policy.target.PermitReports;
import org.tanagermoor.policy.target.Routing;
import org.tanagermoor.target.proto.PermitRecalled;
import org.tanagermoor.target.proto.TargetGrant;
import org.tanagermoor.target.proto.TargetMessage;
import org.tanagermoor.wire.link.Channel;
import org.tanagermoor.wire.link.PeerLink;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;
import reactor.core.scheduler.Schedulers;

/**
 * The targets of which this instance leases permits. All state is owned by a duty of its own; this class passes
 * requests and messages of other instances to its queue.
 */
public final class LeasedTargets implements Targets, AutoCloseable {

    /** The capacity of the queue of the duty, in messages. */
    private static final int RING_CAPACITY = 16_384;

    /** The interval between two ticks of the duty, in nanoseconds. */
    private static final long TICK_NANOS = 10_000_000;

    private final Duty<LeaseMessage> duty;

    /** Whether the duty was stopped. */
    private volatile boolean closed;

    private LeasedTargets(Context context, Optional<Routing> routing) {
        Membership membership = context.service(Membership.class);
        PeerLink link = context.service(PeerLink.class);
        LeaseDuty work = new LeaseDuty(context, routing, this::release, this::offer);
        duty = Duty.start("target-lease", RING_CAPACITY, TICK_NANOS, context.time(), context.events(), work);
        link.handle(Channel.TARGET, this::answer);
        membership.onAdopted(configuration -> offer(new LeaseMessage.Adopt(configuration)));
    }

    /**
     * Creates the targets and starts their duty.
     *
     * @param routing The routing that replaces the one of the service, or empty to keep that.
     * @return The targets.
     */
    public static LeasedTargets of(Context context, Optional<Routing> routing) {
        return new LeasedTargets(context, routing);
    }

    /** {@inheritDoc} */
    @Override
    public Mono<Either<Failure, TargetLease>> lease(LeaseRequest request) {
        return Mono.<Either<Failure, TargetLease>>create(sink -> enqueue(request, sink))
                .publishOn(Schedulers.parallel())
                .doOnDiscard(Either.class, LeasedTargets::discard);
    }

    /** {@inheritDoc} */
    @Override
    public void observe(TargetLease lease, String startMark, long firstTokenNanos) {
        if (lease instanceof LocalLease local) {
            duty.offer(new LeaseMessage.Observe(local, startMark, firstTokenNanos));
        }
    }

    /**
     * As a steward, stops lending permits of a target, or lends them again. A target whose permits are lent again
     * counts as cold. If the queue is full, this is retried until it succeeds.
     *
     * @param target The target.
     * @param withheld Whether to withhold the permits.
     */
    public void withhold(TargetId target, boolean withheld) {
        LeaseMessage message = new LeaseMessage.Withhold(target, withheld);
        if (!duty.offer(message) && !closed) {
            Schedulers.parallel().schedule(() -> withhold(target, withheld), 1, TimeUnit.MILLISECONDS);
        }
    }

    /** Stops the duty. */
    @Override
    public void close() {
        closed = true;
        duty.close();
    }

    /** Queues a request for the duty, or fails it if the queue is full. */
    private void enqueue(LeaseRequest request, MonoSink<Either<Failure, TargetLease>> sink) {
        PendingLease pending = new PendingLease(request, sink);
        sink.onCancel(() -> {
            pending.cancel();
            duty.offer(new LeaseMessage.Cancel(pending));
        });
        if (!duty.offer(new LeaseMessage.Acquire(pending))) {
            pending.fail(Failure.notRun(
                    Failure.Kind.OVERLOADED, "target.lease", Failure.LOCAL, "too many requests ask for a target"));
        }
    }

    /** Queues the release of a permit. A release must not be lost, so it is retried while the queue is full. */
    private void release(LocalLease lease, TargetLease.Result result) {
        LeaseMessage message = new LeaseMessage.Release(lease, result);
        if (!duty.offer(message) && !closed) {
            Schedulers.parallel().schedule(() -> release(lease, result), 1, TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Queues a message for the duty. If the queue is full, the message is dropped; the protocol tolerates this like a
     * message that is lost on the network.
     */
    private void offer(LeaseMessage message) {
        duty.offer(message);
    }

    /** Answers an encoded message of another instance. */
    private Mono<Either<Failure, byte[]>> answer(InstanceId from, byte[] bytes) {
        Either<Failure, TargetMessage> request = TargetCodec.read(bytes, from.toString());
        return request.fold(failure -> Mono.just(Either.left(failure)), message -> answer(from, message));
    }

    /** Answers a decoded message of another instance. */
    private Mono<Either<Failure, byte[]>> answer(InstanceId from, TargetMessage message) {
        if (message.hasRecall()) {
            List<TargetGrant> grants = message.getRecall().getGrantsList();
            offer(new LeaseMessage.Recall(from, TargetCodec.grants(grants)));
            return Mono.just(Either.right(PermitRecalled.getDefaultInstance().toByteArray()));
        }
        PermitReports permitReports = TargetCodec.permitReports(message.getPermits());
        return Mono.create(sink -> {
            if (!duty.offer(new LeaseMessage.Ask(from, permitReports, sink))) {
                sink.success(Either.left(Failure.notRun(
                        Failure.Kind.OVERLOADED, "target.steward", Failure.LOCAL, "too many messages wait")));
            }
        });
    }

    /** Releases a permit that its requester no longer receives because it cancelled the request. */
    private static void discard(Either<?, ?> outcome) {
        if (outcome.isRight() && outcome.get() instanceof TargetLease lease) {
            lease.release(TargetLease.Result.CANCELLED);
        }
    }
}
