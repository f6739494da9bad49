package org.tanagermoor.policy.share;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** The shares that other instances have lent to one dispatcher. Not thread-safe. */
final class ShareBorrower {

    /** The unit of stamps in nanoseconds. */
    private static final long STAMP_NANOS = Duration.ofMillis(1).toNanos();

    /** The monotonic time of the start in nanoseconds, from which stamps count. */
    private final long startedAt;

    /** The loans, by the name of the lender. */
    private final Map<String, Borrowed> loans = new HashMap<>();

    /** The number of fresh shares whose initial amount has not been admitted yet. */
    private int fresh;

    ShareBorrower(long now) {
        startedAt = now;
    }

    /** Returns the stamp of an answer that is sent at a monotonic time in nanoseconds; it is never 0. */
    long stamp(long now) {
        return (now - startedAt) / STAMP_NANOS + 1;
    }

    /** Records a loan; one without a stamp that this run has given only tells of a fresh share. */
    void borrow(String lender, Loan loan, long now) {
        fresh += loan.fresh() ? 1 : 0;
        if (loan.stamp() <= 0 || loan.stamp() > stamp(now)) {
            return;
        }
        long stampedAt = startedAt + (loan.stamp() - 1) * STAMP_NANOS;
        Borrowed before = loans.get(lender);
        if (before == null || before.until - (stampedAt + loan.leaseNanos()) < 0) {
            boolean entrusted = loan.entrustedAgoNanos() != Loan.NEVER;
            loans.put(
                    lender,
                    new Borrowed(
                            stampedAt + loan.leaseNanos(),
                            entrusted,
                            entrusted ? stampedAt - loan.entrustedAgoNanos() : 0,
                            loan.known()));
        }
    }

    /** Returns the names of the lenders whose loans have not ended. */
    Set<String> lenders(long now) {
        loans.values().removeIf(loan -> now - loan.until >= 0);
        return new HashSet<>(loans.keySet());
    }

    /**
     * Returns the time since a share was certainly lent to a dispatcher with most shares, in nanoseconds;
     * {@link Loan#NEVER} if it is not known to have been.
     */
    long entrustedAgo(String lender, long now) {
        Borrowed loan = loans.get(lender);
        return loan == null || !loan.entrusted ? Loan.NEVER : now - loan.entrustedAt;
    }

    /** Returns the largest number of instances of which a lender has heard; 0 if there is no lender. */
    int known() {
        return loans.values().stream().mapToInt(Borrowed::known).max().orElse(0);
    }

    /** Returns the number of fresh shares since the last call. */
    int takeFresh() {
        int result = fresh;
        fresh = 0;
        return result;
    }

    /** Ends all loans. */
    void release() {
        loans.clear();
        fresh = 0;
    }

    /**
     * A share that is lent to this dispatcher.
     *
     * @param until The monotonic time in nanoseconds at which the loan ends.
     * @param entrusted Whether the share was lent to a dispatcher with most shares before.
     * @param entrustedAt A monotonic time in nanoseconds not later than the last time it was.
     * @param known The number of instances of which the lender has heard.
     */
    private record Borrowed(long until, boolean entrusted, long entrustedAt, int known) {}
}
