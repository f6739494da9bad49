package org.tanagermoor.policy.budget;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.tanagermoor.policy.configuration.Configuration;
import org.tanagermoor.policy.fleet.InstanceId;
import org.tanagermoor.policy.fleet.Tenure;

/**
 * The steward's side of many budgets: it lends shares of the budgets to the instances. The caller uses it only while
 * this instance has standing. Not thread-safe.
 */
public final class RateSteward {

    /** The time in nanoseconds after which a share can no longer be spent, as seen from the steward. */
    public static final long SHARE_LIFETIME_NANOS = 1_000_000_000;

    /** The time in milliseconds after which an instance asks again while this steward may not lend. */
    private static final long NOT_READY_RETRY_MILLIS = 20;

    private final Tenure<ShareKey> tenure;

    /** The ledgers of the budgets from which this instance may lend. */
    private final Map<ShareKey, RateLedger> ledgers = new HashMap<>();

    /** The number of the last message of each instance. */
    private final Map<InstanceId, Long> lastSequences = new HashMap<>();

    /** The unspent amounts of the members, as they reported them for the view that was adopted last. */
    private final Map<InstanceId, List<Holding>> holdings = new HashMap<>();

    private Configuration configuration = Configuration.EMPTY;

    /** Whether the members are to report their unspent amounts. */
    private boolean wantsHoldings;

    /**
     * The monotonic time in nanoseconds from which a budget may be undivided, if the view has enough members for only
     * one part.
     */
    private long undividedFrom;

    private RateSteward(InstanceId self) {
        tenure = Tenure.of(self, ShareKey::steward);
    }

    /**
     * Returns a steward without ledgers.
     *
     * @param self The identity of this instance.
     */
    public static RateSteward of(InstanceId self) {
        return new RateSteward(self);
    }

    /**
     * Adopts a configuration. Changed limits apply immediately.
     *
     * @param value The new configuration.
     */
    public void adopt(Configuration value) {
        boolean viewChanged = value.view().version() != configuration.view().version();
        configuration = value;
        if (!tenure.adopt(value)) {
            ledgers.clear();
        }
        if (viewChanged) {
            ledgers.keySet().removeIf(key -> !tenure.isSteward(key));
            lastSequences.keySet().removeIf(id -> value.view().member(id).isEmpty());
            holdings.clear();
            wantsHoldings = false;
        }
    }

    /**
     * Records that the adopted view is accepted.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    public void accept(long now) {
        if (tenure.accept(now)) {
            undividedFrom = now + SHARE_LIFETIME_NANOS;
        }
    }

    /**
     * Returns the version of the view for which the members are to report their unspent amounts, or empty while no
     * report is wanted.
     */
    public OptionalLong wantsHoldings() {
        return wantsHoldings && tenure.accepted()
                ? OptionalLong.of(tenure.view().version())
                : OptionalLong.empty();
    }

    /** Returns the members that have not reported their unspent amounts yet. */
    public Set<InstanceId> missingHoldings() {
        Set<InstanceId> missing = new HashSet<>(tenure.view().ids());
        missing.removeAll(holdings.keySet());
        return missing;
    }

    /**
     * Records the unspent amounts of a member. The member was asked after the view was accepted, so it gets no more
     * shares from earlier stewards.
     *
     * @param from The member that reports.
     * @param viewVersion The version of the view for which it reports.
     * @param reported Its unspent amounts from the budgets of this steward.
     */
    public void reportHoldings(InstanceId from, long viewVersion, List<Holding> reported) {
        if (tenure.accepted() && viewVersion == tenure.view().version()) {
            holdings.put(from, List.copyOf(reported));
            wantsHoldings &= !missingHoldings().isEmpty();
        }
    }

    /**
     * Answers a request for shares. A repeated request gets the same shares, and one that arrives after a later one
     * gets nothing.
     *
     * @param from The instance that asks.
     * @param now The current monotonic time in nanoseconds.
     */
    public LoanResponse answer(InstanceId from, LoanRequest request, long now) {
        boolean member = tenure.view().member(from).isPresent();
        long last = lastSequences.getOrDefault(from, 0L);
        boolean isNew = member && request.sequence() > last;
        boolean repeated = member && request.sequence() == last;
        if (isNew) {
            lastSequences.put(from, request.sequence());
        }
        List<LoanResponse.Loan> loans = new ArrayList<>();
        for (LoanRequest.Item item : request.items()) {
            RateLedger ledger = ledger(item.key(), now);
            if (ledger != null) {
                item.reports().forEach(report -> ledger.report(from, report, now));
            }
            boolean wanted = item.needed() > 0 || item.prefetch() > 0;
            if (repeated && ledger != null) {
                loans.add(ledger.repeatedLoan(from, request.sequence(), item));
            } else if (!isNew || ledger == null) {
                loans.add(new LoanResponse.Loan(item.key(), LoanResponse.Status.WAIT, 0, NOT_READY_RETRY_MILLIS));
            } else if (wanted) {
                loans.add(ledger.lend(from, request.sequence(), item, now));
            }
        }
        return new LoanResponse(request.sequence(), loans);
    }

    /** Returns the number of budgets for which this steward has a ledger. */
    public int ledgers() {
        return ledgers.size();
    }

    /**
     * Returns the ledger of a part of a budget.
     *
     * @param now The current monotonic time in nanoseconds.
     * @return The ledger, or {@code null} if this instance may not lend from the budget, or not yet.
     */
    @Nullable
    private RateLedger ledger(ShareKey key, long now) {
        Optional<RateLimit> total = BudgetLimits.limit(configuration, key.budget());
        if (total.isEmpty() || !tenure.isSteward(key)) {
            return null;
        }
        RateLimit limit = key.limit(total.get(), divided(now));
        RateLedger ledger = ledgers.get(key);
        if (ledger == null) {
            ledger = openLedger(key, limit, now);
        } else {
            ledger.limit(limit, now);
        }
        return ledger;
    }

    /**
     * Opens a ledger once every unspent amount that an earlier steward lent is known or has expired.
     *
     * @param now The current monotonic time in nanoseconds.
     * @return The ledger, or {@code null} if it is too early.
     */
    @Nullable
    private RateLedger openLedger(ShareKey key, RateLimit limit, long now) {
        OptionalLong since = tenure.since(key);
        if (since.isEmpty()) {
            return null;
        }
        long sharesExpireAt = since.getAsLong() + SHARE_LIFETIME_NANOS;
        RateLedger ledger;
        if (now - sharesExpireAt >= 0) {
            ledger = new RateLedger(
                    limit, divided(now) || sharesExpireAt - undividedFrom > 0 ? sharesExpireAt : undividedFrom);
            wantsHoldings = false;
        } else if (tenure.accepted() && missingHoldings().isEmpty()) {
            ledger = new RateLedger(limit, now);
            carryOver(key, ledger, now);
        } else {
            wantsHoldings = true;
            return null;
        }
        ledgers.put(key, ledger);
        return ledger;
    }

    /**
     * Adds the unspent amounts that members have from earlier stewards to a ledger.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    private void carryOver(ShareKey key, RateLedger ledger, long now) {
        holdings.forEach((holder, reported) -> reported.stream()
                .filter(holding -> holding.key().equals(key))
                .forEach(holding -> ledger.carryOver(holder, holding.amount(), now)));
    }

    /**
     * Returns whether budgets are divided into two parts. The parts are merged only when no share of the other part can
     * be spent any more.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    private boolean divided(long now) {
        long staying = tenure.view()
                .members()
                .values()
                .filter(member -> !member.leaving())
                .size();
        return staying > 1 || !tenure.accepted() || now - undividedFrom < 0;
    }
}
