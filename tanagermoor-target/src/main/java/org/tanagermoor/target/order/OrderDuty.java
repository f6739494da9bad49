package org.tanagermoor.target.order;

import io.vavr.control.Either;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.tanagermoor.budget.Budgets;
import org.tanagermoor.kernel.duty.Duty;
import org.tanagermoor.kernel.event.EventLog;
import org.tanagermoor.kernel.plugin.Context;
import org.tanagermoor.kernel.time.TimeSource;
import org.tanagermoor.membership.Membership;
import org.tanagermoor.policy.budget.BudgetLimits;
import org.tanagermoor.policy.configuration.Configuration;
import org.tanagermoor.policy.configuration.EngineState;
import org.tanagermoor.policy.configuration.Target;
import org.tanagermoor.policy.fleet.TargetId;
import org.tanagermoor.policy.fleet.Tenure;
import org.tanagermoor.policy.order.OrderContext;
import org.tanagermoor.policy.order.Outcome;
import org.tanagermoor.policy.order.Step;
import org.tanagermoor.policy.order.TargetOrders;
import org.tanagermoor.policy.target.PermitSteward;
import org.tanagermoor.target.TargetEvent;

/**
 * The single-threaded duty that gives orders to the model engines of which this instance is the steward, until they
 * have the state that the preset in force wants.
 */
final class OrderDuty implements Duty.Work<OrderMessage> {

    /** The maximum time between the decision on an order and sending it, in nanoseconds. */
    private static final long MAX_SEND_DELAY_NANOS = 1_500_000_000L;

    /** The maximum time to wait for the budget of loads from the weight store, in nanoseconds. */
    private static final long LOAD_BUDGET_TIMEOUT_NANOS = 5_000_000_000L;

    private final Membership membership;

    private final Budgets budgets;

    private final EventLog events;

    /** The source of the current time, read as late as possible before an action. */
    private final TimeSource time;

    private final EngineClient client;

    /** Withholds the permits of a target if the value is {@code true}, and lends them again otherwise. */
    private final BiConsumer<TargetId, Boolean> withhold;

    /** Queues a message for this duty. */
    private final Consumer<OrderMessage> inbox;

    /** Tells of which targets this instance is the steward, and since when it is the only one. */
    private final Tenure<TargetId> tenure;

    /** The state of the orders, by target. */
    private final Map<TargetId, TargetOrders> orders = new HashMap<>();

    /** The targets whose permits are withheld. */
    private final Set<TargetId> withheld = new HashSet<>();

    /** The targets whose engines have the wanted state. */
    private final Set<TargetId> settled = new HashSet<>();

    /** The configuration that was adopted last. */
    private Configuration configuration = Configuration.EMPTY;

    /**
     * Creates a duty without orders.
     *
     * @param withhold Withholds the permits of a target if the value is {@code true}, and lends them again otherwise.
     * @param inbox Queues a message for this duty.
     */
    OrderDuty(Context context, BiConsumer<TargetId, Boolean> withhold, Consumer<OrderMessage> inbox) {
        membership = context.service(Membership.class);
        budgets = context.service(Budgets.class);
        events = context.events();
        time = context.time();
        client = new EngineClient(events);
        this.withhold = withhold;
        this.inbox = inbox;
        tenure = Tenure.of(membership.self().id(), PermitSteward::steward);
    }

    /** {@inheritDoc} */
    @Override
    public void handle(OrderMessage message, long now) {
        switch (message) {
            case OrderMessage.Adopt adopt -> adopt(adopt.configuration());
            case OrderMessage.Reported reported ->
                targetOrders(reported.target())
                        .ifPresent(targetOrders -> targetOrders.report(reported.number(), reported.report(), now));
            case OrderMessage.Ended ended -> end(ended);
            case OrderMessage.LoadTaken load ->
                targetOrders(load.target()).ifPresent(targetOrders -> targetOrders.takeLoad(load.taken()));
        }
    }

    /** {@inheritDoc} */
    @Override
    public void tick(long now) {
        if (membership.viewAccepted(configuration.view(), now)) {
            tenure.accept(now);
        }
        orders.forEach((id, targetOrders) -> {
            if (serves()) {
                step(id, targetOrders);
            }
            updateWithheld(id, targetOrders.withheld());
            boolean changed = targetOrders.settled() ? settled.add(id) : settled.remove(id);
            if (changed && targetOrders.settled()) {
                events.record(TargetEvent.ENGINE_SETTLED, "target", id);
            }
        });
    }

    /** Adopts a configuration. The permits of targets to which this instance gives no more orders are lent again. */
    private void adopt(Configuration value) {
        configuration = value;
        tenure.adopt(value);
        for (TargetId id : value.preset().engines().keySet()) {
            if (value.targets().containsKey(id) && tenure.isSteward(id)) {
                orders.computeIfAbsent(id, missing -> TargetOrders.of());
            }
        }
        orders.keySet().removeIf(id -> wanted(id).isEmpty() || !tenure.isSteward(id));
        settled.retainAll(orders.keySet());
        Set.copyOf(withheld).stream().filter(id -> !orders.containsKey(id)).forEach(id -> updateWithheld(id, false));
    }

    /** Takes the next step for a target. */
    private void step(TargetId id, TargetOrders targetOrders) {
        Target target = configuration.targets().get(id).get();
        OrderContext orderContext = new OrderContext(
                wanted(id), target.checksFencing(), configuration.view().version(), tenure.since(id));
        long now = time.nanos();
        switch (targetOrders.next(orderContext, now)) {
            case Step.Wait wait -> {}
            case Step.Read read ->
                client.read(target)
                        .subscribe(report -> inbox.accept(new OrderMessage.Reported(id, read.number(), report)));
            case Step.TakeLoad load ->
                budgets.take(BudgetLimits.WEIGHTS, 1, now + LOAD_BUDGET_TIMEOUT_NANOS)
                        .map(Either::isRight)
                        .onErrorReturn(false)
                        .subscribe(taken -> inbox.accept(new OrderMessage.LoadTaken(id, taken)));
            case Step.Send send -> send(target, send, now);
        }
    }

    /**
     * Sends an order.
     *
     * @param decidedAt The monotonic time of the decision in nanoseconds.
     */
    private void send(Target target, Step.Send send, long decidedAt) {
        events.record(
                TargetEvent.ORDER_SENT,
                "target",
                target.id(),
                "order",
                send.order(),
                "fence",
                send.fence().number());
        client.send(target, send.order(), send.fence(), () -> maySend(send, decidedAt))
                .subscribe(outcome -> inbox.accept(new OrderMessage.Ended(target.id(), send.fence(), outcome)));
    }

    /**
     * Returns whether an order may still be sent: this instance has standing in the view of the order and decided on it
     * less than {@link #MAX_SEND_DELAY_NANOS} ago.
     *
     * @param decidedAt The monotonic time of the decision in nanoseconds.
     */
    private boolean maySend(Step.Send send, long decidedAt) {
        boolean current =
                membership.configuration().view().version() == send.fence().view();
        return current && serves() && time.nanos() - decidedAt < MAX_SEND_DELAY_NANOS;
    }

    /** Records how an order ended. */
    private void end(OrderMessage.Ended ended) {
        long fence = ended.fence().number();
        if (ended.outcome() == Outcome.REFUSED) {
            events.record(TargetEvent.ORDER_REFUSED, "target", ended.target(), "fence", fence);
        } else if (ended.outcome() != Outcome.TAKEN) {
            events.record(
                    TargetEvent.ORDER_UNANSWERED, "target", ended.target(), "fence", fence, "outcome", ended.outcome());
        }
        targetOrders(ended.target()).ifPresent(targetOrders -> targetOrders.end(ended.fence(), ended.outcome()));
    }

    /**
     * Withholds the permits of a target or lends them again, if that changes.
     *
     * @param value Whether to withhold the permits.
     */
    private void updateWithheld(TargetId id, boolean value) {
        boolean changed = value ? withheld.add(id) : withheld.remove(id);
        if (changed) {
            events.record(value ? TargetEvent.WITHHELD : TargetEvent.LENT_AGAIN, "target", id);
            withhold.accept(id, value);
        }
    }

    /** Returns the state of the orders to a target, or empty if this instance gives no orders to it. */
    private Optional<TargetOrders> targetOrders(TargetId id) {
        return Optional.ofNullable(orders.get(id));
    }

    /** Returns the state that the preset in force wants of the engine of a target, or empty if it wants none. */
    private Optional<EngineState> wanted(TargetId id) {
        return configuration.targets().containsKey(id)
                ? configuration.preset().engines().get(id).toJavaOptional()
                : Optional.empty();
    }

    /** Returns whether this instance has standing now, that is, whether its configuration is known to be in force. */
    private boolean serves() {
        return membership.standing(time.nanos()).serves();
    }
}
