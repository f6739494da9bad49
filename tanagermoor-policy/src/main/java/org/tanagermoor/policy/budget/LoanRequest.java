package org.tanagermoor.policy.budget;

import java.util.List;

/**
 * A message in which an instance asks a steward for shares of several budgets and reports on shares that it got before.
 *
 * @param sequence The number of the message, which grows with each message of the instance.
 * @param items What the message says about each budget.
 */
public record LoanRequest(long sequence, List<Item> items) {

    /**
     * What is requested and reported of one part of a budget.
     *
     * @param key The part of the budget.
     * @param needed The amount that waiting requests need.
     * @param prefetch The amount that expected requests will need.
     * @param reports What was spent of shares that were lent before.
     */
    public record Item(ShareKey key, double needed, double prefetch, List<Report> reports) {}

    /**
     * What was spent of a share.
     *
     * @param shareId The number of the message that asked for the share.
     * @param spent The amount that was spent so far.
     * @param closed Whether the rest of the share is returned.
     */
    public record Report(long shareId, double spent, boolean closed) {}
}
