package org.tanagermoor.policy.share;

/**
 * The loan of an instance's share to a dispatcher, as a call to the dispatcher states it.
 *
 * @param stamp The last stamp that the lender received from this dispatcher; 0 if the share is not lent to it.
 * @param leaseNanos The time for which the share is lent, counted from the stamp, in nanoseconds.
 * @param fresh Whether the dispatcher may at once admit an initial amount for the share: the share has not given one to
 *     any dispatcher recently.
 * @param entrustedAgoNanos The time since the share was last lent to a dispatcher with most shares, in nanoseconds;
 *     {@link #NEVER} if it never was.
 * @param known The number of instances of which the lender has heard, including itself.
 */
public record Loan(long stamp, long leaseNanos, boolean fresh, long entrustedAgoNanos, int known) {

    /** Stands for a time without end. */
    public static final long NEVER = Long.MAX_VALUE;

    /** The loan of an instance that lends nothing. */
    public static final Loan NONE = new Loan(0, 0, false, NEVER, 0);
}
