package org.tanagermoor.policy.target;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.OptionalDouble;

/**
 * The requests per second that a target takes from all instances together, while its answers name such a limit.
 * Designed for several instances that report what answers say, late and out of order, and for several dispatchers that
 * do not know of each other: each admits only the part of the limit that its shares of the rates make up. Not
 * thread-safe.
 */
public final class RequestLimit {

    /**
     * The window in which requests are counted, in nanoseconds: that of 4 s in which targets count, and the time for
     * which requests may be under way.
     */
    private static final long WINDOW_NANOS = Duration.ofMillis(4_200).toNanos();

    /** The number of requests that targets tolerate in a window for each request per second of their limit. */
    private static final double REQUESTS_PER_RATE = 6;

    /** The maximum number of requests in a window in addition; targets tolerate 5. */
    private static final double MAX_ADDITIONAL_REQUESTS = 4;

    /** The number of requests in addition to a limit of nothing: their answers show when the limit has ended. */
    private static final double MIN_ADDITIONAL_REQUESTS = 1;

    /** The part of the shares below which a dispatcher admits less than its part for a window. */
    private static final double MOST_SHARES = 2.0 / 3;

    /** What it admits in that window, relative to its part: the others may just have sent more than theirs. */
    private static final double FEW_SHARES_FACTOR = 0.5;

    /** The time without a request after which a target is idle, in nanoseconds. */
    private static final long IDLE_NANOS = Duration.ofSeconds(1).toNanos();

    /** How much later than the last answer with the limit an answer without one must be received to end it. */
    private static final long LIFT_MARGIN_NANOS = Duration.ofMillis(100).toNanos();

    /** The tolerance for rounding errors in sums of fractions. */
    private static final double TOLERANCE = 1e-9;

    /** The requests per second that the target has named; empty if it names no limit. */
    private OptionalDouble perSecond = OptionalDouble.empty();

    /** The part of the limit that this dispatcher may admit, from 0 to 1. */
    private double part = 1;

    /** The monotonic times in nanoseconds at which requests of the current window were sent, in their order. */
    private final ArrayDeque<Long> sent = new ArrayDeque<>();

    /** The monotonic time in nanoseconds at which the part fell below most of the shares, or rose from nothing. */
    private long fewSince;

    /** Whether nothing is admitted, since it is not known what other dispatchers have sent. */
    private boolean blocked;

    /** Whether any answer has been reported. */
    private boolean heard;

    /** The monotonic time in nanoseconds at which the answer of the current state was received. */
    private long heardAt;

    /** The number of requests that have been sent since the limit was learnt. */
    private long taken;

    /** The monotonic time in nanoseconds of the last one, or of the time at which the limit was learnt. */
    private long takenAt;

    private RequestLimit(long now) {
        takenAt = now;
        fewSince = now - WINDOW_NANOS;
    }

    /**
     * Returns the limit of a target of which no answer is known.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    public static RequestLimit none(long now) {
        return new RequestLimit(now);
    }

    /** Returns the requests per second that the target has named; empty if it names no limit. */
    public OptionalDouble perSecond() {
        return perSecond;
    }

    /** Returns whether the target names a limit. */
    public boolean named() {
        return perSecond.isPresent();
    }

    /** Returns the monotonic time in nanoseconds at which the answer of the current state was received. */
    public long heardAt() {
        return heardAt;
    }

    /** Returns the number of requests that have been sent since the limit was learnt. */
    public long taken() {
        return taken;
    }

    /**
     * Records what an answer says. Reports of earlier answers than that of the current state change nothing, and a
     * limit ends only by an answer that was received clearly later than the last one that named it.
     *
     * @param stated The requests per second that the answer names; empty if it names no limit.
     * @param receivedAt The monotonic time in nanoseconds at which the head of the answer was received.
     * @param now The current monotonic time in nanoseconds.
     * @return Whether the limit has changed.
     */
    public boolean report(OptionalDouble stated, long receivedAt, long now) {
        boolean lifts = named() && stated.isEmpty();
        if (heard && receivedAt - heardAt < (lifts ? LIFT_MARGIN_NANOS : 0)) {
            return false;
        }
        heard = true;
        heardAt = receivedAt;
        if (stated.equals(perSecond)) {
            return false;
        }
        if (perSecond.isEmpty()) {
            taken = 0;
            takenAt = now;
        }
        perSecond = stated;
        return true;
    }

    /** Sets whether nothing is admitted, since it is not known what other dispatchers have sent. */
    public void blocked(boolean value) {
        blocked = value;
    }

    /**
     * Records requests that another dispatcher has admitted.
     *
     * @param times The monotonic times in nanoseconds at which they were sent.
     */
    public void sent(Collection<Long> times) {
        if (!times.isEmpty()) {
            List<Long> all = new ArrayList<>(sent);
            all.addAll(times);
            Collections.sort(all);
            sent.clear();
            sent.addAll(all);
        }
    }

    /**
     * Changes the part of the limit that this dispatcher may admit.
     *
     * @param shares The part of the shares of the rates that it has, from 0 to 1.
     * @param now The current monotonic time in nanoseconds.
     */
    public void shares(double shares, long now) {
        if (shares < MOST_SHARES && (part >= MOST_SHARES || part == 0)) {
            fewSince = now;
        }
        part = shares;
    }

    /**
     * Returns the number of requests that may be sent at once.
     *
     * @param now The current monotonic time in nanoseconds.
     * @return The number; {@link Integer#MAX_VALUE} if there is no limit.
     */
    public int allowed(long now) {
        if (!named()) {
            return Integer.MAX_VALUE;
        }
        if (blocked) {
            return 0;
        }
        forget(now);
        boolean few = part < MOST_SHARES && now - fewSince < WINDOW_NANOS;
        double most = requestsPerWindow() * (few ? FEW_SHARES_FACTOR : 1);
        if (most < 1) {
            return most > 0 && now - takenAt >= WINDOW_NANOS / most ? 1 : 0;
        }
        return Math.max(0, (int) (most + TOLERANCE) - sent.size());
    }

    /** Forgets what was sent before the current window. */
    private void forget(long now) {
        while (!sent.isEmpty() && now - sent.getFirst() >= WINDOW_NANOS) {
            sent.removeFirst();
        }
    }

    /** Returns the number of requests that this dispatcher may admit in a window. */
    private double requestsPerWindow() {
        double whole = perSecond.orElse(0);
        return part
                * (REQUESTS_PER_RATE * whole + Math.min(MAX_ADDITIONAL_REQUESTS, MIN_ADDITIONAL_REQUESTS + 2 * whole));
    }

    /**
     * Records that a request is sent.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    public void take(long now) {
        if (named()) {
            forget(now);
            sent.addLast(now);
            taken++;
            takenAt = now;
        }
    }

    /**
     * Returns whether the target has got no request for some time, so that the end of its limit would not be seen.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    public boolean idle(long now) {
        return now - takenAt >= IDLE_NANOS;
    }

    /**
     * Returns the number of places of the target that the limit can keep in use.
     *
     * @param places The number of places of the target.
     * @param occupancyNanos The mean time for which a request occupies a place, in nanoseconds.
     * @return The number, at most that of the places.
     */
    public double usefulPlaces(int places, double occupancyNanos) {
        return named() ? Math.min(places, requestsPerWindow() * occupancyNanos / WINDOW_NANOS) : places;
    }

    /**
     * Returns the smallest number of places that targets with a limit can keep in use.
     *
     * @param occupancyNanos The mean time for which a request occupies a place, in nanoseconds.
     */
    public static double minUsefulPlaces(double occupancyNanos) {
        return MIN_ADDITIONAL_REQUESTS * occupancyNanos / WINDOW_NANOS;
    }
}
