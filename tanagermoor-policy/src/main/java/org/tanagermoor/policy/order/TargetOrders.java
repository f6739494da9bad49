package org.tanagermoor.policy.order;

import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.tanagermoor.policy.target.PermitSteward;

/**
 * The orders of a steward to one target. The caller asks for a step only while this instance has standing, and at the
 * last moment before it does it. Not safe for use by several threads.
 */
public final class TargetOrders {

    /** The longest time from the sending of an order until it has taken effect or never will, in nanoseconds. */
    public static final long FLIGHT_NANOS = 5_000_000_000L;

    /** The time between two readings of an engine, in nanoseconds. */
    public static final long READ_NANOS = 1_000_000_000L;

    /** The longest time for which an engine is emptied before an order, in nanoseconds. */
    public static final long DRAIN_NANOS = 60_000_000_000L;

    /** The time after which an engine that is not ready is given another order, in nanoseconds. */
    public static final long LOADING_NANOS = 600_000_000_000L;

    /** The step of doing nothing. */
    private static final Step WAIT = new Step.Wait();

    /** The version of the view to which the numbers belong. */
    private long view = -1;

    /** The number of the last order in the view. */
    private long sequence;

    /** The version of the view in which an engine refused a number, or -1. */
    private long refusedIn = -1;

    /** The fencing number of the order under way, or {@code null}. */
    @Nullable
    private Fence underWay;

    /** The monotonic time until which the order under way may take effect, in nanoseconds. */
    private long underWayUntil;

    /** The number of the last reading. */
    private long reading;

    /** The monotonic time of the next reading in nanoseconds, where {@link #read} is set. */
    private long readAt;

    /** Whether the engine was ever to be read. */
    private boolean read;

    /** Whether the last reading began when orders could be sent. */
    private boolean decides;

    /** The last report, or {@code null} if there is none that is newer than the last order. */
    @Nullable
    private EngineReport report;

    /** Whether the target is to get no permits. */
    private boolean withheld;

    /** The monotonic time since which the target gets no permits, in nanoseconds. */
    private long withheldAt;

    /** Whether the engine had what was wanted when it was read last. */
    private boolean settled;

    /** Whether a load was taken from the budget and not used yet. */
    private boolean mayLoad;

    /** Whether an order that reads from the weight store waits for the budget. */
    private boolean takesLoad;

    /** Creates the orders to a target that was not read yet. */
    private TargetOrders() {}

    /**
     * Returns the orders to a target that was not read yet.
     *
     * @return The orders.
     */
    public static TargetOrders of() {
        return new TargetOrders();
    }

    /**
     * Returns whether the target is to get no permits.
     *
     * @return Whether it is to get none.
     */
    public boolean withheld() {
        return withheld;
    }

    /**
     * Returns whether the engine was ready and had what was wanted when it was read last.
     *
     * @return Whether it had what was wanted.
     */
    public boolean settled() {
        return settled;
    }

    /**
     * Returns what is to be done next.
     *
     * @param context What is known.
     * @param now The present monotonic time in nanoseconds.
     * @return The step, which counts as done.
     */
    public Step next(OrderContext context, long now) {
        enter(context.view());
        if (context.since().isEmpty() || busy(now)) {
            return WAIT;
        }
        if (!read || now - readAt >= 0) {
            decides = refusedIn != view && alone(context, now);
            return read(now);
        }
        return report == null ? WAIT : decide(context, report, now);
    }

    /**
     * Notes a report of the engine.
     *
     * @param number The number of the reading.
     * @param value The report.
     * @param now The present monotonic time in nanoseconds.
     */
    public void report(long number, EngineReport value, long now) {
        if (number != reading || underWay != null) {
            return;
        }
        Fence seen = Fence.of(value.fence());
        if (seen.view() > view) {
            refusedIn = view;
            decides = false;
        } else if (seen.view() == view) {
            sequence = Math.max(sequence, seen.sequence());
        }
        report = decides ? value : null;
        withhold((decides && withheld) || !value.ready(), now);
    }

    /**
     * Notes how the sending of an order ended.
     *
     * @param fence The fencing number of the order.
     * @param outcome How it ended.
     */
    public void end(Fence fence, Outcome outcome) {
        if (!fence.equals(underWay) || outcome == Outcome.UNKNOWN) {
            return;
        }
        underWay = null;
        read = false;
        if (outcome == Outcome.REFUSED) {
            refusedIn = fence.view();
        }
    }

    /**
     * Notes whether a load was taken from the budget of the fleet. After a refusal the engine is read anew first.
     *
     * @param taken Whether it was taken.
     */
    public void takeLoad(boolean taken) {
        mayLoad |= taken;
        takesLoad = false;
        report = taken ? report : null;
    }

    /**
     * Enters a view.
     *
     * @param value The version of the view.
     */
    private void enter(long value) {
        if (value != view) {
            view = value;
            sequence = 0;
            report = null;
            read = false;
            takesLoad = false;
        }
    }

    /**
     * Returns whether no order of an earlier steward can take effect any more, as far as the target does not refuse it.
     *
     * @param context What is known.
     * @param now The present monotonic time in nanoseconds.
     * @return Whether orders may be sent.
     */
    private boolean alone(OrderContext context, long now) {
        long guard = context.checksFencing() ? 0 : FLIGHT_NANOS;
        return now - context.since().orElse(now) - guard >= 0;
    }

    /**
     * Returns whether an order is under way.
     *
     * @param now The present monotonic time in nanoseconds.
     * @return Whether an order is under way.
     */
    private boolean busy(long now) {
        if (underWay != null && now - underWayUntil >= 0) {
            underWay = null;
            read = false;
        }
        return underWay != null;
    }

    /**
     * Begins a reading.
     *
     * @param now The present monotonic time in nanoseconds.
     * @return The step.
     */
    private Step read(long now) {
        read = true;
        readAt = now + READ_NANOS;
        report = null;
        return new Step.Read(++reading);
    }

    /**
     * Decides on the next order. Each report is used for one decision to send.
     *
     * @param context What is known.
     * @param seen The report.
     * @param now The present monotonic time in nanoseconds.
     * @return The step.
     */
    private Step decide(OrderContext context, EngineReport seen, long now) {
        Optional<Order> due = context.wanted().flatMap(wanted -> Order.next(seen.state(), wanted));
        if (!seen.ready() && (due.isEmpty() || now - withheldAt < LOADING_NANOS)) {
            return WAIT;
        }
        settled = due.isEmpty() && seen.ready();
        boolean held = due.filter(order -> order.loads() && !mayLoad).isPresent();
        boolean empties = !held && due.filter(Order::interrupts).isPresent();
        withhold(empties || !seen.ready(), now);
        if (due.isEmpty() || (empties && !drained(seen, now))) {
            return WAIT;
        }
        return held ? takeLoad() : send(due.get(), now);
    }

    /**
     * Asks for a load from the budget, once at a time.
     *
     * @return The step.
     */
    private Step takeLoad() {
        if (takesLoad) {
            return WAIT;
        }
        takesLoad = true;
        return new Step.TakeLoad();
    }

    /**
     * Returns whether the engine has no requests and will get none.
     *
     * @param seen The report.
     * @param now The present monotonic time in nanoseconds.
     * @return Whether it is empty, or was waited for long enough.
     */
    private boolean drained(EngineReport seen, long now) {
        long waited = withheld ? now - withheldAt : 0;
        boolean lapsed = waited >= PermitSteward.LEASE_NANOS + READ_NANOS;
        return (lapsed && seen.running() == 0) || waited >= DRAIN_NANOS;
    }

    /**
     * Sends an order.
     *
     * @param order The order.
     * @param now The present monotonic time in nanoseconds.
     * @return The step.
     */
    private Step send(Order order, long now) {
        mayLoad &= !order.loads();
        Fence fence = new Fence(view, ++sequence);
        underWay = fence;
        underWayUntil = now + FLIGHT_NANOS;
        report = null;
        return new Step.Send(order, fence);
    }

    /**
     * Withholds permits or lets them be lent. A target that is being emptied gets none until it has what is wanted.
     *
     * @param value Whether the target is to get no permits.
     * @param now The present monotonic time in nanoseconds.
     */
    private void withhold(boolean value, long now) {
        if (value && !withheld) {
            withheldAt = now;
        }
        withheld = value;
    }
}
