package org.tanagermoor.target.order;

import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.tanagermoor.kernel.duty.Duty;
import org.tanagermoor.kernel.plugin.Context;
import org.tanagermoor.membership.Membership;
import org.tanagermoor.policy.fleet.TargetId;

/** Starts and stops the duty that gives orders to model engines. */
public final class EngineOrders implements AutoCloseable {

    /** The capacity of the queue of the duty, in messages. */
    private static final int RING_CAPACITY = 4_096;

    /** The interval between two ticks of the duty, in nanoseconds. */
    private static final long TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private final Duty<OrderMessage> duty;

    private EngineOrders(Context context, BiConsumer<TargetId, Boolean> withhold) {
        OrderDuty work = new OrderDuty(context, withhold, this::offer);
        duty = Duty.start("target-order", RING_CAPACITY, TICK_NANOS, context.time(), context.events(), work);
        context.service(Membership.class).onAdopted(configuration -> offer(new OrderMessage.Adopt(configuration)));
    }

    /**
     * Starts the duty that gives orders.
     *
     * @param withhold Withholds the permits of a target if the value is {@code true}, and lends them again otherwise.
     * @return The orders.
     */
    public static EngineOrders of(Context context, BiConsumer<TargetId, Boolean> withhold) {
        return new EngineOrders(context, withhold);
    }

    /** Stops the duty. */
    @Override
    public void close() {
        duty.close();
    }

    /**
     * Queues a message for the duty. If the queue is full, the message is dropped; the protocol tolerates this like a
     * message that is lost on the network.
     */
    private void offer(OrderMessage message) {
        duty.offer(message);
    }
}
