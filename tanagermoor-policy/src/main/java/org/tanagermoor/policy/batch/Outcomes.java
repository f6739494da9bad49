package org.tanagermoor.policy.batch;

/**
 * The numbers of items by outcome.
 *
 * @param completed The items that were answered.
 * @param failed The items that failed for good.
 * @param unknown The items that were started and may not be repeated, and of which no answer is known.
 */
public record Outcomes(int completed, int failed, int unknown) {

    /** No items. */
    public static final Outcomes NONE = new Outcomes(0, 0, 0);

    /**
     * Returns numbers of items.
     *
     * @param completed The items that were answered.
     * @param failed The items that failed for good.
     * @param unknown The items whose outcome is unknown.
     */
    public static Outcomes of(int completed, int failed, int unknown) {
        return new Outcomes(completed, failed, unknown);
    }

    /** Returns the sum of these numbers and others. */
    public Outcomes plus(Outcomes other) {
        return new Outcomes(completed + other.completed, failed + other.failed, unknown + other.unknown);
    }

    /** Returns the number of items with any outcome. */
    public int total() {
        return completed + failed + unknown;
    }
}
