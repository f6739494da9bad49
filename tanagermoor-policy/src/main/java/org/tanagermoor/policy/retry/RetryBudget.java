package org.tanagermoor.policy.retry;

import java.util.Optional;

/**
 * A budget of retries in proportion to requests, with a minimum for services that get few. A value: each step returns
 * the budget after it.
 *
 * @param limits The limits.
 * @param tokens The retries that may be made now, in whole and in part.
 * @param updatedAt The monotonic time in nanoseconds at which {@code tokens} was right.
 */
public record RetryBudget(Limits limits, double tokens, long updatedAt) {

    /** The nanoseconds in a second. */
    private static final double NANOS_PER_SECOND = 1e9;

    /**
     * Returns a budget that allows what the minimum gives in one second.
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
     * @return The budget, or nothing if no retry may be made.
     */
    public Optional<RetryBudget> afterRetry(long now) {
        RetryBudget current = at(now);
        return current.tokens < 1 ? Optional.empty() : Optional.of(current.withTokens(current.tokens - 1));
    }

    /**
     * Returns this budget at a later time.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    private RetryBudget at(long now) {
        double seconds = Math.max(0, now - updatedAt) / NANOS_PER_SECOND;
        double grown = Math.min(limits.maxTokens(), tokens + seconds * limits.minimumPerSecond());
        return new RetryBudget(limits, grown, now);
    }

    /**
     * Returns this budget with other tokens.
     *
     * @param value The tokens.
     * @return A budget that is otherwise equal to this one.
     */
    private RetryBudget withTokens(double value) {
        return new RetryBudget(limits, value, updatedAt);
    }

    /**
     * The limits of a budget.
     *
     * @param ratio The retries per request, from 0 to 1.
     * @param minimumPerSecond The retries per second that are allowed in any case.
     * @param maxTokens The most retries that may be saved up.
     */
    public record Limits(double ratio, double minimumPerSecond, double maxTokens) {

        /**
         * Returns limits.
         *
         * @param ratio The retries per request.
         * @param minimumPerSecond The retries per second that are allowed in any case.
         * @param maxTokens The most retries that may be saved up.
         */
        public static Limits of(double ratio, double minimumPerSecond, double maxTokens) {
            return new Limits(ratio, minimumPerSecond, maxTokens);
        }
    }
}
