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

/** The duty that gives orders to the engines of which this instance is the steward. */
final class OrderDuty implements Duty.Work<OrderMessage> {

    /** The longest time from the decision on an order until it is sent, in nanoseconds. */
    private static final long SEND_NANOS = 1_500_000_000L;

    /** The longest time to wait for a load from the budget, in nanoseconds. */
    private static final long LOAD_NANOS = 5_000_000_000L;

    /** The membership. */
    private final Membership membership;

    /** The budgets. */
    private final Budgets budgets;

    /** The log of events. */
    private final EventLog events;

    /** The source of the present time, read as late before an action as can be. */
    private final TimeSource time;

    /** The client. */
    private final EngineClient client;

    /** Withholds the permits of a target, or lets them be lent again. */
    private final BiConsumer<TargetId, Boolean> withhold;

    /** Takes messages to this duty. */
    private final Consumer<OrderMessage> own;

    /** The tenure. */
    private final Tenure<TargetId> tenure;

    /** The orders by target. */
    private final Map<TargetId, TargetOrders> orders = new HashMap<>();

    /** The targets that get no permits. */
    private final Set<TargetId> withheld = new HashSet<>();

    /** The targets that have what is wanted of them. */
    private final Set<TargetId> settled = new HashSet<>();

    /** The adopted configuration. */
    private Configuration configuration = Configuration.EMPTY;

    /**
     * Creates a duty.
     *
     * @param context The context.
     * @param withhold Withholds the permits of a target, or lets them be lent again.
     * @param own Takes messages to this duty.
     */
    OrderDuty(Context context, BiConsumer<TargetId, Boolean> withhold, Consumer<OrderMessage> own) {
        membership = context.service(Membership.class);
        budgets = context.service(Budgets.class);
        events = context.events();
        time = context.time();
        client = new EngineClient(events);
        this.withhold = withhold;
        this.own = own;
        tenure = Tenure.of(membership.self().id(), PermitSteward::steward);
    }

    /** {@inheritDoc} */
    @Override
    public void handle(OrderMessage message, long now) {
        switch (message) {
            case OrderMessage.Adopt adopt -> adopt(adopt.configuration());
            case OrderMessage.Reported reported ->
                known(reported.target()).ifPresent(known -> known.report(reported.number(), reported.report(), now));
            case OrderMessage.Ended ended -> end(ended);
            case OrderMessage.LoadTaken load -> known(load.target()).ifPresent(known -> known.takeLoad(load.taken()));
        }
    }

    /** {@inheritDoc} */
    @Override
    public void tick(long now) {
        if (membership.viewAccepted(configuration.view(), now)) {
            tenure.accept(now);
        }
        orders.forEach((id, known) -> {
            if (serves()) {
                step(id, known);
            }
            publish(id, known.withheld());
            boolean changed = known.settled() ? settled.add(id) : settled.remove(id);
            if (changed && known.settled()) {
                events.record(TargetEvent.ENGINE_SETTLED, "target", id);
            }
        });
    }

    /**
     * Adopts a configuration.
     *
     * @param value The configuration.
     */
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
        Set.copyOf(withheld).stream().filter(id -> !orders.containsKey(id)).forEach(id -> publish(id, false));
    }

    /**
     * Does what is due for a target.
     *
     * @param id The target.
     * @param known Its orders.
     */
    private void step(TargetId id, TargetOrders known) {
        Target target = configuration.targets().get(id).get();
        OrderContext situation = new OrderContext(
                wanted(id), target.checksFencing(), configuration.view().version(), tenure.since(id));
        long now = time.nanos();
        switch (known.next(situation, now)) {
            case Step.Wait wait -> {}
            case Step.Read read ->
                client.read(target)
                        .subscribe(report -> own.accept(new OrderMessage.Reported(id, read.number(), report)));
            case Step.TakeLoad load ->
                budgets.take(BudgetLimits.WEIGHTS, 1, now + LOAD_NANOS)
                        .map(Either::isRight)
                        .onErrorReturn(false)
                        .subscribe(taken -> own.accept(new OrderMessage.LoadTaken(id, taken)));
            case Step.Send send -> send(target, send, now);
        }
    }

    /**
     * Sends an order.
     *
     * @param target The target.
     * @param send The order.
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
        client.send(target, send.order(), send.fence(), () -> allowed(send, decidedAt))
                .subscribe(outcome -> own.accept(new OrderMessage.Ended(target.id(), send.fence(), outcome)));
    }

    /**
     * Returns whether an order may still be sent.
     *
     * @param send The order.
     * @param decidedAt The monotonic time of the decision in nanoseconds.
     * @return Whether this instance has standing in the view of the order and decided on it just before.
     */
    private boolean allowed(Step.Send send, long decidedAt) {
        boolean current =
                membership.configuration().view().version() == send.fence().view();
        return current && serves() && time.nanos() - decidedAt < SEND_NANOS;
    }

    /**
     * Notes how an order ended.
     *
     * @param ended How it ended.
     */
    private void end(OrderMessage.Ended ended) {
        long fence = ended.fence().number();
        if (ended.outcome() == Outcome.REFUSED) {
            events.record(TargetEvent.ORDER_REFUSED, "target", ended.target(), "fence", fence);
        } else if (ended.outcome() != Outcome.TAKEN) {
            events.record(
                    TargetEvent.ORDER_UNANSWERED, "target", ended.target(), "fence", fence, "outcome", ended.outcome());
        }
        known(ended.target()).ifPresent(known -> known.end(ended.fence(), ended.outcome()));
    }

    /**
     * Withholds the permits of a target or lets them be lent again, where that changed.
     *
     * @param id The target.
     * @param value Whether the target is to get no permits.
     */
    private void publish(TargetId id, boolean value) {
        boolean changed = value ? withheld.add(id) : withheld.remove(id);
        if (changed) {
            events.record(value ? TargetEvent.WITHHELD : TargetEvent.LENT_AGAIN, "target", id);
            withhold.accept(id, value);
        }
    }

    /**
     * Returns the orders to a target.
     *
     * @param id The target.
     * @return The orders, if this instance gives any to it.
     */
    private Optional<TargetOrders> known(TargetId id) {
        return Optional.ofNullable(orders.get(id));
    }

    /**
     * Returns what the preset in force wants of a target.
     *
     * @param id The target.
     * @return What it wants, if it wants anything.
     */
    private Optional<EngineState> wanted(TargetId id) {
        return configuration.targets().containsKey(id)
                ? configuration.preset().engines().get(id).toJavaOptional()
                : Optional.empty();
    }

    /**
     * Returns whether this instance has standing at this moment.
     *
     * @return Whether this instance has standing.
     */
    private boolean serves() {
        return membership.standing(time.nanos()).serves();
    }
}
