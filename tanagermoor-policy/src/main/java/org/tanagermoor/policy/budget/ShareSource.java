package org.tanagermoor.policy.budget;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import org.tanagermoor.policy.fleet.InstanceId;

/** What an instance holds of one part of a budget, and its exchange with the steward. Not safe for several threads. */
final class ShareSource {

    /** The time after which a share is given back even where some is left, in nanoseconds. */
    private static final long RETURN_NANOS = 400_000_000;

    /** The time after which a message counts as lost, in nanoseconds. */
    private static final long ANSWER_TIMEOUT_NANOS = 150_000_000;

    /** The time after which the steward is asked again when it did not answer, in nanoseconds. */
    private static final long RETRY_NANOS = 20_000_000;

    /** The time after which reports are sent without an occasion, in nanoseconds. */
    private static final long REPORT_NANOS = 250_000_000;

    /** The nanoseconds of a millisecond. */
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** The part of the budget. */
    private final ShareKey key;

    /** The shares, oldest first. */
    private final Deque<ShareLot> lots = new ArrayDeque<>();

    /** The reports of closed shares that are to be sent. */
    private final List<LoanRequest.Report> closed = new ArrayList<>();

    /** The monotonic time of the oldest of these reports in nanoseconds. */
    private long closedAt;

    private Optional<InstanceId> steward = Optional.empty();

    /** The number of the message that waits for its answer, or 0. */
    private long pending;

    /** The monotonic time at which that message was sent, in nanoseconds. */
    private long sentAt;

    /** The earliest monotonic time of the next message, in nanoseconds. */
    private long retryAt;

    /** Whether the last exchange gave nothing or not enough. */
    private boolean exhausted;

    /** Whether the steward said last that the budget is used up, rather than being silent or not ready. */
    private boolean empty;

    /** The monotonic time in nanoseconds of the question that was answered last. */
    private long askedAt;

    /**
     * Creates a source without shares.
     *
     * @param key The part of the budget.
     * @param now The current monotonic time in nanoseconds.
     */
    ShareSource(ShareKey key, long now) {
        this.key = key;
        retryAt = now;
        askedAt = now;
    }

    /**
     * Sets the steward after a change of the view. Answers that are on their way are void.
     *
     * @param value The steward.
     * @param now The current monotonic time in nanoseconds.
     */
    void steward(Optional<InstanceId> value, long now) {
        steward = value;
        pending = 0;
        retryAt = now;
        exhausted = false;
        empty = false;
    }

    /**
     * Returns the steward.
     *
     * @return The steward, if there is one.
     */
    Optional<InstanceId> steward() {
        return steward;
    }

    /** Returns the part of the budget. */
    ShareKey key() {
        return key;
    }

    /**
     * Returns what can be spent.
     *
     * @param now The current monotonic time in nanoseconds.
     * @return The amount.
     */
    double stock(long now) {
        double stock = 0;
        for (ShareLot shareId : lots) {
            stock += shareId.left(now);
        }
        return stock;
    }

    /**
     * Spends up to an amount, from the oldest share first.
     *
     * @param most The amount.
     * @param now The current monotonic time in nanoseconds.
     * @return The amount that was spent.
     */
    double spend(double most, long now) {
        double spent = 0;
        for (ShareLot shareId : lots) {
            spent += shareId.spend(most - spent, now);
        }
        return spent;
    }

    /** Forgets all shares, so that they count as spent. */
    void clear() {
        lots.clear();
        closed.clear();
    }

    /**
     * Gives back shares that are old, and forgets those that expired.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    void age(long now) {
        for (Iterator<ShareLot> iterator = lots.iterator(); iterator.hasNext(); ) {
            ShareLot shareId = iterator.next();
            if (shareId.expired(now)) {
                iterator.remove();
            } else if (shareId.used() || shareId.age(now) >= RETURN_NANOS) {
                closedAt = closed.isEmpty() ? now : closedAt;
                closed.add(shareId.report(true));
                iterator.remove();
            }
        }
        if (pending != 0 && now - sentAt >= ANSWER_TIMEOUT_NANOS) {
            pending = 0;
            exhausted = true;
            empty = false;
            retryAt = now + RETRY_NANOS;
        }
    }

    /**
     * Returns whether a message may be sent.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    boolean ready(long now) {
        return pending == 0 && steward.isPresent() && now - retryAt >= 0;
    }

    /**
     * Returns whether reports of closed shares have waited long enough for an occasion.
     *
     * @param now The current monotonic time in nanoseconds.
     * @return Whether there are reports to send.
     */
    boolean reportsDue(long now) {
        return pending == 0 && steward.isPresent() && !closed.isEmpty() && now - closedAt >= REPORT_NANOS;
    }

    /**
     * Returns whether the other part is to be asked as well: the last exchange gave too little, or takes too long.
     *
     * @param patience The time after which an exchange takes too long, in nanoseconds.
     * @param now The current monotonic time in nanoseconds.
     */
    boolean insufficient(long patience, long now) {
        boolean slow = pending != 0 && now - sentAt >= patience;
        return steward.isEmpty() || exhausted || slow;
    }

    /**
     * Returns whether the steward said that the budget is used up when it was asked after a time.
     *
     * @param time The monotonic time in nanoseconds.
     * @return Whether it said so.
     */
    boolean emptySince(long time) {
        return empty && askedAt - time >= 0;
    }

    /**
     * Returns an item of a message.
     *
     * @param sequence The number of the message.
     * @param needed The amount for which requests wait.
     * @param prefetch The amount for which requests are expected.
     * @param now The current monotonic time in nanoseconds.
     */
    LoanRequest.Item ask(long sequence, double needed, double prefetch, long now) {
        List<LoanRequest.Report> reports = new ArrayList<>(closed);
        closed.clear();
        for (ShareLot shareId : lots) {
            if (shareId.unreported()) {
                reports.add(shareId.report(false));
            }
        }
        if (needed > 0 || prefetch > 0) {
            pending = sequence;
            sentAt = now;
        }
        return new LoanRequest.Item(key, needed, prefetch, reports);
    }

    /**
     * Takes an answer. Nothing happens unless it answers the message that waits.
     *
     * @param sequence The number of the message that is answered.
     * @param loan The share.
     * @param usable The time from the message for which the share can be spent, in nanoseconds.
     * @param now The current monotonic time in nanoseconds.
     */
    void answer(long sequence, LoanResponse.Loan loan, long usable, long now) {
        if (pending == 0 || pending != sequence) {
            return;
        }
        pending = 0;
        askedAt = sentAt;
        exhausted = loan.status() != LoanResponse.Status.LENT;
        empty = loan.status() == LoanResponse.Status.EMPTY;
        retryAt = now + loan.retryMillis() * NANOS_PER_MILLI;
        if (loan.amount() > 0 && now - (sentAt + usable) < 0) {
            lots.addLast(new ShareLot(sequence, loan.amount(), now, sentAt + usable));
        }
    }
}
