package org.tanagermoor.policy.target;

import java.time.Duration;

/**
 * How many requests a target may have in progress, found from how it answers. Designed for targets that have just
 * started or recovered: they are neither flooded, which makes their first answers late, nor left idle while others are
 * full. A target starts with one request; each answer in time admits one more, so that the number doubles with each
 * round of answers. An answer that is late halves it, and a failure ends the attempt: the next one begins after a pause
 * that doubles, with a single request again. Not thread-safe.
 */
public final class TargetPace {

    /** The number of requests with which a target starts. */
    private static final double INITIAL_REQUESTS = 1;

    /** The pause after a first failure in nanoseconds, well below the time in which a target starts again. */
    private static final long FIRST_PAUSE_NANOS = Duration.ofMillis(250).toNanos();

    /**
     * The maximum number of doublings of the pause of a target that answers nothing, up to 2 s: it is found soon after
     * its return, and few callers meet it before.
     */
    private static final int MAX_DOUBLINGS = 3;

    /**
     * The same for a target that fails some requests and answers others, up to 8 s: each attempt fails a request.
     */
    private static final int MAX_MIXED_DOUBLINGS = 5;

    /**
     * The time to the first event, relative to that of the service, from which an answer is late: above the variation
     * between requests, and below what makes answers late for callers.
     */
    private static final double LATE_FACTOR = 2;

    /** The number of answers in time after which a target that has failed counts as recovering. */
    private static final int RECOVERY_ANSWERS = 2;

    /** The minimum time between two halvings in nanoseconds; answers that were in progress together count once. */
    private static final long HALVING_NANOS = Duration.ofMillis(200).toNanos();

    /** The number of requests that the target may have in progress. */
    private double requests;

    /** The number of answers in time in the current attempt. */
    private int answers;

    /** Whether the target has been found to answer as usual with all its places in use. */
    private boolean full;

    /** The number of attempts that ended with a failure since the target last was full. */
    private int failedAttempts;

    /** The monotonic time in nanoseconds until which the target gets no request. */
    private long pausedUntil;

    /** The monotonic time in nanoseconds of the last halving. */
    private long halvedAt;

    private TargetPace(boolean full, double requests, long now) {
        this.full = full;
        this.requests = requests;
        pausedUntil = now;
        halvedAt = now - HALVING_NANOS;
    }

    /**
     * Returns the pace of a target that has just started.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    public static TargetPace ofStart(long now) {
        return new TargetPace(false, INITIAL_REQUESTS, now);
    }

    /**
     * Returns the pace of a target that is known to be in use, whose requests are not limited.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    public static TargetPace ofFull(long now) {
        return new TargetPace(true, INITIAL_REQUESTS, now);
    }

    /**
     * Ends the limit of a target whose answers others may have seen meanwhile. A pause that has begun still lasts to
     * its end.
     */
    public void reset() {
        full = true;
        failedAttempts = 0;
        answers = 0;
    }

    /** Returns whether the pace does not limit the target. */
    public boolean full() {
        return full;
    }

    /** Returns whether the target is used again after failures, and has answered as usual several times since. */
    public boolean recovering() {
        return !full && failedAttempts > 0 && answers >= RECOVERY_ANSWERS;
    }

    /**
     * Returns whether a request would find out whether the target has recovered: it is not paused, and too few requests
     * have been answered since it failed.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    public boolean trialDue(long now) {
        return !full && failedAttempts > 0 && answers < RECOVERY_ANSWERS && now - pausedUntil >= 0;
    }

    /**
     * Returns how many requests the target may have in progress.
     *
     * @param capacity The number of places of the target.
     * @param now The current monotonic time in nanoseconds.
     * @return The number, from 0 during a pause to the capacity.
     */
    public int allowed(int capacity, long now) {
        if (now - pausedUntil < 0) {
            return 0;
        }
        return full ? capacity : Math.min(capacity, (int) requests);
    }

    /**
     * Records an answer.
     *
     * @param firstEventNanos The time to its first event, in nanoseconds; 0 if it is unknown.
     * @param usualNanos The usual time to the first event at the targets of the service, in nanoseconds; 0 if it is
     *     unknown.
     * @param capacity The number of places of the target.
     * @param now The current monotonic time in nanoseconds.
     */
    public void answered(long firstEventNanos, long usualNanos, int capacity, long now) {
        if (full || now - pausedUntil < 0) {
            return;
        }
        if (firstEventNanos > 0 && usualNanos > 0 && firstEventNanos > LATE_FACTOR * usualNanos) {
            if (now - halvedAt >= HALVING_NANOS) {
                halvedAt = now;
                requests = Math.max(INITIAL_REQUESTS, requests / 2);
            }
            return;
        }
        answers++;
        requests++;
        if (requests >= capacity) {
            full = true;
            failedAttempts = 0;
        }
    }

    /**
     * Records that the target failed requests, could not be reached, or left the service.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    public void failed(long now) {
        if (now - pausedUntil < 0) {
            return;
        }
        int maxDoublings = answers > 0 ? MAX_MIXED_DOUBLINGS : MAX_DOUBLINGS;
        pausedUntil = now + (FIRST_PAUSE_NANOS << Math.min(failedAttempts, maxDoublings));
        answers = 0;
        failedAttempts++;
        requests = INITIAL_REQUESTS;
        full = false;
    }
}
