package org.tanagermoor.policy.budget;

import java.util.List;

/**
 * A message in which an instance asks a steward for shares of many budgets, and reports on those that it got.
 *
 * @param sequence The number of the message, which grows with each message of the instance.
 * @param items The budgets.
 */
public record LoanRequest(long sequence, List<Item> items) {

    /**
     * What is asked for and reported of a budget.
     *
     * @param key The part of the budget.
     * @param needed The amount for which requests wait.
     * @param prefetch The amount for which requests are expected.
     * @param reports What was spent of shares that were lent before.
     */
    public record Item(ShareKey key, double needed, double prefetch, List<Report> reports) {}

    /**
     * What was spent of a share.
     *
     * @param shareId The number of the message that asked for the share.
     * @param spent The amount that was spent so far.
     * @param closed Whether the rest is given back.
     */
    public record Report(long shareId, double spent, boolean closed) {}
}
