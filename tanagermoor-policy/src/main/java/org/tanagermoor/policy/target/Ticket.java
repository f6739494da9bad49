package org.tanagermoor.policy.target;

/**
 * A request that waits for a permit. Tickets are compared by identity.
 *
 * @param <W> The type of the object that is notified of the outcome.
 */
public final class Ticket<W> {

    private final PermitDemand demand;

    /** The object that is notified of the outcome. */
    private final W waiter;

    /** The random number or counter from which the order of the targets is derived. */
    private final long draw;

    /** The number of targets that the request may use, counted from the most preferred one. */
    private int targetLimit = 1;

    /** The monotonic time at which the target limit was last raised, in nanoseconds. */
    private long widenedAt;

    /**
     * Creates a ticket that may use only its most preferred target.
     *
     * @param demand The requirements of the request.
     * @param waiter The object that is notified of the outcome.
     * @param draw The random number or counter from which the order of the targets is derived.
     * @param now The current monotonic time in nanoseconds.
     */
    Ticket(PermitDemand demand, W waiter, long draw, long now) {
        this.demand = demand;
        this.waiter = waiter;
        this.draw = draw;
        widenedAt = now;
    }

    /**
     * Returns the requirements of the request.
     *
     * @return The requirements.
     */
    public PermitDemand demand() {
        return demand;
    }

    /**
     * Returns the object that is notified of the outcome.
     *
     * @return The object.
     */
    public W waiter() {
        return waiter;
    }

    long draw() {
        return draw;
    }

    int targetLimit() {
        return targetLimit;
    }

    /**
     * Lets this request use one more target if it has waited for at least the interval since the last one was added.
     *
     * @param interval The time to wait for each target in nanoseconds.
     * @param now The current monotonic time in nanoseconds.
     */
    void widen(long interval, long now) {
        if (now - widenedAt >= interval) {
            targetLimit++;
            widenedAt = now;
        }
    }
}
