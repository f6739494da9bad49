package org.tanagermoor.policy.retry;

import java.util.Optional;

/**
 * A retry budget: a token bucket that earns a fraction of a retry with each request, and a minimum rate for services
 * with few requests. Immutable: each operation returns the budget after it.
 *
 * @param limits The limits of the budget.
 * @param tokens The number of retries that may be made now; fractions accumulate.
 * @param updatedAt The monotonic time in nanoseconds for which {@code tokens} holds.
 */
public record RetryBudget(Limits limits, double tokens, long updatedAt) {

    private static final double NANOS_PER_SECOND = 1e9;

    /**
     * Returns a budget that starts with the retries that the minimum rate allows in one second.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    public static RetryBudget of(Limits limits, long now) {
        return new RetryBudget(limits, Math.min(limits.maxTokens(), limits.minimumPerSecond()), now);
    }

    /**
     * Returns this budget after a request that is not a retry.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    public RetryBudget afterRequest(long now) {
        RetryBudget current = at(now);
        return current.withTokens(Math.min(limits.maxTokens(), current.tokens + limits.ratio()));
    }

    /**
     * Returns this budget after a retry.
     *
     * @param now The current monotonic time in nanoseconds.
     * @return The budget, or empty if no retry may be made.
     */
    public Optional<RetryBudget> afterRetry(long now) {
        RetryBudget current = at(now);
        return current.tokens < 1 ? Optional.empty() : Optional.of(current.withTokens(current.tokens - 1));
    }

    /**
     * Returns this budget refilled at the minimum rate up to a time.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    private RetryBudget at(long now) {
        double seconds = Math.max(0, now - updatedAt) / NANOS_PER_SECOND;
        double refilled = Math.min(limits.maxTokens(), tokens + seconds * limits.minimumPerSecond());
        return new RetryBudget(limits, refilled, now);
    }

    private RetryBudget withTokens(double value) {
        return new RetryBudget(limits, value, updatedAt);
    }

    /**
     * The limits of a retry budget.
     *
     * @param ratio The number of retries earned per request, from 0 to 1.
     * @param minimumPerSecond The number of retries per second that are allowed regardless of the requests.
     * @param maxTokens The maximum number of retries that accumulate.
     */
    public record Limits(double ratio, double minimumPerSecond, double maxTokens) {

        /**
         * Returns the limits of a retry budget.
         *
         * @param ratio The number of retries earned per request, from 0 to 1.
         * @param minimumPerSecond The number of retries per second that are allowed regardless of the requests.
         * @param maxTokens The maximum number of retries that accumulate.
         */
        public static Limits of(double ratio, double minimumPerSecond, double maxTokens) {
            return new Limits(ratio, minimumPerSecond, maxTokens);
        }
    }
}
