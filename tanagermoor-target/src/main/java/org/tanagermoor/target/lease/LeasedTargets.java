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

/** The targets, leased by a duty of its own. */
public final class LeasedTargets implements Targets, AutoCloseable {

    /** The capacity of the ring of the duty. */
    private static final int RING_CAPACITY = 16_384;

    /** The interval of the duty in nanoseconds. */
    private static final long TICK_NANOS = 10_000_000;

    /** The duty. */
    private final Duty<LeaseMessage> duty;

    /** Whether the duty is stopped. */
    private volatile boolean closed;

    /**
     * Creates the targets.
     *
     * @param context The context.
     * @param routing The routing in place of that which fits the service, if one was chosen.
     */
    private LeasedTargets(Context context, Optional<Routing> routing) {
        Membership membership = context.service(Membership.class);
        PeerLink link = context.service(PeerLink.class);
        LeaseDuty work = new LeaseDuty(context, routing, this::release, this::offer);
        duty = Duty.start("target-lease", RING_CAPACITY, TICK_NANOS, context.time(), context.events(), work);
        link.handle(Channel.TARGET, this::answer);
        membership.onAdopted(configuration -> offer(new LeaseMessage.Adopt(configuration)));
    }

    /**
     * Returns the targets, whose duty runs.
     *
     * @param context The context.
     * @param routing The routing in place of that which fits the service, if one was chosen.
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
     * Lends no permits of a target as its steward, or lends them again. One that is lent again counts as cold.
     *
     * @param target The target.
     * @param value Whether no permits are lent.
     */
    public void withhold(TargetId target, boolean value) {
        LeaseMessage message = new LeaseMessage.Withhold(target, value);
        if (!duty.offer(message) && !closed) {
            Schedulers.parallel().schedule(() -> withhold(target, value), 1, TimeUnit.MILLISECONDS);
        }
    }

    /** Stops the duty. */
    @Override
    public void close() {
        closed = true;
        duty.close();
    }

    /**
     * Hands a request to the duty.
     *
     * @param request The request.
     * @param sink Takes the outcome.
     */
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

    /**
     * Hands a permit back to the duty. A release is never lost, hence this waits while the ring is full.
     *
     * @param lease The permit.
     * @param result How the request ended.
     */
    private void release(LocalLease lease, TargetLease.Result result) {
        LeaseMessage message = new LeaseMessage.Release(lease, result);
        if (!duty.offer(message) && !closed) {
            Schedulers.parallel().schedule(() -> release(lease, result), 1, TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Hands a message to the duty. One that is dropped is like one that was lost on the way.
     *
     * @param message The message.
     */
    private void offer(LeaseMessage message) {
        duty.offer(message);
    }

    /**
     * Answers another instance.
     *
     * @param from The instance.
     * @param bytes The message.
     * @return The answer or a failure.
     */
    private Mono<Either<Failure, byte[]>> answer(InstanceId from, byte[] bytes) {
        Either<Failure, TargetMessage> request = TargetCodec.read(bytes, from.toString());
        return request.fold(failure -> Mono.just(Either.left(failure)), message -> answer(from, message));
    }

    /**
     * Answers another instance.
     *
     * @param from The instance.
     * @param message The message.
     * @return The answer or a failure.
     */
    private Mono<Either<Failure, byte[]>> answer(InstanceId from, TargetMessage message) {
        if (message.hasRecall()) {
            List<TargetGrant> grants = message.getRecall().getGrantsList();
            offer(new LeaseMessage.Recall(from, TargetCodec.grants(grants)));
            return Mono.just(Either.right(PermitRecalled.getDefaultInstance().toByteArray()));
        }
        PermitReports ask = TargetCodec.ask(message.getPermits());
        return Mono.create(sink -> {
            if (!duty.offer(new LeaseMessage.Ask(from, ask, sink))) {
                sink.success(Either.left(Failure.notRun(
                        Failure.Kind.OVERLOADED, "target.steward", Failure.LOCAL, "too many messages wait")));
            }
        });
    }

    /**
     * Releases a permit that nobody took.
     *
     * @param outcome What was discarded.
     */
    private static void discard(Either<?, ?> outcome) {
        if (outcome.isRight() && outcome.get() instanceof TargetLease lease) {
            lease.release(TargetLease.Result.CANCELLED);
        }
    }
}
