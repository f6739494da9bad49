package org.tanagermoor.policy.budget;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.tanagermoor.policy.fleet.InstanceId;

/**
 * A steward's account of one part of a budget and of the shares that it lent from it.
 *
 * <p>The level is a lower bound of the level of a token bucket that all instances share, minus the amount that is lent
 * and may still be spent. It is refilled up to the burst minus the lent amount, so that the sum of both never exceeds
 * the burst.
 */
final class RateLedger {

    /** The maximum fraction of the level, after the needed amount, that is lent ahead of demand. */
    private static final double MAX_PREFETCH_FRACTION = 0.5;

    /** The minimum time in milliseconds after which an instance asks again. */
    private static final long MIN_RETRY_MILLIS = 20;

    /** The maximum time in milliseconds after which an instance asks again. */
    private static final long MAX_RETRY_MILLIS = 100;

    private static final long NANOS_PER_MILLI = 1_000_000;

    /** The tolerance for rounding errors in sums of fractions. */
    private static final double TOLERANCE = 1e-9;

    /** The amount that can be lent. */
    private final TokenBucket bucket;

    /** The shares that are lent and may still be spent, oldest first. */
    private final Map<LoanKey, Loan> loans = new LinkedHashMap<>();

    /** The total amount that is lent and not reported as spent. */
    private double outstanding;

    /**
     * Creates a ledger whose level is 0.
     *
     * @param since The monotonic time in nanoseconds from which the level accrues.
     */
    RateLedger(RateLimit limit, long since) {
        bucket = TokenBucket.empty(limit, since);
    }

    void limit(RateLimit limit, long now) {
        if (!limit.equals(bucket.limit())) {
            refill(now);
            bucket.limit(limit, now);
        }
    }

    /**
     * Adds a share that an instance has from an earlier steward.
     *
     * @param holder The instance that has the share.
     * @param now The current monotonic time in nanoseconds.
     */
    void carryOver(InstanceId holder, double amount, long now) {
        put(new LoanKey(holder, -1 - loans.size()), new Loan(amount, 0, now + RateSteward.SHARE_LIFETIME_NANOS));
    }

    /**
     * Applies a report of what was spent of a share. A report that is repeated or late has no effect.
     *
     * @param holder The instance that got the share.
     * @param now The current monotonic time in nanoseconds.
     */
    void report(InstanceId holder, LoanRequest.Report report, long now) {
        refill(now);
        LoanKey key = new LoanKey(holder, report.shareId());
        Loan loan = loans.get(key);
        if (loan == null) {
            return;
        }
        double spent = Math.min(loan.amount, Math.max(loan.spent, report.spent()));
        outstanding -= spent - loan.spent;
        loans.put(key, new Loan(loan.amount, spent, loan.expiry));
        if (report.closed()) {
            loans.remove(key);
            outstanding -= loan.amount - spent;
            bucket.add(loan.amount - spent);
        }
    }

    /**
     * Lends a share in whole units.
     *
     * @param holder The instance that asks.
     * @param shareId The number of its message.
     * @param item The requested amounts.
     * @param now The current monotonic time in nanoseconds.
     */
    LoanResponse.Loan lend(InstanceId holder, long shareId, LoanRequest.Item item, long now) {
        double level = refill(now);
        double needed = wholeUnits(Math.min(level, Math.ceil(item.needed())));
        double prefetch = wholeUnits(Math.min((level - needed) * MAX_PREFETCH_FRACTION, item.prefetch()));
        double amount = needed + prefetch;
        if (amount > 0) {
            bucket.add(-amount);
            put(new LoanKey(holder, shareId), new Loan(amount, 0, now + RateSteward.SHARE_LIFETIME_NANOS));
        }
        boolean sufficient = amount > 0 && needed >= Math.ceil(item.needed()) - TOLERANCE;
        return new LoanResponse.Loan(
                item.key(),
                sufficient ? LoanResponse.Status.LENT : LoanResponse.Status.EMPTY,
                amount,
                sufficient ? 0 : retryMillis(level - amount));
    }

    /**
     * Returns the answer to a message that was answered before, with the share that was lent for it, so that it does
     * not matter which of the two answers arrives first.
     *
     * @param holder The instance that asks.
     * @param shareId The number of its message.
     * @param item The requested amounts.
     * @return The share, or a request to ask again if there is none.
     */
    LoanResponse.Loan repeatedLoan(InstanceId holder, long shareId, LoanRequest.Item item) {
        Loan loan = loans.get(new LoanKey(holder, shareId));
        if (loan == null) {
            return new LoanResponse.Loan(item.key(), LoanResponse.Status.WAIT, 0, MIN_RETRY_MILLIS);
        }
        boolean sufficient = loan.amount >= Math.ceil(item.needed()) - TOLERANCE;
        return new LoanResponse.Loan(
                item.key(),
                sufficient ? LoanResponse.Status.LENT : LoanResponse.Status.EMPTY,
                loan.amount,
                sufficient ? 0 : MIN_RETRY_MILLIS);
    }

    /** Returns the number of shares that are lent. */
    int loans() {
        return loans.size();
    }

    /**
     * Adds what accrued, and drops the shares that can no longer be spent; their unreported amount counts as spent.
     *
     * @param now The current monotonic time in nanoseconds.
     * @return The new level.
     */
    private double refill(long now) {
        double level = bucket.refill(bucket.limit().burst() - outstanding, now);
        for (Iterator<Loan> iterator = loans.values().iterator(); iterator.hasNext(); ) {
            Loan loan = iterator.next();
            if (now - loan.expiry < 0) {
                break;
            }
            iterator.remove();
            outstanding -= loan.amount - loan.spent;
        }
        outstanding = loans.isEmpty() ? 0 : outstanding;
        return level;
    }

    private void put(LoanKey key, Loan loan) {
        loans.put(key, loan);
        outstanding += loan.amount;
    }

    /** Returns the time in milliseconds after which there may be something to lend. */
    private long retryMillis(double level) {
        long millis = bucket.limit().nanosFor(Math.max(0, 1 - level)) / NANOS_PER_MILLI;
        return Math.clamp(millis, MIN_RETRY_MILLIS, MAX_RETRY_MILLIS);
    }

    /** Rounds an amount down to whole units, at least 0. */
    private static double wholeUnits(double amount) {
        return Math.max(0, Math.floor(amount + TOLERANCE));
    }

    /**
     * Identifies a share.
     *
     * @param holder The instance that got the share.
     * @param shareId The number of the message that asked for the share, or a negative number for a share from an
     *     earlier steward.
     */
    private record LoanKey(InstanceId holder, long shareId) {}

    /**
     * A share that is lent.
     *
     * @param amount The lent amount.
     * @param spent The amount that was reported as spent.
     * @param expiry The monotonic time in nanoseconds from which the share cannot be spent.
     */
    private record Loan(double amount, double spent, long expiry) {}
}
