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
 * What an instance holds of a budget, and who waits for it. Not safe for use by several threads.
 *
 * @param <W> The type of what waits.
 */
final class ShareAccount<W> {

    /** The most requests that wait. */
    private static final int WAITERS_MOST = 1_024;

    /** The time for which a request waits while the budget is used up, in nanoseconds. */
    private static final long PATIENCE_NANOS = 250_000_000;

    /** The time after which the reserve is asked when the primary does not answer, in nanoseconds. */
    private static final long RESERVE_NANOS = 30_000_000;

    /** The demand below which nothing more is asked for ahead, in seconds of demand. */
    private static final double LOW_SECONDS = 0.05;

    /** The demand up to which shares are asked for ahead, in seconds of demand. */
    private static final double HIGH_SECONDS = 0.5;

    /** The largest part of the burst that is asked for ahead. */
    private static final double AHEAD_PART = 1.0 / 16;

    /** The time in which the estimate of the demand follows, in nanoseconds. */
    private static final double DEMAND_NANOS = 500e6;

    /** The time without use after which an account is forgotten, in nanoseconds. */
    private static final long IDLE_NANOS = 10_000_000_000L;

    /** The nanoseconds of a second. */
    private static final double NANOS_PER_SECOND = 1e9;

    /** The tolerance for sums of fractions. */
    private static final double TOLERANCE = 1e-9;

    /** The larger part. */
    private final ShareSource primary;

    /** The smaller part. */
    private final ShareSource reserve;

    /** The requests that wait, in the order in which they came. */
    private final Deque<ShareWaiter<W>> waiters = new ArrayDeque<>();

    /** The adopted view. */
    private View view = View.EMPTY;

    /** The limit of the budget. */
    private RateLimit limit = RateLimit.NOTHING;

    /** The estimated demand per second at {@link #usedAt}. */
    private double demand;

    /** The monotonic time of the last request in nanoseconds. */
    private long usedAt;

    /**
     * Creates an account.
     *
     * @param budget The name of the budget.
     * @param now The current monotonic time in nanoseconds.
     */
    ShareAccount(String budget, long now) {
        primary = new ShareSource(ShareKey.primary(budget), now);
        reserve = new ShareSource(ShareKey.reserve(budget), now);
        usedAt = now;
    }

    /**
     * Changes the limit.
     *
     * @param now The current monotonic time in nanoseconds.
     */
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

    /**
     * Changes the view.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    void view(View value, long now) {
        view = value;
        primary.steward(primary.key().steward(view), now);
        reserve.steward(divided() ? reserve.key().steward(view) : Optional.empty(), now);
    }

    /**
     * Takes an amount, if it is at hand and nothing waits before.
     *
     * @param now The current monotonic time in nanoseconds.
     * @return Whether it was taken.
     */
    boolean take(double amount, long now) {
        demand = demand(now) + amount * NANOS_PER_SECOND / DEMAND_NANOS;
        usedAt = now;
        return waiters.isEmpty() && spend(amount, now);
    }

    /**
     * Lets a request wait.
     *
     * @param waiter The request.
     * @return {@code false} if it can never be served, or too many requests wait.
     */
    boolean await(ShareWaiter<W> waiter) {
        if (waiter.amount() > limit.burst() || waiters.size() >= WAITERS_MOST) {
            return false;
        }
        waiters.addLast(waiter);
        return true;
    }

    /**
     * Removes requests that no longer wait.
     *
     * @param waiter What waits.
     */
    void cancel(W waiter) {
        waiters.removeIf(other -> other.waiter().equals(waiter));
    }

    /**
     * Gives back what is old, forgets what expired, and ends waits that are of no more use.
     *
     * @param outcomes Receives the waits that ended.
     * @param now The current monotonic time in nanoseconds.
     */
    void tick(List<ShareOutcome<W>> outcomes, long now) {
        primary.age(now);
        reserve.age(now);
        for (Iterator<ShareWaiter<W>> iterator = waiters.iterator(); iterator.hasNext(); ) {
            ShareWaiter<W> waiter = iterator.next();
            boolean impatient = usedUp(waiter.waitingSince() + PATIENCE_NANOS);
            if (now - waiter.deadline() >= 0 || impatient) {
                iterator.remove();
                outcomes.add(new ShareOutcome<>(waiter, missed(waiter)));
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
     * Serves those that wait, in the order in which they came, as far as shares reach. Nothing is spent on a request
     * whose deadline has passed.
     *
     * @param outcomes Receives the waits that ended.
     * @param now The current monotonic time in nanoseconds.
     */
    void serve(List<ShareOutcome<W>> outcomes, long now) {
        waiters.removeIf(waiter -> {
            boolean late = now - waiter.deadline() >= 0;
            if (late) {
                outcomes.add(new ShareOutcome<>(waiter, missed(waiter)));
            }
            return late;
        });
        while (!waiters.isEmpty() && spend(waiters.getFirst().amount(), now)) {
            outcomes.add(new ShareOutcome<>(waiters.removeFirst(), ShareOutcome.Result.TAKEN));
        }
    }

    /**
     * Adds what is asked for and reported to the messages.
     *
     * @param sequence The number of the messages.
     * @param items Receives the items by steward.
     * @param now The current monotonic time in nanoseconds.
     */
    void ask(long sequence, Map<InstanceId, List<LoanRequest.Item>> items, long now) {
        double stock = primary.stock(now) + reserve.stock(now);
        double needed = Math.max(0, waiting() - stock);
        double expected = demand(now);
        boolean low = stock - waiting() < expected * LOW_SECONDS;
        double most = Math.min(expected * HIGH_SECONDS, limit.burst() * AHEAD_PART);
        double prefetch = low ? Math.max(0, most - Math.max(0, stock - waiting())) : 0;
        boolean wanted = needed > 0 || Math.floor(prefetch) > 0;
        boolean asks = wanted && primary.ready(now);
        if (asks || primary.reportsDue(now)) {
            add(primary, sequence, asks ? needed : 0, asks ? prefetch : 0, items, now);
        }
        boolean both = needed > 0 && primary.insufficient(RESERVE_NANOS, now) && reserve.ready(now);
        if (both || reserve.reportsDue(now)) {
            add(reserve, sequence, both ? needed : 0, both ? prefetch : 0, items, now);
        }
    }

    /**
     * Takes an answer.
     *
     * @param steward The steward that answers.
     * @param sequence The number of the message that is answered.
     * @param loan The share.
     * @param now The current monotonic time in nanoseconds.
     */
    void answer(InstanceId steward, long sequence, LoanResponse.Loan loan, long now) {
        ShareSource source = loan.key().part() == ShareKey.PRIMARY ? primary : reserve;
        if (source.steward().equals(Optional.of(steward))) {
            source.answer(sequence, loan, RateBorrower.SHARE_USABLE_NANOS, now);
        }
    }

    /**
     * Adds what is held of the parts of a steward.
     *
     * @param holdings Receives what is held.
     * @param now The current monotonic time in nanoseconds.
     */
    void holdings(InstanceId steward, List<Holding> holdings, long now) {
        for (ShareSource source : List.of(primary, reserve)) {
            double stock = source.stock(now);
            if (stock > 0 && source.steward().equals(Optional.of(steward))) {
                holdings.add(new Holding(source.key(), stock));
            }
        }
    }

    /**
     * Returns whether this account can be forgotten.
     *
     * @param now The current monotonic time in nanoseconds.
     * @return Whether nothing is held, nothing waits, and it was not used for long.
     */
    boolean idle(long now) {
        return waiters.isEmpty() && now - usedAt > IDLE_NANOS && primary.stock(now) + reserve.stock(now) == 0;
    }

    /**
     * Adds an item to the message for a steward.
     *
     * @param source The part of the budget.
     * @param sequence The number of the message.
     * @param needed The amount for which requests wait.
     * @param prefetch The amount for which requests are expected.
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
                .add(source.ask(sequence, needed, Math.floor(prefetch), now));
    }

    /**
     * Spends an amount from both parts, if they hold enough together.
     *
     * @param now The current monotonic time in nanoseconds.
     * @return Whether it was spent.
     */
    private boolean spend(double amount, long now) {
        if (primary.stock(now) + reserve.stock(now) + TOLERANCE < amount) {
            return false;
        }
        double spent = primary.spend(amount, now);
        reserve.spend(amount - spent, now);
        return true;
    }

    /**
     * Returns how the wait of a request ends that got no share.
     *
     * @param waiter The request.
     */
    private ShareOutcome.Result missed(ShareWaiter<W> waiter) {
        return usedUp(waiter.waitingSince()) ? ShareOutcome.Result.USED_UP : ShareOutcome.Result.NO_SHARE;
    }

    /**
     * Returns whether both stewards said that the budget is used up, when they were asked after a time.
     *
     * @param time The monotonic time in nanoseconds.
     */
    private boolean usedUp(long time) {
        boolean second = reserve.steward().isEmpty() || reserve.emptySince(time);
        return primary.emptySince(time) && second;
    }

    /** Returns whether the budget has two parts. */
    private boolean divided() {
        return reserve.key().limit(limit, true).burst() > 0;
    }

    /** Returns the amount for which requests wait. */
    private double waiting() {
        double sum = 0;
        for (ShareWaiter<W> waiter : waiters) {
            sum += waiter.amount();
        }
        return sum;
    }

    /**
     * Returns the estimated demand.
     *
     * @param now The current monotonic time in nanoseconds.
     * @return The demand per second.
     */
    private double demand(long now) {
        return demand * Math.exp(-Math.max(0, now - usedAt) / DEMAND_NANOS);
    }
}
