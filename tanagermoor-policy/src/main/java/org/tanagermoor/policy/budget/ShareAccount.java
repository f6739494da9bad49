package org.tanagermoor.policy.budget;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.tanagermoor.policy.fleet.InstanceId;
import org.tanagermoor.policy.fleet.View;

/**
 * The unspent shares of a budget and the requests that are waiting for more. Not thread-safe.
 *
 * @param <W> The type that identifies a waiting request.
 */
final class ShareAccount<W> {

    /** The maximum number of waiting requests. */
    private static final int MAX_WAITERS = 1_024;

    /** The time in nanoseconds for which a request waits while the budget is used up. */
    private static final long USED_UP_TIMEOUT_NANOS = 250_000_000;

    /**
     * The time in nanoseconds after which the reserve part is asked if the steward of the primary part does not answer.
     */
    private static final long RESERVE_DELAY_NANOS = 30_000_000;

    /** The supply, in seconds of demand, below which shares are requested ahead of demand. */
    private static final double LOW_SUPPLY_SECONDS = 0.05;

    /** The supply, in seconds of demand, up to which shares are requested ahead of demand. */
    private static final double HIGH_SUPPLY_SECONDS = 0.5;

    /** The maximum fraction of the burst that is requested ahead of demand. */
    private static final double MAX_PREFETCH_FRACTION = 1.0 / 16;

    /** The time constant of the exponential average of the demand, in nanoseconds. */
    private static final double DEMAND_TIME_CONSTANT_NANOS = 500e6;

    /** The time in nanoseconds without use after which an account is dropped. */
    private static final long IDLE_TIMEOUT_NANOS = 10_000_000_000L;

    private static final double NANOS_PER_SECOND = 1e9;

    /** The tolerance for rounding errors in sums of fractions. */
    private static final double TOLERANCE = 1e-9;

    /** The larger part of the budget. */
    private final ShareSource primary;

    /** The smaller part of the budget. */
    private final ShareSource reserve;

    /** The waiting requests in the order of their arrival. */
    private final Deque<ShareWaiter<W>> waiters = new ArrayDeque<>();

    private View view = View.EMPTY;

    /** The limit of the whole budget. */
    private RateLimit limit = RateLimit.NOTHING;

    /** The estimated demand per second at {@link #lastUsedAt}. */
    private double demand;

    /** The monotonic time in nanoseconds of the last request. */
    private long lastUsedAt;

    ShareAccount(String budget, long now) {
        primary = new ShareSource(ShareKey.primary(budget), now);
        reserve = new ShareSource(ShareKey.reserve(budget), now);
        lastUsedAt = now;
    }

    void limit(RateLimit value, long now) {
        boolean dividedBefore = divided();
        limit = value;
        if (dividedBefore != divided()) {
            view(view, now);
        }
        if (value.equals(RateLimit.NOTHING)) {
            primary.clear();
            reserve.clear();
        }
    }

    void view(View value, long now) {
        view = value;
        primary.steward(primary.key().steward(view), now);
        reserve.steward(divided() ? reserve.key().steward(view) : Optional.empty(), now);
    }

    /**
     * Takes an amount if it is available and no other request is waiting.
     *
     * @param now The current monotonic time in nanoseconds.
     * @return Whether the amount was taken.
     */
    boolean take(double amount, long now) {
        demand = demand(now) + amount * NANOS_PER_SECOND / DEMAND_TIME_CONSTANT_NANOS;
        lastUsedAt = now;
        return waiters.isEmpty() && spend(amount, now);
    }

    /**
     * Makes a request wait.
     *
     * @return {@code false} if the request can never be served, or too many requests are waiting.
     */
    boolean await(ShareWaiter<W> waiter) {
        if (waiter.amount() > limit.burst() || waiters.size() >= MAX_WAITERS) {
            return false;
        }
        waiters.addLast(waiter);
        return true;
    }

    /**
     * Removes requests that are no longer waiting.
     *
     * @param waiter Identifies the requests.
     */
    void cancel(W waiter) {
        waiters.removeIf(other -> other.waiter().equals(waiter));
    }

    /**
     * Returns old shares to the stewards, drops expired ones, and ends waits that are no longer of use.
     *
     * @param outcomes Receives the waits that ended.
     * @param now The current monotonic time in nanoseconds.
     */
    void tick(List<ShareOutcome<W>> outcomes, long now) {
        primary.age(now);
        reserve.age(now);
        for (Iterator<ShareWaiter<W>> iterator = waiters.iterator(); iterator.hasNext(); ) {
            ShareWaiter<W> waiter = iterator.next();
            boolean timedOut = usedUp(waiter.waitingSince() + USED_UP_TIMEOUT_NANOS);
            if (now - waiter.deadline() >= 0 || timedOut) {
                iterator.remove();
                outcomes.add(new ShareOutcome<>(waiter, resultWithoutShare(waiter)));
            }
        }
        serve(outcomes, now);
    }

    /**
     * Ends all waits without a share.
     *
     * @param outcomes Receives the waits that ended.
     */
    void abandon(List<ShareOutcome<W>> outcomes) {
        waiters.forEach(waiter -> outcomes.add(new ShareOutcome<>(waiter, ShareOutcome.Result.NO_SHARE)));
        waiters.clear();
    }

    /**
     * Serves waiting requests in the order of their arrival, as far as the shares suffice. Nothing is spent on a
     * request whose deadline has passed.
     *
     * @param outcomes Receives the waits that ended.
     * @param now The current monotonic time in nanoseconds.
     */
    void serve(List<ShareOutcome<W>> outcomes, long now) {
        waiters.removeIf(waiter -> {
            boolean deadlinePassed = now - waiter.deadline() >= 0;
            if (deadlinePassed) {
                outcomes.add(new ShareOutcome<>(waiter, resultWithoutShare(waiter)));
            }
            return deadlinePassed;
        });
        while (!waiters.isEmpty() && spend(waiters.getFirst().amount(), now)) {
            outcomes.add(new ShareOutcome<>(waiters.removeFirst(), ShareOutcome.Result.TAKEN));
        }
    }

    /**
     * Adds what this account requests and reports to the messages for the stewards.
     *
     * @param sequence The number of the messages.
     * @param items Receives the items by steward.
     * @param now The current monotonic time in nanoseconds.
     */
    void request(long sequence, Map<InstanceId, List<LoanRequest.Item>> items, long now) {
        double available = primary.available(now) + reserve.available(now);
        double needed = Math.max(0, waitingAmount() - available);
        double expected = demand(now);
        boolean low = available - waitingAmount() < expected * LOW_SUPPLY_SECONDS;
        double maxPrefetch = Math.min(expected * HIGH_SUPPLY_SECONDS, limit.burst() * MAX_PREFETCH_FRACTION);
        double prefetch = low ? Math.max(0, maxPrefetch - Math.max(0, available - waitingAmount())) : 0;
        boolean wanted = needed > 0 || Math.floor(prefetch) > 0;
        boolean requestsPrimary = wanted && primary.ready(now);
        if (requestsPrimary || primary.reportsDue(now)) {
            add(primary, sequence, requestsPrimary ? needed : 0, requestsPrimary ? prefetch : 0, items, now);
        }
        boolean requestsReserve = needed > 0 && primary.insufficient(RESERVE_DELAY_NANOS, now) && reserve.ready(now);
        if (requestsReserve || reserve.reportsDue(now)) {
            add(reserve, sequence, requestsReserve ? needed : 0, requestsReserve ? prefetch : 0, items, now);
        }
    }

    /**
     * Applies the response of a steward.
     *
     * @param sequence The number of the message that is answered.
     * @param now The current monotonic time in nanoseconds.
     */
    void answer(InstanceId steward, long sequence, LoanResponse.Loan loan, long now) {
        ShareSource source = loan.key().part() == ShareKey.PRIMARY ? primary : reserve;
        if (source.steward().equals(Optional.of(steward))) {
            source.answer(sequence, loan, RateBorrower.SHARE_USABLE_NANOS, now);
        }
    }

    /**
     * Adds the unspent amounts from the parts of a steward.
     *
     * @param holdings Receives the unspent amounts.
     * @param now The current monotonic time in nanoseconds.
     */
    void holdings(InstanceId steward, List<Holding> holdings, long now) {
        for (ShareSource source : List.of(primary, reserve)) {
            double available = source.available(now);
            if (available > 0 && source.steward().equals(Optional.of(steward))) {
                holdings.add(new Holding(source.key(), available));
            }
        }
    }

    /**
     * Returns whether this account can be dropped: it has no shares and no waiting requests, and was not used for some
     * time.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    boolean idle(long now) {
        return waiters.isEmpty()
                && now - lastUsedAt > IDLE_TIMEOUT_NANOS
                && primary.available(now) + reserve.available(now) == 0;
    }

    /**
     * Adds an item to the message for the steward of a part.
     *
     * @param sequence The number of the message.
     * @param needed The amount that waiting requests need.
     * @param prefetch The amount that expected requests will need.
     * @param items Receives the item.
     * @param now The current monotonic time in nanoseconds.
     */
    private static void add(
            ShareSource source,
            long sequence,
            double needed,
            double prefetch,
            Map<InstanceId, List<LoanRequest.Item>> items,
            long now) {
        InstanceId steward = source.steward().orElseThrow();
        items.computeIfAbsent(steward, id -> new ArrayList<>())
                .add(source.request(sequence, needed, Math.floor(prefetch), now));
    }

    /**
     * Spends an amount from both parts if they have enough together.
     *
     * @param now The current monotonic time in nanoseconds.
     * @return Whether the amount was spent.
     */
    private boolean spend(double amount, long now) {
        if (primary.available(now) + reserve.available(now) + TOLERANCE < amount) {
            return false;
        }
        double spent = primary.spend(amount, now);
        reserve.spend(amount - spent, now);
        return true;
    }

    /** Returns the result for a request whose wait ends without a share. */
    private ShareOutcome.Result resultWithoutShare(ShareWaiter<W> waiter) {
        return usedUp(waiter.waitingSince()) ? ShareOutcome.Result.USED_UP : ShareOutcome.Result.NO_SHARE;
    }

    /**
     * Returns whether the stewards of both parts answered that the budget is used up, to requests sent at a time or
     * later.
     *
     * @param time The monotonic time in nanoseconds.
     */
    private boolean usedUp(long time) {
        boolean reserveUsedUp = reserve.steward().isEmpty() || reserve.emptySince(time);
        return primary.emptySince(time) && reserveUsedUp;
    }

    /** Returns whether the budget has two parts. */
    private boolean divided() {
        return reserve.key().limit(limit, true).burst() > 0;
    }

    /** Returns the total amount that waiting requests need. */
    private double waitingAmount() {
        double sum = 0;
        for (ShareWaiter<W> waiter : waiters) {
            sum += waiter.amount();
        }
        return sum;
    }

    /**
     * Returns the estimated demand per second.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    private double demand(long now) {
        return demand * Math.exp(-Math.max(0, now - lastUsedAt) / DEMAND_TIME_CONSTANT_NANOS);
    }
}
