package org.tanagermoor.policy.batch;

/**
 * Counts of items by outcome.
 *
 * @param completed The number of items with an answer.
 * @param failed The number of items that failed permanently.
 * @param unknown The number of items that were started, may not be repeated, and whose answer is not known.
 */
public record Outcomes(int completed, int failed, int unknown) {

    /** The counts of no items, all 0. */
    public static final Outcomes NONE = new Outcomes(0, 0, 0);

    /**
     * Returns counts of items.
     *
     * @param completed The number of items with an answer.
     * @param failed The number of items that failed permanently.
     * @param unknown The number of items whose outcome is unknown.
     */
    public static Outcomes of(int completed, int failed, int unknown) {
        return new Outcomes(completed, failed, unknown);
    }

    /** Returns the sums of these counts and others. */
    public Outcomes plus(Outcomes other) {
        return new Outcomes(completed + other.completed, failed + other.failed, unknown + other.unknown);
    }

    /** Returns the number of items with any outcome. */
    public int total() {
        return completed + failed + unknown;
    }
}
