package org.tanagermoor.policy.budget;

import java.util.List;

/**
 * The response of a steward to a {@link LoanRequest}.
 *
 * @param sequence The number of the request.
 * @param loans The shares that are lent or refused.
 */
public record LoanResponse(long sequence, List<Loan> loans) {

    /**
     * The answer for one part of a budget.
     *
     * @param key The part of the budget.
     * @param status Whether the needed amount was lent.
     * @param amount The amount that was lent, which may be above 0 even if it is less than needed.
     * @param retryMillis The time in milliseconds after which the steward may have something to lend.
     */
    public record Loan(ShareKey key, Status status, double amount, long retryMillis) {}

    /** Whether the needed amount was lent, and if not, why. */
    public enum Status {

        /** The needed amount was lent. */
        LENT,

        /** The budget is used up for now, so that nothing or not enough was lent. */
        EMPTY,

        /** The steward may not lend, or not yet. */
        WAIT
    }
}
