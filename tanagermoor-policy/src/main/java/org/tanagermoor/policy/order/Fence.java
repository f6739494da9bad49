package org.tanagermoor.policy.order;

/**
 * A fencing number, which orders the commands to a target so that it can refuse an outdated one. Numbers of a later
 * view are larger than all numbers of an earlier one.
 *
 * @param view The version of the view in which the sender is the steward of the target.
 * @param sequence The number of the order among those that the sender created in this view.
 */
public record Fence(long view, long sequence) {

    /** The number of low bits that hold the sequence in the encoded number. */
    private static final int SEQUENCE_BITS = 20;

    /**
     * Decodes a fencing number.
     *
     * @param number The encoded number, as a target receives it.
     * @return The fencing number.
     */
    public static Fence of(long number) {
        return new Fence(number >> SEQUENCE_BITS, number & ((1L << SEQUENCE_BITS) - 1));
    }

    /**
     * Encodes this fencing number as a single integer, as a target receives it.
     *
     * @return The encoded number.
     */
    public long number() {
        return (view << SEQUENCE_BITS) + sequence;
    }
}
