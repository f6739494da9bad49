package org.tanagermoor.policy.share;

import java.time.Duration;
import org.jspecify.annotations.Nullable;

/**
 * Lends the share of one instance to the dispatcher that the instance asks, and to no second one at the same time. Each
 * answer of a dispatcher carries a stamp, its time at the answer. An instance that returns the stamp promises its share
 * for the time of a lease, counted from the receipt of the answer; the dispatcher counts it from the stamp, which is
 * earlier. So no delay of a message lets two dispatchers use the share. Not thread-safe.
 */
final class ShareLender {

    /**
     * The time after which a share may give a dispatcher an initial amount again, in nanoseconds: the window in which a
     * rate is measured, and the time for which an initial amount may be used.
     */
    private static final long FRESH_NANOS = Duration.ofSeconds(8).toNanos();

    /**
     * The time for which a share is still not used after its loan has ended, in nanoseconds: the dispatcher notes the
     * end a little later.
     */
    private static final long GUARD_NANOS = Duration.ofMillis(25).toNanos();

    /** The dispatcher to which the share is or was last lent; {@code null} before the first loan. */
    @Nullable
    private String borrower;

    /** The dispatcher that was last asked; {@code null} before the first call. */
    @Nullable
    private String asked;

    /** The last stamp of the dispatcher that was last asked; 0 if there is none. */
    private long stamp;

    /** The monotonic time of its receipt in nanoseconds. */
    private long stampedAt;

    /** The monotonic time in nanoseconds until which the share is promised. */
    private long lentUntil;

    /** The dispatcher that last admitted an initial amount for the share; {@code null} if none did. */
    @Nullable
    private String freshUser;

    /** The monotonic time in nanoseconds at which it did. */
    private long freshGivenAt;

    /** Whether the share was lent to a dispatcher with most shares. */
    private boolean entrusted;

    /** The monotonic time in nanoseconds at which it last was. */
    private long entrustedAt;

    /**
     * Creates the lender of an instance that starts. An earlier run of the instance may have lent the share, so it is
     * not used before that loan has ended.
     *
     * @param lease The time for which the share may be lent by an earlier run.
     * @param now The current monotonic time in nanoseconds.
     */
    ShareLender(Duration lease, long now) {
        lentUntil = now + lease.toNanos();
    }

    /**
     * Returns the loan to state in a call to a dispatcher.
     *
     * @param dispatcher The run of the dispatcher.
     * @param lease The time for which the share is lent.
     * @param known The number of instances of which this one has heard, including itself.
     * @param now The current monotonic time in nanoseconds.
     * @return The loan.
     */
    Loan lend(String dispatcher, Duration lease, int known, long now) {
        if (!dispatcher.equals(asked)) {
            asked = dispatcher;
            stamp = 0;
        }
        boolean promised = !free(now) && !dispatcher.equals(borrower);
        long returned = promised ? 0 : stamp;
        if (returned != 0) {
            borrower = dispatcher;
            lentUntil = Math.max(lentUntil, stampedAt + lease.toNanos() + GUARD_NANOS);
        }
        // An initial amount is not given to a dispatcher that has never answered: it would be lost.
        boolean fresh = stamp != 0 && giveFresh(dispatcher, now);
        return new Loan(returned, lease.toNanos(), fresh, entrustedAgo(now), known);
    }

    /** Returns whether the dispatcher that was last asked has answered, and the share is not lent to it yet. */
    boolean lendable(long now) {
        return stamp != 0 && asked != null && !asked.equals(borrower) && free(now);
    }

    /**
     * Returns whether a dispatcher may admit an initial amount for the share, and notes that it was given. The first
     * one after a start replaces what the share admitted nothing of before.
     */
    private boolean giveFresh(String dispatcher, long now) {
        if (freshUser == null) {
            freshUser = dispatcher;
            freshGivenAt = now - FRESH_NANOS;
            return true;
        }
        if (dispatcher.equals(freshUser) || now - freshGivenAt < FRESH_NANOS) {
            return false;
        }
        freshUser = dispatcher;
        freshGivenAt = now;
        return true;
    }

    /**
     * Uses the share for this instance, which is the dispatcher, if the share is free.
     *
     * @param run The identity of this run.
     * @param now The current monotonic time in nanoseconds.
     * @return Whether this instance may admit an initial amount for the share.
     */
    boolean useOwn(String run, long now) {
        if (free(now)) {
            borrower = run;
        }
        return giveFresh(run, now);
    }

    /**
     * Records the answer of a dispatcher.
     *
     * @param dispatcher The run of the dispatcher.
     * @param answer The stamp of the answer; 0 if the dispatcher takes no loans.
     * @param mostShares Whether the dispatcher has most shares.
     * @param lent Whether the call lent it this share.
     * @param sentAt The monotonic time in nanoseconds at which the call was sent.
     * @param now The current monotonic time in nanoseconds.
     */
    void answered(String dispatcher, long answer, boolean mostShares, boolean lent, long sentAt, long now) {
        if (dispatcher.equals(asked) && answer > stamp) {
            stamp = answer;
            stampedAt = now;
        }
        if (mostShares && lent) {
            entrusted(sentAt);
        }
    }

    /** Records a monotonic time in nanoseconds at which a dispatcher with most shares had this one. */
    void entrusted(long at) {
        if (!entrusted || at - entrustedAt > 0) {
            entrusted = true;
            entrustedAt = at;
        }
    }

    /**
     * Records that a dispatcher uses no share any more, since it leaves or has ended.
     *
     * @param dispatcher The run of the dispatcher.
     * @param now The current monotonic time in nanoseconds.
     */
    void released(String dispatcher, long now) {
        if (dispatcher.equals(borrower) && !free(now)) {
            lentUntil = now;
        }
    }

    /** Returns whether the share is promised to no other instance at a monotonic time in nanoseconds. */
    boolean free(long now) {
        return now - lentUntil >= 0;
    }

    /** Returns the time since a dispatcher with most shares had this one; {@link Loan#NEVER} if none had. */
    long entrustedAgo(long now) {
        return entrusted ? Math.max(0, now - entrustedAt) : Loan.NEVER;
    }
}
