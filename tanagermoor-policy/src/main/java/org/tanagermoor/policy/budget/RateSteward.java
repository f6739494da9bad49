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
 * The steward's side of many budgets. The caller asks it only while this instance has standing. Not safe for use by
 * several threads.
 */
public final class RateSteward {

    /** The time after which a share cannot be spent any more, seen from the steward, in nanoseconds. */
    public static final long SHARE_LIFETIME_NANOS = 1_000_000_000;

    /** The time after which an instance asks again while this one may not lend, in milliseconds. */
    private static final long WAIT_MILLIS = 20;

    private final Tenure<ShareKey> tenure;

    /** The ledgers of the budgets from which this instance may lend. */
    private final Map<ShareKey, RateLedger> ledgers = new HashMap<>();

    /** The last message of each instance from which something was lent. */
    private final Map<InstanceId, Long> answered = new HashMap<>();

    /** What members hold, as they reported it for the view that was adopted last. */
    private final Map<InstanceId, List<Holding>> holdings = new HashMap<>();

    /** The adopted configuration. */
    private Configuration configuration = Configuration.EMPTY;

    /** Whether reports of the members are wanted. */
    private boolean wantsHoldings;

    /** The time from which a budget may be undivided, if the view has members for one part only. */
    private long undividedFrom;

    /**
     * Creates a steward.
     *
     * @param self The identity of this instance.
     */
    private RateSteward(InstanceId self) {
        tenure = Tenure.of(self, ShareKey::steward);
    }

    /**
     * Returns a steward that lends nothing yet.
     *
     * @param self The identity of this instance.
     */
    public static RateSteward of(InstanceId self) {
        return new RateSteward(self);
    }

    /** Adopts a configuration. Changed limits apply at once. */
    public void adopt(Configuration value) {
        boolean viewChanged = value.view().version() != configuration.view().version();
        configuration = value;
        if (!tenure.adopt(value)) {
            ledgers.clear();
        }
        if (viewChanged) {
            ledgers.keySet().removeIf(key -> !tenure.isSteward(key));
            answered.keySet().removeIf(id -> value.view().member(id).isEmpty());
            holdings.clear();
            wantsHoldings = false;
        }
    }

    /**
     * Notes that the adopted view is accepted.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    public void accept(long now) {
        if (tenure.accept(now)) {
            undividedFrom = now + SHARE_LIFETIME_NANOS;
        }
    }

    /**
     * Returns the version of the view for which the members are to report what they hold.
     *
     * @return The version of the view, or nothing while no report is wanted.
     */
    public OptionalLong wantsHoldings() {
        return wantsHoldings && tenure.accepted()
                ? OptionalLong.of(tenure.view().version())
                : OptionalLong.empty();
    }

    /** Returns the members that did not report what they hold yet. */
    public Set<InstanceId> missingHoldings() {
        Set<InstanceId> missing = new HashSet<>(tenure.view().ids());
        missing.removeAll(holdings.keySet());
        return missing;
    }

    /**
     * Notes what a member holds. It was asked after the view was accepted, and takes no more from earlier stewards.
     *
     * @param from The member.
     * @param viewVersion The version of the view for which it reports.
     * @param held What it holds of the budgets of this steward.
     */
    public void reportHoldings(InstanceId from, long viewVersion, List<Holding> held) {
        if (tenure.accepted() && viewVersion == tenure.view().version()) {
            holdings.put(from, List.copyOf(held));
            wantsHoldings &= !missingHoldings().isEmpty();
        }
    }

    /**
     * Answers a message. One that is repeated gets the same shares, and one that comes after a later one gets nothing.
     *
     * @param from The instance that asks.
     * @param ask The message.
     * @param now The current monotonic time in nanoseconds.
     */
    public LoanResponse answer(InstanceId from, LoanRequest ask, long now) {
        boolean member = tenure.view().member(from).isPresent();
        long last = answered.getOrDefault(from, 0L);
        boolean fresh = member && ask.sequence() > last;
        boolean repeated = member && ask.sequence() == last;
        if (fresh) {
            answered.put(from, ask.sequence());
        }
        List<LoanResponse.Loan> loans = new ArrayList<>();
        for (LoanRequest.Item item : ask.items()) {
            RateLedger ledger = ledger(item.key(), now);
            if (ledger != null) {
                item.reports().forEach(report -> ledger.report(from, report, now));
            }
            boolean wanted = item.needed() > 0 || item.prefetch() > 0;
            if (repeated && ledger != null) {
                loans.add(ledger.lent(from, ask.sequence(), item));
            } else if (!fresh || ledger == null) {
                loans.add(new LoanResponse.Loan(item.key(), LoanResponse.Status.WAIT, 0, WAIT_MILLIS));
            } else if (wanted) {
                loans.add(ledger.lend(from, ask.sequence(), item, now));
            }
        }
        return new LoanResponse(ask.sequence(), loans);
    }

    /** Returns the number of budgets of which this steward keeps a ledger. */
    public int ledgers() {
        return ledgers.size();
    }

    /**
     * Returns the ledger of a part of a budget.
     *
     * @param key The part of the budget.
     * @param now The current monotonic time in nanoseconds.
     * @return The ledger, or {@code null} if this instance may not lend from it, or not yet.
     */
    @Nullable
    private RateLedger ledger(ShareKey key, long now) {
        Optional<RateLimit> whole = BudgetLimits.limit(configuration, key.budget());
        if (whole.isEmpty() || !tenure.isSteward(key)) {
            return null;
        }
        RateLimit limit = key.limit(whole.get(), divided(now));
        RateLedger ledger = ledgers.get(key);
        if (ledger == null) {
            ledger = open(key, limit, now);
        } else {
            ledger.limit(limit, now);
        }
        return ledger;
    }

    /**
     * Opens a ledger, once nothing is held that an earlier steward lent and that is not known.
     *
     * @param key The part of the budget.
     * @param now The current monotonic time in nanoseconds.
     * @return The ledger, or {@code null} if it is too early.
     */
    @Nullable
    private RateLedger open(ShareKey key, RateLimit limit, long now) {
        OptionalLong since = tenure.since(key);
        if (since.isEmpty()) {
            return null;
        }
        long lapsed = since.getAsLong() + SHARE_LIFETIME_NANOS;
        RateLedger ledger;
        if (now - lapsed >= 0) {
            ledger = new RateLedger(limit, divided(now) || lapsed - undividedFrom > 0 ? lapsed : undividedFrom);
            wantsHoldings = false;
        } else if (tenure.accepted() && missingHoldings().isEmpty()) {
            ledger = new RateLedger(limit, now);
            carry(key, ledger, now);
        } else {
            wantsHoldings = true;
            return null;
        }
        ledgers.put(key, ledger);
        return ledger;
    }

    /**
     * Notes in a ledger what members hold from earlier stewards.
     *
     * @param key The part of the budget.
     * @param now The current monotonic time in nanoseconds.
     */
    private void carry(ShareKey key, RateLedger ledger, long now) {
        holdings.forEach((holder, held) -> held.stream()
                .filter(holding -> holding.key().equals(key))
                .forEach(holding -> ledger.carry(holder, holding.amount(), now)));
    }

    /**
     * Returns whether budgets are divided into two parts. They grow together again only when nothing is lent from the
     * other part any more.
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
