package org.tanagermoor.policy.share;

import java.time.Duration;
import java.util.Collection;
import java.util.HashSet;
import java.util.Set;

/**
 * The shares of the rates of all teams, as one instance knows them. Each instance has an equal share and lends it to
 * the dispatcher that it asks. A dispatcher admits the part of each rate that its shares make up, so that dispatchers
 * which do not know of each other admit no more than the whole together. Shares of instances that have ended are
 * distributed among the others when the control store shows that nobody uses them. Not thread-safe.
 */
public final class RateShares {

    /** The minimum time between two calls that renew a loan, in milliseconds. */
    private static final long MIN_RENEWAL_MILLIS = 200;

    /** The maximum time between two such calls, in milliseconds. */
    private static final long MAX_RENEWAL_MILLIS = 1_000;

    /** The time by which each instance lengthens that time, in milliseconds: one dispatcher answers them all. */
    private static final long RENEWAL_MILLIS_PER_INSTANCE = 12;

    /** The number of calls that fit into the time of a loan. */
    private static final long RENEWALS_PER_LEASE = 3;

    /** The time for which a share is not used after the start: an earlier run may have lent it. */
    private static final Duration FIRST_LEASE = Duration.ofMillis(MIN_RENEWAL_MILLIS * RENEWALS_PER_LEASE);

    /**
     * A dispatcher has most shares if it lacks at most one in this number, and many if it has more than that. While one
     * has many, no other one has most.
     */
    private static final int MOST_DIVISOR = 3;

    /** The time after its start for which an instance that knows no other may not be the only one, in nanoseconds. */
    private static final long ALONE_NANOS = Duration.ofSeconds(3).toNanos();

    /** The fraction that such an instance uses during that time. */
    private static final double ALONE_SHARE = 0.125;

    /** The name of this instance. */
    private final String self;

    /** The identity of this run. */
    private final String run;

    /** The monotonic time of the start in nanoseconds. */
    private final long startedAt;

    private final ShareLender lender;

    private final ShareBorrower borrower;

    private final ShareClaims claims = new ShareClaims();

    /** The names of the other instances. */
    private Set<String> others = Set.of();

    /** The number of instances of which this one has heard, including itself. */
    private int heard = 1;

    /** Whether this instance admits nothing, since it leaves and others serve. */
    private boolean leaving;

    /** The part of the fresh shares whose initial amount has not been admitted yet. */
    private double freshFraction;

    private RateShares(String self, String run, long now) {
        this.self = self;
        this.run = run;
        startedAt = now;
        lender = new ShareLender(FIRST_LEASE, now);
        borrower = new ShareBorrower(now);
    }

    /**
     * Returns the shares of an instance that starts and knows no other.
     *
     * @param self The name of the instance.
     * @param run The identity of its run.
     * @param now The current monotonic time in nanoseconds.
     */
    public static RateShares of(String self, String run, long now) {
        return new RateShares(self, run, now);
    }

    /**
     * Replaces the other instances that have a share.
     *
     * @param names Their names: those that are known, silent or not, and are not known to leave.
     * @param heardOf The number of those of which this instance has heard, rather than only read.
     * @param selfLeaving Whether this instance leaves and others serve.
     */
    public void members(Set<String> names, int heardOf, boolean selfLeaving) {
        others = names;
        heard = heardOf + 1;
        if (selfLeaving && !leaving) {
            borrower.release();
            claims.clear();
        }
        leaving = selfLeaving;
    }

    /** Returns the time after which the loan must be renewed by another call to the dispatcher. */
    public Duration renewal() {
        long millis = RENEWAL_MILLIS_PER_INSTANCE * (others.size() + 1);
        return Duration.ofMillis(Math.max(MIN_RENEWAL_MILLIS, Math.min(MAX_RENEWAL_MILLIS, millis)));
    }

    /**
     * Returns the loan to state in a call to a dispatcher. An instance that leaves lends nothing, since the others
     * share the rates without it.
     *
     * @param dispatcher The run of the dispatcher.
     * @param now The current monotonic time in nanoseconds.
     */
    public Loan lend(String dispatcher, long now) {
        return leaving ? Loan.NONE : lender.lend(dispatcher, renewal().multipliedBy(RENEWALS_PER_LEASE), heard, now);
    }

    /**
     * Returns whether a call to the dispatcher that was last asked would lend it the share of this instance, which it
     * does not have yet.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    public boolean lendable(long now) {
        return !leaving && lender.lendable(now);
    }

    /**
     * Records the answer of a dispatcher.
     *
     * @param dispatcher The run of the dispatcher.
     * @param stamp The stamp of the answer; 0 if the dispatcher takes no loans.
     * @param mostShares Whether the dispatcher has most shares.
     * @param loan The loan that the call stated.
     * @param sentAt The monotonic time in nanoseconds at which the call was sent.
     * @param now The current monotonic time in nanoseconds.
     */
    public void answered(String dispatcher, long stamp, boolean mostShares, Loan loan, long sentAt, long now) {
        lender.answered(dispatcher, stamp, mostShares, loan.stamp() != 0, sentAt, now);
    }

    /**
     * Records that a dispatcher uses no share any more, since it leaves or has ended.
     *
     * @param dispatcher The run of the dispatcher.
     * @param now The current monotonic time in nanoseconds.
     */
    public void released(String dispatcher, long now) {
        lender.released(dispatcher, now);
    }

    /**
     * Records the loan of another instance. A dispatcher that leaves takes none.
     *
     * @param name The name of the lender.
     * @param loan The loan.
     * @param now The current monotonic time in nanoseconds.
     */
    public void borrow(String name, Loan loan, long now) {
        if (!leaving) {
            borrower.borrow(name, loan, now);
        }
    }

    /**
     * Returns the stamp of an answer; 0 if this instance takes no loans.
     *
     * @param now The monotonic time in nanoseconds at which the answer is sent.
     */
    public long stamp(long now) {
        return leaving ? 0 : borrower.stamp(now);
    }

    /**
     * Returns whether this instance has most shares.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    public boolean mostShares(long now) {
        return !leaving && most(had(now).size(), total(now));
    }

    /**
     * Returns the part of each rate that this instance may admit.
     *
     * @param dispatching Whether this instance considers itself the dispatcher.
     * @param now The current monotonic time in nanoseconds.
     * @return The fraction, from 0 to 1.
     */
    public double fraction(boolean dispatching, long now) {
        if (leaving) {
            return 0;
        }
        Set<String> had = had(now);
        int total = total(now);
        if (total == 1 && now - startedAt < ALONE_NANOS) {
            return had.isEmpty() ? 0 : ALONE_SHARE;
        }
        boolean ownFresh = dispatching && lender.useOwn(run, now);
        int fresh = borrower.takeFresh() + (ownFresh ? 1 : 0);
        boolean most = most(had.size(), total);
        freshFraction += (double) fresh / total;
        claims.many(MOST_DIVISOR * had.size() > total);
        if (most && had.contains(self)) {
            lender.entrusted(now);
        }
        Set<String> lost = claims.lost(now);
        lost.removeAll(had);
        boolean alone = lost.containsAll(missing(had));
        long usable = most
                ? had.size()
                : had.stream().filter(name -> usable(name, alone, now)).count();
        return Math.min(1, (double) usable / Math.max(had.size(), total - lost.size()));
    }

    /**
     * Returns whether nobody else uses a share that this instance has. A run that has not lent its share to a
     * dispatcher with most shares may follow one that announced its stop. The others have then divided the share, and
     * do not read the claims as long as they miss nobody. So claims count for such a share only once all others count
     * as lost.
     *
     * @param alone Whether all instances whose shares this one lacks count as lost.
     */
    private boolean usable(String name, boolean alone, long now) {
        long ago = name.equals(self) ? lender.entrustedAgo(now) : borrower.entrustedAgo(name, now);
        return ago < ShareClaims.LAPSE_NANOS || ((alone || ago != Loan.NEVER) && claims.relied(name, now));
    }

    /** Returns the fraction of an initial amount that may be admitted in addition since the last call. */
    public double takeFresh() {
        double result = Math.min(1, freshFraction);
        freshFraction = 0;
        return result;
    }

    /**
     * Returns the names of the instances whose shares this instance has.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    public Set<String> had(long now) {
        Set<String> had = borrower.lenders(now);
        if (lender.free(now)) {
            had.add(self);
        }
        return had;
    }

    /**
     * Returns whether this instance must claim its shares in the store, since it has some but lacks others.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    public boolean claimDue(long now) {
        Set<String> had = had(now);
        if (leaving || had.isEmpty() || missing(had).isEmpty()) {
            claims.clear();
            return false;
        }
        return true;
    }

    /** Returns the interval between two claims. */
    public static Duration claimInterval() {
        return Duration.ofNanos(ShareClaims.INTERVAL_NANOS);
    }

    /**
     * Records a claim that the store has taken.
     *
     * @param names The names of the instances whose shares were claimed.
     * @param sentAt The monotonic time in nanoseconds at which it was sent.
     * @param now The current monotonic time in nanoseconds.
     */
    public void claimed(Set<String> names, long sentAt, long now) {
        claims.claimed(names, sentAt, now);
    }

    /**
     * Records a read of all claims.
     *
     * @param found The claims, including that of this instance.
     * @param sentAt The monotonic time in nanoseconds at which the read was sent.
     * @param now The current monotonic time in nanoseconds.
     */
    public void claimsRead(Collection<ShareClaim> found, long sentAt, long now) {
        Collection<ShareClaim> ofOthers =
                found.stream().filter(claim -> !claim.claimant().equals(self)).toList();
        claims.read(ofOthers, missing(had(now)), sentAt, now);
    }

    /**
     * Returns the names of the other instances whose shares count as lost.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    public Set<String> lost(long now) {
        return claims.lost(now);
    }

    /** Returns the other instances whose shares this one lacks. */
    private Set<String> missing(Set<String> had) {
        Set<String> missing = new HashSet<>(others);
        missing.removeAll(had);
        return missing;
    }

    /** Returns whether a number of shares are most of the whole. */
    private static boolean most(int had, int total) {
        return MOST_DIVISOR * (total - had) <= total;
    }

    /** Returns the number of shares that make up the whole. */
    private int total(long now) {
        Set<String> names = borrower.lenders(now);
        names.addAll(others);
        names.add(self);
        return Math.max(names.size(), borrower.known());
    }
}
