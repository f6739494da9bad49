package org.tanagermoor.policy.batch;

/**
 * A half-open range of item indexes.
 *
 * @param from The first index.
 * @param to The index after the last, above {@code from}.
 */
public record ItemRange(int from, int to) {

    /**
     * Returns a range of item indexes.
     *
     * @param from The first index.
     * @param to The index after the last, above {@code from}.
     */
    public static ItemRange of(int from, int to) {
        return new ItemRange(from, to);
    }

    /** Returns the number of items. */
    public int size() {
        return to - from;
    }
}
