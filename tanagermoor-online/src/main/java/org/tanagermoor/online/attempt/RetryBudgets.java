package org.tanagermoor.online.attempt;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.tanagermoor.policy.fleet.ServiceName;
import org.tanagermoor.policy.retry.RetryBudget;

/** The retry budgets of all services. Safe for use by several threads. */
final class RetryBudgets {

    /** The limits of each budget. */
    private static final RetryBudget.Limits LIMITS = RetryBudget.Limits.of(0.1, 5, 50);

    /** The budgets by service. */
    private final Map<ServiceName, RetryBudget> budgets = new ConcurrentHashMap<>();

    /**
     * Counts a request that is not a retry.
     *
     * @param service The service.
     * @param now The present monotonic time in nanoseconds.
     */
    void request(ServiceName service, long now) {
        budgets.compute(
                service, (key, budget) -> (budget == null ? RetryBudget.of(LIMITS, now) : budget).afterRequest(now));
    }

    /**
     * Takes a retry from the budget of a service.
     *
     * @param service The service.
     * @param now The present monotonic time in nanoseconds.
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
