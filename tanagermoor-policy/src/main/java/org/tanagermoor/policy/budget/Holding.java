package org.tanagermoor.policy.budget;

/**
 * The unspent amount that an instance has of a part of a budget, as it reports it to a new steward.
 *
 * @param key The part of the budget.
 * @param amount The amount that was lent and is not spent.
 */
public record Holding(ShareKey key, double amount) {}
