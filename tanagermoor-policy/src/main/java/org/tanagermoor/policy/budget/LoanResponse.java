package org.tanagermoor.policy.budget;

import java.util.List;

/**
 * The answer of a steward.
 *
 * @param sequence The number of the message that is answered.
 * @param loans The shares.
 */
public record LoanResponse(long sequence, List<Loan> loans) {

    /**
     * A share of a budget.
     *
     * @param key The part of the budget.
     * @param status Whether something was lent.
     * @param amount The amount that was lent.
     * @param retryMillis The time after which there may be something to lend, in milliseconds.
     */
    public record Loan(ShareKey key, Status status, double amount, long retryMillis) {}

    /** Whether something was lent. */
    public enum Status {

        /** Something was lent. */
        LENT,

        /** The budget is used up for now. */
        EMPTY,

        /** The steward may not lend, or not yet. */
        WAIT
    }
}
