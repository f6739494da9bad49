package org.tanagermoor.policy.budget;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import org.tanagermoor.policy.fleet.InstanceId;

/** The unspent shares of one part of a budget, and the exchange with its steward. Not thread-safe. */
final class ShareSource {

    /** The age in nanoseconds at which a share is returned to the steward, even if it is not fully spent. */
    private static final long RETURN_AGE_NANOS = 400_000_000;

    /** The time in nanoseconds after which a message counts as lost. */
    private static final long ANSWER_TIMEOUT_NANOS = 150_000_000;

    /** The time in nanoseconds after which the steward is asked again if it did not answer. */
    private static final long RETRY_DELAY_NANOS = 20_000_000;

    /** The time in nanoseconds after which reports are sent even if no share is needed. */
    private static final long REPORT_DELAY_NANOS = 250_000_000;

    private static final long NANOS_PER_MILLI = 1_000_000;

    /** The part of the budget. */
    private final ShareKey key;

    /** The shares, oldest first. */
    private final Deque<BorrowedShare> shares = new ArrayDeque<>();

    /** The reports of returned shares that are to be sent. */
    private final List<LoanRequest.Report> closed = new ArrayList<>();

    /** The monotonic time in nanoseconds of the oldest of these reports. */
    private long closedAt;

    private Optional<InstanceId> steward = Optional.empty();

    /** The number of the message that has not been answered yet, or 0. */
    private long pendingSequence;

    /** The monotonic time in nanoseconds at which that message was sent. */
    private long sentAt;

    /** The earliest monotonic time in nanoseconds of the next message. */
    private long retryAt;

    /** Whether the last exchange gave nothing or not enough. */
    private boolean exhausted;

    /** Whether the steward answered last that the budget is used up, rather than not answering or not being ready. */
    private boolean empty;

    /** The monotonic time in nanoseconds at which the message that was answered last was sent. */
    private long answeredRequestSentAt;

    ShareSource(ShareKey key, long now) {
        this.key = key;
        retryAt = now;
        answeredRequestSentAt = now;
    }

    /**
     * Sets the steward after a change of the view. Answers that are still in flight are ignored.
     *
     * @param value The steward, or empty if there is none.
     * @param now The current monotonic time in nanoseconds.
     */
    void steward(Optional<InstanceId> value, long now) {
        steward = value;
        pendingSequence = 0;
        retryAt = now;
        exhausted = false;
        empty = false;
    }

    Optional<InstanceId> steward() {
        return steward;
    }

    ShareKey key() {
        return key;
    }

    /**
     * Returns the amount that can be spent.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    double available(long now) {
        double available = 0;
        for (BorrowedShare share : shares) {
            available += share.remaining(now);
        }
        return available;
    }

    /**
     * Spends up to an amount, from the oldest share first.
     *
     * @param maximum The maximum amount to spend.
     * @param now The current monotonic time in nanoseconds.
     * @return The amount that was spent.
     */
    double spend(double maximum, long now) {
        double spent = 0;
        for (BorrowedShare share : shares) {
            spent += share.spend(maximum - spent, now);
        }
        return spent;
    }

    /** Drops all shares without a report, so that they count as spent. */
    void clear() {
        shares.clear();
        closed.clear();
    }

    /**
     * Returns old shares, drops expired ones, and gives up waiting for an answer after {@link #ANSWER_TIMEOUT_NANOS}.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    void age(long now) {
        for (Iterator<BorrowedShare> iterator = shares.iterator(); iterator.hasNext(); ) {
            BorrowedShare share = iterator.next();
            if (share.expired(now)) {
                iterator.remove();
            } else if (share.fullySpent() || share.age(now) >= RETURN_AGE_NANOS) {
                closedAt = closed.isEmpty() ? now : closedAt;
                closed.add(share.report(true));
                iterator.remove();
            }
        }
        if (pendingSequence != 0 && now - sentAt >= ANSWER_TIMEOUT_NANOS) {
            pendingSequence = 0;
            exhausted = true;
            empty = false;
            retryAt = now + RETRY_DELAY_NANOS;
        }
    }

    /**
     * Returns whether a message may be sent.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    boolean ready(long now) {
        return pendingSequence == 0 && steward.isPresent() && now - retryAt >= 0;
    }

    /**
     * Returns whether reports of returned shares have waited long enough to be sent on their own.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    boolean reportsDue(long now) {
        return pendingSequence == 0 && steward.isPresent() && !closed.isEmpty() && now - closedAt >= REPORT_DELAY_NANOS;
    }

    /**
     * Returns whether the other part is to be asked as well, because the last exchange gave too little or takes too
     * long.
     *
     * @param timeout The time in nanoseconds after which an exchange takes too long.
     * @param now The current monotonic time in nanoseconds.
     */
    boolean insufficient(long timeout, long now) {
        boolean timedOut = pendingSequence != 0 && now - sentAt >= timeout;
        return steward.isEmpty() || exhausted || timedOut;
    }

    /**
     * Returns whether the steward answered that the budget is used up, to a message sent at a time or later.
     *
     * @param time The monotonic time in nanoseconds.
     */
    boolean emptySince(long time) {
        return empty && answeredRequestSentAt - time >= 0;
    }

    /**
     * Returns the item for this part in a message.
     *
     * @param sequence The number of the message.
     * @param needed The amount that waiting requests need.
     * @param prefetch The amount that expected requests will need.
     * @param now The current monotonic time in nanoseconds.
     */
    LoanRequest.Item request(long sequence, double needed, double prefetch, long now) {
        List<LoanRequest.Report> reports = new ArrayList<>(closed);
        closed.clear();
        for (BorrowedShare share : shares) {
            if (share.hasUnreported()) {
                reports.add(share.report(false));
            }
        }
        if (needed > 0 || prefetch > 0) {
            pendingSequence = sequence;
            sentAt = now;
        }
        return new LoanRequest.Item(key, needed, prefetch, reports);
    }

    /**
     * Applies an answer, unless it does not belong to the message that is waiting for one.
     *
     * @param sequence The number of the message that is answered.
     * @param usableNanos The time in nanoseconds for which the share can be spent, counted from the message.
     * @param now The current monotonic time in nanoseconds.
     */
    void answer(long sequence, LoanResponse.Loan loan, long usableNanos, long now) {
        if (pendingSequence == 0 || pendingSequence != sequence) {
            return;
        }
        pendingSequence = 0;
        answeredRequestSentAt = sentAt;
        exhausted = loan.status() != LoanResponse.Status.LENT;
        empty = loan.status() == LoanResponse.Status.EMPTY;
        retryAt = now + loan.retryMillis() * NANOS_PER_MILLI;
        if (loan.amount() > 0 && now - (sentAt + usableNanos) < 0) {
            shares.addLast(new BorrowedShare(sequence, loan.amount(), now, sentAt + usableNanos));
        }
    }
}
