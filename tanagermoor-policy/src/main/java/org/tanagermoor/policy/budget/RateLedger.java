package org.tanagermoor.policy.budget;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.tanagermoor.policy.fleet.InstanceId;

/**
 * What a steward knows of one part of a budget.
 *
 * <p>The level is a lower bound of a token bucket that all instances share, less what is lent and may still be spent.
 * It is refilled up to the burst less what is lent, hence the sum of both never exceeds the burst.
 */
final class RateLedger {

    /** The largest part of what is left that is lent ahead of demand. */
    private static final double AHEAD_PART = 0.5;

    /** The shortest time after which an instance asks again, in milliseconds. */
    private static final long RETRY_MILLIS_LEAST = 20;

    /** The longest time after which an instance asks again, in milliseconds. */
    private static final long RETRY_MILLIS_MOST = 100;

    /** The nanoseconds of a millisecond. */
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** The tolerance for sums of fractions. */
    private static final double TOLERANCE = 1e-9;

    /** The level. */
    private final TokenBucket bucket;

    /** What is lent and may still be spent, oldest first. */
    private final Map<LoanKey, Loan> loans = new LinkedHashMap<>();

    /** The sum of what is lent and not reported as spent. */
    private double outstanding;

    /**
     * Creates a ledger with level zero.
     *
     * @param since The monotonic time from which the level accrues, in nanoseconds.
     */
    RateLedger(RateLimit limit, long since) {
        bucket = TokenBucket.empty(limit, since);
    }

    /**
     * Changes the limit.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    void limit(RateLimit limit, long now) {
        if (!limit.equals(bucket.limit())) {
            refill(now);
            bucket.limit(limit, now);
        }
    }

    /**
     * Notes what an instance holds from an earlier steward.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    void carry(InstanceId holder, double amount, long now) {
        put(new LoanKey(holder, -1 - loans.size()), new Loan(amount, 0, now + RateSteward.SHARE_LIFETIME_NANOS));
    }

    /**
     * Notes what was spent of a share. A message that is repeated or late changes nothing.
     *
     * @param holder The instance that got it.
     * @param report What was spent.
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
     * @param item What it asks for.
     * @param now The current monotonic time in nanoseconds.
     */
    LoanResponse.Loan lend(InstanceId holder, long shareId, LoanRequest.Item item, long now) {
        double level = refill(now);
        double needed = units(Math.min(level, Math.ceil(item.needed())));
        double prefetch = units(Math.min((level - needed) * AHEAD_PART, item.prefetch()));
        double amount = needed + prefetch;
        if (amount > 0) {
            bucket.add(-amount);
            put(new LoanKey(holder, shareId), new Loan(amount, 0, now + RateSteward.SHARE_LIFETIME_NANOS));
        }
        boolean enough = amount > 0 && needed >= Math.ceil(item.needed()) - TOLERANCE;
        return new LoanResponse.Loan(
                item.key(),
                enough ? LoanResponse.Status.LENT : LoanResponse.Status.EMPTY,
                amount,
                enough ? 0 : retryMillis(level - amount));
    }

    /**
     * Returns the answer to a message that was answered before, with the share that was lent for it, so that it does
     * not matter which of the two answers comes first.
     *
     * @param holder The instance that asks.
     * @param shareId The number of its message.
     * @param item What it asks for.
     * @return The share, or that the instance is to ask again where there is none.
     */
    LoanResponse.Loan lent(InstanceId holder, long shareId, LoanRequest.Item item) {
        Loan loan = loans.get(new LoanKey(holder, shareId));
        if (loan == null) {
            return new LoanResponse.Loan(item.key(), LoanResponse.Status.WAIT, 0, RETRY_MILLIS_LEAST);
        }
        boolean enough = loan.amount >= Math.ceil(item.needed()) - TOLERANCE;
        return new LoanResponse.Loan(
                item.key(),
                enough ? LoanResponse.Status.LENT : LoanResponse.Status.EMPTY,
                loan.amount,
                enough ? 0 : RETRY_MILLIS_LEAST);
    }

    /** Returns the number of shares that are lent. */
    int loans() {
        return loans.size();
    }

    /**
     * Adds what accrued, and forgets the shares that can no longer be spent; what was not reported counts as spent.
     *
     * @param now The current monotonic time in nanoseconds.
     * @return The level.
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

    /**
     * Adds a share.
     *
     * @param key The share.
     * @param loan What is lent.
     */
    private void put(LoanKey key, Loan loan) {
        loans.put(key, loan);
        outstanding += loan.amount;
    }

    /**
     * Returns the time after which there may be something to lend.
     *
     * @return The time in milliseconds.
     */
    private long retryMillis(double level) {
        long millis = bucket.limit().nanosFor(Math.max(0, 1 - level)) / NANOS_PER_MILLI;
        return Math.clamp(millis, RETRY_MILLIS_LEAST, RETRY_MILLIS_MOST);
    }

    /**
     * Returns the whole units of an amount.
     *
     * @return The whole units, at least 0.
     */
    private static double units(double amount) {
        return Math.max(0, Math.floor(amount + TOLERANCE));
    }

    /**
     * Names a share.
     *
     * @param holder The instance that got it.
     * @param shareId The number of the message that asked for it.
     */
    private record LoanKey(InstanceId holder, long shareId) {}

    /**
     * A share.
     *
     * @param amount The amount.
     * @param spent The part that was reported as spent.
     * @param expiry The monotonic time from which it cannot be spent, in nanoseconds.
     */
    private record Loan(double amount, double spent, long expiry) {}
}
