package org.tanagermoor.online.attempt;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.tanagermoor.policy.fleet.ServiceName;
import org.tanagermoor.policy.retry.RetryBudget;

/**
 * The retry budgets, one for each service, which limit the extra load that retries cause. Safe for use by several
 * threads.
 */
final class RetryBudgets {

    private static final RetryBudget.Limits LIMITS = RetryBudget.Limits.of(0.1, 5, 50);

    private final Map<ServiceName, RetryBudget> budgets = new ConcurrentHashMap<>();

    /**
     * Counts a request that is not a retry, which adds to the budget of its service.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    void request(ServiceName service, long now) {
        budgets.compute(
                service, (key, budget) -> (budget == null ? RetryBudget.of(LIMITS, now) : budget).afterRequest(now));
    }

    /**
     * Takes one retry from the budget of a service.
     *
     * @param now The current monotonic time in nanoseconds.
     * @return Whether the retry may be made.
     */
    boolean tryRetry(ServiceName service, long now) {
        boolean[] allowed = new boolean[1];
        budgets.computeIfPresent(service, (key, budget) -> {
            Optional<RetryBudget> updated = budget.afterRetry(now);
            allowed[0] = updated.isPresent();
            return updated.orElse(budget);
        });
        return allowed[0];
    }
}
