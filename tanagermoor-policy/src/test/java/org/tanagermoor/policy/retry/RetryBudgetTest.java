package org.tanagermoor.policy.retry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RetryBudgetTest {

    @ParameterizedTest
    @CsvSource({
        // requests, seconds, ratio, minimum per second, max tokens, retries allowed
        "0, 0, 0.125, 5, 50, 5",
        "100, 0, 0.125, 0, 50, 12",
        "100, 0, 0.125, 5, 50, 17",
        "1000, 0, 0.125, 5, 50, 50",
        "0, 4, 0.125, 5, 50, 25",
        "0, 1000, 0.125, 5, 50, 50",
        "7, 0, 0.125, 0, 50, 0",
        "8, 0, 0.125, 0, 50, 1",
    })
    void allowsRetriesInProportionWithAMinimum(
            int requests, int seconds, double ratio, double minimum, double maxTokens, int expected) {
        RetryBudget budget = RetryBudget.of(RetryBudget.Limits.of(ratio, minimum, maxTokens), 0);
        for (int request = 0; request < requests; request++) {
            budget = budget.afterRequest(0);
        }
        long now = TimeUnit.SECONDS.toNanos(seconds);
        int retries = 0;
        Optional<RetryBudget> next = budget.afterRetry(now);
        while (next.isPresent()) {
            retries++;
            next = next.get().afterRetry(now);
        }
        assertThat(retries, is(expected));
    }
}
