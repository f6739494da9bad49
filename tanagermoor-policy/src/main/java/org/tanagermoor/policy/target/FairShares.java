package org.tanagermoor.policy.target;

import java.util.Map;
import java.util.TreeMap;

/** Max-min fair division of an integer amount. */
final class FairShares {

    private FairShares() {}

    /**
     * Divides an amount so that no claimant gets more than it demands, and the smallest share is as large as possible.
     *
     * @param <K> The type of the claimants.
     * @param demands The demand of each claimant.
     * @param amount The amount; below 0 it counts as 0.
     * @return The share of each claimant.
     */
    static <K extends Comparable<K>> Map<K, Integer> divide(Map<K, Integer> demands, int amount) {
        Map<K, Integer> shares = new TreeMap<>();
        int remainingAmount = Math.max(0, amount);
        int remainingClaims = demands.size();
        var ascending = demands.entrySet().stream()
                .sorted(Map.Entry.<K, Integer>comparingByValue().thenComparing(Map.Entry.comparingByKey()))
                .toList();
        for (Map.Entry<K, Integer> entry : ascending) {
            int share = Math.min(
                    entry.getValue(),
                    remainingAmount / remainingClaims + (remainingAmount % remainingClaims > 0 ? 1 : 0));
            shares.put(entry.getKey(), share);
            remainingAmount -= share;
            remainingClaims--;
        }
        return shares;
    }
}
