package org.tanagermoor.gateway.dispatch;

/**
 * The estimated remaining work of an item of a job.
 *
 * @param nanos The time for which the item is expected to occupy places, in nanoseconds.
 * @param remaining The fraction of its work that remains, above 0 and at most 1; 1 for an item that has not
 *     started.
 */
public record Work(long nanos, double remaining) {

    /** Work of unknown length, also used for online requests. */
    public static final Work NONE = new Work(0, 1);

    /** The value of a late result relative to one in time: a tenth according to the requirements of the users. */
    private static final double LATE_BENEFIT = 0.1;

    /** The minimum fraction of its work that remains for an item that has not ended. */
    private static final double MIN_REMAINING = 0.1;

    /** Returns the remaining work for an expected time in nanoseconds and a remaining fraction. */
    public static Work of(long nanos, double remaining) {
        return new Work(nanos, remaining);
    }

    /** Returns the work that remains after the item has run for the given nanoseconds. */
    Work after(long elapsedNanos) {
        if (nanos <= 0) {
            return this;
        }
        double total = nanos / remaining;
        double rest = Math.max(MIN_REMAINING * total, (double) (nanos - elapsedNanos));
        return new Work((long) rest, rest / total);
    }

    /**
     * Returns the benefit to the caller of granting a place, relative to the time for which the item occupies it. An
     * item runs only while online requests leave a place free. An item that has not started is weighted by its chance
     * to end in time with the expected interruptions. A started item is preferred to it, and counts as in time as long
     * as it can still end in time.
     *
     * @param slackNanos How long the item can wait and still end in time if it runs without interruption, in
     *     nanoseconds.
     * @param headroom The fraction of the places that online requests leave free.
     * @return The benefit; 1 for an item that has not started and can end in time.
     */
    double benefit(long slackNanos, double headroom) {
        if (slackNanos < 0) {
            return LATE_BENEFIT / remaining;
        }
        double interruptions = remaining < 1 ? 0 : nanos * (1 / headroom - 1);
        double chance = slackNanos >= interruptions ? 1 : slackNanos / interruptions;
        return (LATE_BENEFIT + (1 - LATE_BENEFIT) * chance) / remaining;
    }
}
