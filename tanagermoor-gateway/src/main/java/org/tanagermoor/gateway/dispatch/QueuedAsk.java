package org.tanagermoor.gateway.dispatch;

/** An ask that waits for a place. Not thread-safe. */
final class QueuedAsk {

    /** The multiple of the longest useful wait after which a queued caller is refused and told to come back. */
    private static final long LATE_FACTOR = 2;

    private final Ask ask;

    /** The position in the order of fair shares; 0 if the order of arrival decides. */
    private double position;

    /** The number in the order of arrival; 0 for an item of a job. */
    private final long number;

    /** The monotonic time of its arrival in nanoseconds. */
    private final long arrivedAt;

    /** The monotonic time in nanoseconds at which its holder last repeated it. */
    private long lastAskedAt;

    /** Creates a queued ask that arrived now. */
    QueuedAsk(Ask ask, long number, double position, long now) {
        this.ask = ask;
        this.number = number;
        this.position = position;
        arrivedAt = now;
        lastAskedAt = now;
    }

    Ask ask() {
        return ask;
    }

    double position() {
        return position;
    }

    /** Moves it up in the order of fair shares. */
    void moveUp(double cost) {
        position -= cost;
    }

    long number() {
        return number;
    }

    /** Returns whether this is the ask with a permit of a holder. */
    boolean matches(String holder, long permit) {
        return ask.permit() == permit && ask.holder().equals(holder);
    }

    /** Returns the monotonic time of its arrival in nanoseconds. */
    long arrivedAt() {
        return arrivedAt;
    }

    /** Returns how much longer it can wait and still be on time, in nanoseconds; below 0 if it is late. */
    long slack(long now) {
        return arrivedAt + ask.onTimeNanos() - now;
    }

    /** Returns the longest further wait that is worth while, in nanoseconds; below 0 if there is none. */
    long remainingWait(long now) {
        return arrivedAt + ServiceQueue.maxWait(ask) - now;
    }

    /** Returns whether it can still be on time. */
    boolean onTime(long now) {
        return slack(now) >= 0;
    }

    /**
     * Returns the benefit to the caller of an item of granting it a place, relative to the time for which it
     * occupies the place.
     *
     * @param fraction The fraction of the places that online requests leave free, and so of the time for which
     *     an item runs.
     * @param now The current monotonic time in nanoseconds.
     */
    double benefit(double fraction, long now) {
        return ask.work().benefit(slack(now), fraction);
    }

    /** Returns whether further waiting is useless, or the holder has stopped repeating the ask. */
    boolean expired(long now, long timeoutNanos) {
        boolean late = !ask.batch() && now - arrivedAt > LATE_FACTOR * ServiceQueue.maxWait(ask);
        return late || now - arrivedAt > ask.waitNanos() || now - lastAskedAt > timeoutNanos;
    }

    /** Records that the holder repeated the ask. */
    void refresh(long now) {
        lastAskedAt = now;
    }
}
