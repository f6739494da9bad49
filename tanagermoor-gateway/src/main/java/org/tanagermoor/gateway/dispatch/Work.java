package org.tanagermoor.gateway.dispatch;

/**
 * The work that is left of an item of a job.
 *
 * @param nanos The time for which the item is expected to hold places, in nanoseconds.
 * @param left The part of its work that is left, from above 0 to 1; 1 for an item that has not begun.
 */
public record Work(long nanos, double left) {

    /** The work of which nothing is known. */
    public static final Work NONE = new Work(0, 1);

    /** What a late result is worth beside one in time: a tenth by the sheets of the users. */
    private static final double LATE_GAIN = 0.1;

    /** The least part of the work that is left of an item that has not ended. */
    private static final double LEFT_LEAST = 0.1;

    /** Returns the work that is left of an item. */
    public static Work of(long nanos, double left) {
        return new Work(nanos, left);
    }

    /** Returns the work that is left after the item has run for a time in nanoseconds. */
    Work after(long ranNanos) {
        if (nanos <= 0) {
            return this;
        }
        double whole = nanos / left;
        double rest = Math.max(LEFT_LEAST * whole, (double) (nanos - ranNanos));
        return new Work((long) rest, rest / whole);
    }

    /**
     * Returns what the caller gains by a place, for the time that the item holds it. An item runs only while online
     * requests leave a place. One that has not begun counts by its chance to end in time with the expected breaks;
     * one that has begun goes before it, and counts as in time while it can be.
     *
     * @param slackNanos How long the item can wait and still end in time if it runs without a break, in nanoseconds.
     * @param headroom The part of the places that online requests leave.
     * @return The gain; 1 for an item that has not begun and can end in time.
     */
    double gain(long slackNanos, double headroom) {
        if (slackNanos < 0) {
            return LATE_GAIN / left;
        }
        double breaks = left < 1 ? 0 : nanos * (1 / headroom - 1);
        double chance = slackNanos >= breaks ? 1 : slackNanos / breaks;
        return (LATE_GAIN + (1 - LATE_GAIN) * chance) / left;
    }
}
