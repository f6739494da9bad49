package org.tanagermoor.policy.budget;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.tanagermoor.policy.configuration.Configuration;
import org.tanagermoor.policy.fleet.InstanceId;
import org.tanagermoor.policy.fleet.View;

/**
 * The borrowing side of many budgets: it requests shares from stewards and spends them on the requests of this
 * instance. The caller uses it only while this instance has standing. Not thread-safe.
 *
 * @param <W> The type that identifies a waiting request.
 */
public final class RateBorrower<W> {

    /** The time in nanoseconds for which a share can be spent, counted from the message that asked for it. */
    public static final long SHARE_USABLE_NANOS = 900_000_000;

    /** The accounts by the name of their budget. */
    private final Map<String, ShareAccount<W>> accounts = new HashMap<>();

    private Configuration configuration = Configuration.EMPTY;

    /** The number of the last message. */
    private long sequence;

    private RateBorrower() {}

    /**
     * Returns a borrower without shares.
     *
     * @param <V> The type that identifies a waiting request.
     */
    public static <V> RateBorrower<V> create() {
        return new RateBorrower<>();
    }

    /**
     * Adopts a configuration.
     *
     * @param value The new configuration.
     * @param now The current monotonic time in nanoseconds.
     */
    public void adopt(Configuration value, long now) {
        boolean viewChanged = value.view().version() != configuration.view().version();
        configuration = value;
        accounts.forEach((budget, account) -> {
            account.limit(BudgetLimits.limit(value, budget).orElse(RateLimit.NOTHING), now);
            if (viewChanged) {
                account.view(value.view(), now);
            }
        });
    }

    /**
     * Takes an amount if it is available and no other request is waiting.
     *
     * @param budget The name of the budget.
     * @param amount The amount, above 0.
     * @param now The current monotonic time in nanoseconds.
     * @return Whether the amount was taken.
     */
    public boolean take(String budget, double amount, long now) {
        return account(budget, now).take(amount, now);
    }

    /**
     * Makes a request wait for a share.
     *
     * @param budget The name of the budget.
     * @param now The current monotonic time in nanoseconds.
     * @return {@code false} if the budget does not exist, can never provide the amount, or has too many waiting
     *     requests.
     */
    public boolean await(String budget, ShareWaiter<W> waiter, long now) {
        return account(budget, now).await(waiter);
    }

    /**
     * Removes requests that are no longer waiting.
     *
     * @param budget The name of the budget.
     * @param waiter Identifies the requests.
     * @param now The current monotonic time in nanoseconds.
     */
    public void cancel(String budget, W waiter, long now) {
        account(budget, now).cancel(waiter);
    }

    /**
     * Returns old shares to their stewards, drops expired ones, and ends waits that are no longer of use.
     *
     * @param now The current monotonic time in nanoseconds.
     * @return The waits that ended.
     */
    public List<ShareOutcome<W>> tick(long now) {
        List<ShareOutcome<W>> outcomes = new ArrayList<>();
        accounts.values().forEach(account -> account.tick(outcomes, now));
        accounts.values().removeIf(account -> account.idle(now));
        return outcomes;
    }

    /**
     * Ends all waits without a share because this instance lost its standing.
     *
     * @return The waits that ended.
     */
    public List<ShareOutcome<W>> abandon() {
        List<ShareOutcome<W>> outcomes = new ArrayList<>();
        accounts.values().forEach(account -> account.abandon(outcomes));
        return outcomes;
    }

    /**
     * Returns the messages to send, at most one for each steward.
     *
     * @param now The current monotonic time in nanoseconds.
     * @return The messages by steward.
     */
    public Map<InstanceId, LoanRequest> requests(long now) {
        Map<InstanceId, List<LoanRequest.Item>> items = new LinkedHashMap<>();
        long next = sequence + 1;
        accounts.values().forEach(account -> account.request(next, items, now));
        sequence = items.isEmpty() ? sequence : next;
        Map<InstanceId, LoanRequest> requests = new LinkedHashMap<>();
        items.forEach((steward, list) -> requests.put(steward, new LoanRequest(next, list)));
        return requests;
    }

    /**
     * Applies the response of a steward.
     *
     * @param now The current monotonic time in nanoseconds.
     * @return The waits that ended.
     */
    public List<ShareOutcome<W>> answer(InstanceId steward, LoanResponse answer, long now) {
        List<ShareOutcome<W>> outcomes = new ArrayList<>();
        for (LoanResponse.Loan loan : answer.loans()) {
            ShareAccount<W> account = accounts.get(loan.key().budget());
            if (account != null) {
                account.answer(steward, answer.sequence(), loan, now);
                account.serve(outcomes, now);
            }
        }
        return outcomes;
    }

    /**
     * Returns the unspent amounts from the budgets of a steward, which it needs before it can lend.
     *
     * @param viewVersion The version of the view in which it is the steward.
     * @param now The current monotonic time in nanoseconds.
     * @return The unspent amounts, or empty if this instance has adopted another view.
     */
    public Optional<List<Holding>> holdings(InstanceId steward, long viewVersion, long now) {
        if (configuration.view().version() != viewVersion) {
            return Optional.empty();
        }
        List<Holding> result = new ArrayList<>();
        accounts.values().forEach(account -> account.holdings(steward, result, now));
        return Optional.of(result);
    }

    /** Returns the account of a budget, which is created on first use. */
    private ShareAccount<W> account(String budget, long now) {
        return accounts.computeIfAbsent(budget, name -> {
            ShareAccount<W> account = new ShareAccount<>(name, now);
            account.limit(BudgetLimits.limit(configuration, name).orElse(RateLimit.NOTHING), now);
            View view = configuration.view();
            account.view(view, now);
            return account;
        });
    }
}
