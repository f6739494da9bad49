package org.tanagermoor.policy.order;

import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.tanagermoor.policy.target.PermitSteward;

/**
 * Decides which orders a steward sends to one target. An order is a command to the model engine of the target. The
 * caller asks for a step only while this instance has standing, that is, while its configuration is known to be in
 * force, and immediately before it performs the step. Not thread-safe.
 */
public final class TargetOrders {

    /** The maximum time from sending an order until it has taken effect or never will, in nanoseconds. */
    public static final long MAX_FLIGHT_NANOS = 5_000_000_000L;

    /** The time between two reads of an engine, in nanoseconds. */
    public static final long READ_INTERVAL_NANOS = 1_000_000_000L;

    /**
     * The maximum time to wait for the running requests of an engine to end before an order that interrupts it, in
     * nanoseconds.
     */
    public static final long DRAIN_TIMEOUT_NANOS = 60_000_000_000L;

    /** The time after which an engine that is not ready gets another order, in nanoseconds. */
    public static final long LOADING_TIMEOUT_NANOS = 600_000_000_000L;

    private static final Step WAIT = new Step.Wait();

    /** The version of the view to which the sequence numbers belong. */
    private long view = -1;

    /** The sequence number of the last order in the view. */
    private long sequence;

    /** The version of the view in which an engine refused a fencing number, or -1. */
    private long refusedView = -1;

    /** The fencing number of the order in flight, or {@code null} if there is none. */
    @Nullable
    private Fence inFlight;

    /** The monotonic time until which the order in flight may take effect, in nanoseconds. */
    private long inFlightUntil;

    /** The number of the last read. */
    private long lastReading;

    /** The monotonic time of the next read in nanoseconds, valid if {@link #read} is set. */
    private long nextReadAt;

    /** Whether the time of the next read applies; otherwise the engine is read at once. */
    private boolean read;

    /** Whether the last read started when orders could be sent, so that its report may be used for a decision. */
    private boolean mayDecide;

    /** The last report, or {@code null} if there is none that is newer than the last order. */
    @Nullable
    private EngineReport report;

    /** Whether the permits of the target must be withheld from all instances. */
    private boolean withheld;

    /** The monotonic time since which the permits are withheld, in nanoseconds. */
    private long withheldAt;

    /** Whether the engine was in the desired state in the last report that was used for a decision. */
    private boolean settled;

    /** Whether a load was taken from the budget and has not been used yet. */
    private boolean loadTaken;

    /** Whether the next order loads from the weight store and a request to the budget is pending. */
    private boolean loadRequested;

    private TargetOrders() {}

    /**
     * Creates the orders to a target that has not been read yet.
     *
     * @return The orders.
     */
    public static TargetOrders of() {
        return new TargetOrders();
    }

    /**
     * Returns whether the permits of the target must be withheld from all instances.
     *
     * @return Whether they must be withheld.
     */
    public boolean withheld() {
        return withheld;
    }

    /**
     * Returns whether the engine was ready and in the desired state when it was last read.
     *
     * @return Whether it was.
     */
    public boolean settled() {
        return settled;
    }

    /**
     * Returns the next step.
     *
     * @param context The conditions of the decision.
     * @param now The current monotonic time in nanoseconds.
     * @return The step; the caller must perform it, since it counts as done.
     */
    public Step next(OrderContext context, long now) {
        enterView(context.view());
        if (context.soleStewardSince().isEmpty() || hasOrderInFlight(now)) {
            return WAIT;
        }
        if (!read || now - nextReadAt >= 0) {
            mayDecide = refusedView != view && soleSender(context, now);
            return read(now);
        }
        return report == null ? WAIT : decide(context, report, now);
    }

    /**
     * Records a report of the engine. It is ignored unless it belongs to the last read and no order is in flight.
     *
     * @param number The number of the read.
     * @param value The report.
     * @param now The current monotonic time in nanoseconds.
     */
    public void report(long number, EngineReport value, long now) {
        if (number != lastReading || inFlight != null) {
            return;
        }
        Fence observed = Fence.of(value.fence());
        if (observed.view() > view) {
            refusedView = view;
            mayDecide = false;
        } else if (observed.view() == view) {
            sequence = Math.max(sequence, observed.sequence());
        }
        report = mayDecide ? value : null;
        withhold((mayDecide && withheld) || !value.ready(), now);
    }

    /**
     * Records the outcome of sending an order.
     *
     * @param fence The fencing number of the order.
     * @param outcome The outcome.
     */
    public void end(Fence fence, Outcome outcome) {
        if (!fence.equals(inFlight) || outcome == Outcome.UNKNOWN) {
            return;
        }
        inFlight = null;
        read = false;
        if (outcome == Outcome.REFUSED) {
            refusedView = fence.view();
        }
    }

    /**
     * Records whether a load was taken from the budget of the fleet. If it was refused, the engine is read again first.
     *
     * @param taken Whether it was taken.
     */
    public void takeLoad(boolean taken) {
        loadTaken |= taken;
        loadRequested = false;
        report = taken ? report : null;
    }

    /**
     * Resets the state that belongs to an earlier view.
     *
     * @param value The version of the adopted view.
     */
    private void enterView(long value) {
        if (value != view) {
            view = value;
            sequence = 0;
            report = null;
            read = false;
            loadRequested = false;
        }
    }

    /**
     * Returns whether no order of an earlier steward can take effect any more, apart from those that the target
     * refuses.
     *
     * @param context The conditions of the decision.
     * @param now The current monotonic time in nanoseconds.
     * @return Whether orders may be sent.
     */
    private boolean soleSender(OrderContext context, long now) {
        long guard = context.checksFencing() ? 0 : MAX_FLIGHT_NANOS;
        return now - context.soleStewardSince().orElse(now) - guard >= 0;
    }

    /**
     * Returns whether an order is in flight. After the maximum time it no longer counts.
     *
     * @param now The current monotonic time in nanoseconds.
     * @return Whether an order is in flight.
     */
    private boolean hasOrderInFlight(long now) {
        if (inFlight != null && now - inFlightUntil >= 0) {
            inFlight = null;
            read = false;
        }
        return inFlight != null;
    }

    /**
     * Starts a read of the engine.
     *
     * @param now The current monotonic time in nanoseconds.
     * @return The step.
     */
    private Step read(long now) {
        read = true;
        nextReadAt = now + READ_INTERVAL_NANOS;
        report = null;
        return new Step.Read(++lastReading);
    }

    /**
     * Decides on the next order. Each report is used for at most one decision to send.
     *
     * @param context The conditions of the decision.
     * @param observed The report.
     * @param now The current monotonic time in nanoseconds.
     * @return The step.
     */
    private Step decide(OrderContext context, EngineReport observed, long now) {
        Optional<Order> nextOrder = context.wanted().flatMap(wanted -> Order.next(observed.state(), wanted));
        if (!observed.ready() && (nextOrder.isEmpty() || now - withheldAt < LOADING_TIMEOUT_NANOS)) {
            return WAIT;
        }
        settled = nextOrder.isEmpty() && observed.ready();
        boolean awaitsLoad =
                nextOrder.filter(order -> order.loads() && !loadTaken).isPresent();
        boolean needsDrain = !awaitsLoad && nextOrder.filter(Order::interrupts).isPresent();
        withhold(needsDrain || !observed.ready(), now);
        if (nextOrder.isEmpty() || (needsDrain && !drained(observed, now))) {
            return WAIT;
        }
        return awaitsLoad ? takeLoad() : send(nextOrder.get(), now);
    }

    /**
     * Requests a load from the budget, unless a request is already pending.
     *
     * @return The step.
     */
    private Step takeLoad() {
        if (loadRequested) {
            return WAIT;
        }
        loadRequested = true;
        return new Step.TakeLoad();
    }

    /**
     * Returns whether the engine has no requests and will not get any.
     *
     * @param observed The report.
     * @param now The current monotonic time in nanoseconds.
     * @return Whether it has none, or the time to wait for them has passed.
     */
    private boolean drained(EngineReport observed, long now) {
        long waited = withheld ? now - withheldAt : 0;
        boolean leasesExpired = waited >= PermitSteward.STEWARD_LEASE_NANOS + READ_INTERVAL_NANOS;
        return (leasesExpired && observed.running() == 0) || waited >= DRAIN_TIMEOUT_NANOS;
    }

    /**
     * Sends an order under the next fencing number.
     *
     * @param order The order.
     * @param now The current monotonic time in nanoseconds.
     * @return The step.
     */
    private Step send(Order order, long now) {
        loadTaken &= !order.loads();
        Fence fence = new Fence(view, ++sequence);
        inFlight = fence;
        inFlightUntil = now + MAX_FLIGHT_NANOS;
        report = null;
        return new Step.Send(order, fence);
    }

    /**
     * Sets whether permits are withheld. While an engine is drained for an order, they are withheld until it is in the
     * desired state.
     *
     * @param value Whether the permits must be withheld.
     * @param now The current monotonic time in nanoseconds.
     */
    private void withhold(boolean value, long now) {
        if (value && !withheld) {
            withheldAt = now;
        }
        withheld = value;
    }
}
