package org.tanagermoor.policy.target;

import java.time.Duration;

/**
 * The speed of a target, estimated from what it reports about its machine. Designed for targets that share their
 * machines with others: some are slower than others all the time, and all of them change their speed a few times per
 * second. A report is worth less the older it is; without one, the target counts as it did in the mean, and after long
 * as of usual speed. Not thread-safe.
 */
public final class TargetSpeed {

    /** The reported time of work that is usual, in percent. */
    private static final double USUAL_PERCENT = 100;

    /** The minimum of the percentages that are believed, so that a wrong report does not attract all requests. */
    private static final double MIN_PERCENT = 25;

    /** The maximum of the percentages that are believed, so that a wrong report does not exclude a target. */
    private static final double MAX_PERCENT = 1_000;

    /**
     * How much longer the work of a request takes at a target whose places are all in use than at an idle one. It is
     * small, since engines run the requests of their places in common steps.
     */
    public static final double CONTENTION = 0.25;

    /**
     * The time in which the last report loses all but a third of its weight against the mean, in nanoseconds: a speed
     * that changes every half second is often another one by then.
     */
    private static final double REPORT_DECAY_NANOS = Duration.ofMillis(250).toNanos();

    /** The time constant of the mean of the reports, in nanoseconds: several changes of the speed. */
    private static final double MEAN_DECAY_NANOS = Duration.ofSeconds(2).toNanos();

    /**
     * The time without a report in which the mean loses all but a third of its difference from the usual speed, in
     * nanoseconds. A slow target that is avoided makes no reports; if it were forgotten sooner, it would get a burst of
     * requests each time.
     */
    private static final double FORGET_NANOS = Duration.ofSeconds(30).toNanos();

    /** The moving mean of the reported time of work, relative to the usual one. */
    private double mean = 1;

    /** The time of work in the last report, relative to the usual one. */
    private double last = 1;

    /** The monotonic time of the last report in nanoseconds. */
    private long reportedAt;

    /** Whether the target has ever reported its speed. */
    private boolean reported;

    private TargetSpeed() {}

    /** Returns the speed of a target that has reported nothing. */
    public static TargetSpeed of() {
        return new TargetSpeed();
    }

    /** Returns whether the target has ever reported its speed. */
    public boolean reported() {
        return reported;
    }

    /**
     * Records a report. One that is older than the last one is ignored.
     *
     * @param workPercent How long work takes on the machine of the target, in percent of the usual time; 0 or less if
     *     the target does not say.
     * @param at The monotonic time of the report in nanoseconds.
     */
    public void report(int workPercent, long at) {
        if (workPercent <= 0 || (reported && at - reportedAt < 0)) {
            return;
        }
        double value = Math.clamp(workPercent, MIN_PERCENT, MAX_PERCENT) / USUAL_PERCENT;
        double weight = reported ? 1 - Math.exp(-(at - reportedAt) / MEAN_DECAY_NANOS) : 1;
        mean += weight * (value - mean);
        last = value;
        reportedAt = at;
        reported = true;
    }

    /**
     * Returns how long work is expected to take at the target.
     *
     * @param now The current monotonic time in nanoseconds.
     * @return The time of work relative to the usual one; above 1 for a slow target.
     */
    public double slowness(long now) {
        if (!reported) {
            return 1;
        }
        long age = Math.max(0, now - reportedAt);
        double remembered = 1 + (mean - 1) * Math.exp(-age / FORGET_NANOS);
        return remembered + (last - mean) * Math.exp(-age / REPORT_DECAY_NANOS);
    }

    /**
     * Returns how long one more request is expected to take at the target, relative to an idle target of usual speed.
     *
     * @param running The number of requests in progress there.
     * @param capacity The number of its places.
     * @param now The current monotonic time in nanoseconds.
     * @return The time; lower is better.
     */
    public double expectedTime(int running, int capacity, long now) {
        return slowness(now) * (1 + CONTENTION * (running + 1.0) / capacity);
    }
}
