package org.tanagermoor.budget;

import io.vavr.control.Either;
import org.tanagermoor.budget.proto.BudgetRequest;
import org.tanagermoor.kernel.duty.Duty;
import org.tanagermoor.kernel.event.EventLog;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.kernel.plugin.Context;
import org.tanagermoor.membership.Membership;
import org.tanagermoor.policy.fleet.InstanceId;
import org.tanagermoor.wire.link.Channel;
import org.tanagermoor.wire.link.PeerLink;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;
import reactor.core.scheduler.Schedulers;

/**
 * Budgets whose shares are lent on demand by stewards. All state is owned by a {@link BudgetDuty}; this class passes
 * requests and messages of other instances to its queue.
 */
final class LentBudgets implements Budgets, AutoCloseable {

    /** The capacity of the queue of the duty, in messages. */
    private static final int RING_CAPACITY = 16_384;

    /** The interval between two ticks of the duty, in nanoseconds. */
    private static final long TICK_NANOS = 10_000_000;

    private final Duty<BudgetMessage> duty;

    private final EventLog events;

    /** Starts the duty and registers this instance for messages about budgets. */
    LentBudgets(Context context) {
        Membership membership = context.service(Membership.class);
        PeerLink link = context.service(PeerLink.class);
        events = context.events();
        BudgetPeers peers = new BudgetPeers(link, events, this::offer);
        BudgetDuty work = new BudgetDuty(context, membership, peers);
        duty = Duty.start("budget", RING_CAPACITY, TICK_NANOS, context.time(), events, work);
        link.handle(Channel.BUDGET, this::answer);
        membership.onAdopted(configuration -> offer(new BudgetMessage.Adopt(configuration)));
    }

    /** {@inheritDoc} */
    @Override
    public Mono<Either<Failure, Double>> take(String budget, double amount, long deadline) {
        return Mono.<Either<Failure, Double>>create(sink -> {
                    PendingTake pending = new PendingTake(budget, amount, deadline, sink);
                    sink.onCancel(() -> duty.offer(new BudgetMessage.Cancel(pending)));
                    if (!duty.offer(new BudgetMessage.Take(pending))) {
                        pending.fail(Refusals.noShare(budget));
                    }
                })
                .publishOn(Schedulers.parallel());
    }

    /** Stops the duty. */
    @Override
    public void close() {
        duty.close();
    }

    /**
     * Queues a message for the duty. If the queue is full, the message is dropped and logged; the protocol tolerates
     * this like a message that is lost on the network.
     */
    private void offer(BudgetMessage message) {
        if (!duty.offer(message)) {
            events.record(
                    BudgetEvent.MESSAGE_DROPPED, "message", message.getClass().getSimpleName());
        }
    }

    /** Answers a message of another instance. */
    private Mono<Either<Failure, byte[]>> answer(InstanceId from, byte[] bytes) {
        Either<Failure, BudgetRequest> request = BudgetCodec.read(bytes, BudgetRequest::parseFrom, from.toString());
        return request.fold(
                failure -> Mono.just(Either.left(failure)),
                message -> Mono.create(sink -> {
                    if (!duty.offer(message(from, message, sink))) {
                        sink.success(Either.left(Refusals.noShare("any")));
                    }
                }));
    }

    /**
     * Converts a message of another instance into a message to the duty.
     *
     * @param sink Receives the encoded response.
     */
    private static BudgetMessage message(
            InstanceId from, BudgetRequest request, MonoSink<Either<Failure, byte[]>> sink) {
        if (request.hasHoldings()) {
            return new BudgetMessage.AskHoldings(from, request.getHoldings().getViewVersion(), sink);
        }
        return new BudgetMessage.Ask(from, BudgetCodec.loanRequest(request.getShare()), sink);
    }
}
