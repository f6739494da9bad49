package org.tanagermoor.policy.order;

/** The next action of a steward for a target. */
public sealed interface Step {

    /** Does nothing for now. */
    record Wait() implements Step {}

    /**
     * Reads the report of the engine.
     *
     * @param number The number of this read, to pass along with the report.
     */
    record Read(long number) implements Step {}

    /** Takes a load from the weight store out of the budget of the fleet. */
    record TakeLoad() implements Step {}

    /**
     * Sends an order to the engine.
     *
     * @param order The order.
     * @param fence The fencing number of the order.
     */
    record Send(Order order, Fence fence) implements Step {}
}
