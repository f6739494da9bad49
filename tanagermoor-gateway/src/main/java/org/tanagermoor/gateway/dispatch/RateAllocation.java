package org.tanagermoor.gateway.dispatch;

import java.util.concurrent.TimeUnit;
import org.tanagermoor.gateway.member.Liveness;
import org.tanagermoor.gateway.proto.PermitAnswer;
import org.tanagermoor.gateway.proto.PermitCall;
import org.tanagermoor.policy.fleet.InstanceId;
import org.tanagermoor.policy.share.Loan;
import org.tanagermoor.policy.share.RateShares;

/**
 * The part of the rates that this instance may admit: applies the shares that it has to the rates of the teams, and
 * states loans of shares in the messages between instances and the dispatcher. Not thread-safe.
 */
final class RateAllocation {

    /** The time for which the shares that were applied may be relied upon, in nanoseconds. */
    private static final long UPDATE_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    private final Liveness liveness;

    private final TeamRates rates;

    private final RateShares shares;

    /** The monotonic time in nanoseconds at which the shares were last applied. */
    private long updatedAt;

    /** Whether this instance was stopping then. */
    private boolean stopping;

    /** Whether it had most shares then. */
    private boolean mostShares;

    private RateAllocation(Liveness liveness, TeamRates rates, long now) {
        this.liveness = liveness;
        this.rates = rates;
        InstanceId self = liveness.self().id();
        shares = RateShares.of(self.name(), self.toString(), now);
        apply(now);
    }

    /**
     * Returns the allocation of an instance that starts.
     *
     * @param liveness Tells which instances are known.
     * @param rates The rates to which the shares are applied.
     * @param now The current monotonic time in nanoseconds.
     */
    static RateAllocation of(Liveness liveness, TeamRates rates, long now) {
        return new RateAllocation(liveness, rates, now);
    }

    /** Returns whose shares this instance has, and to whom its own is lent. */
    RateShares shares() {
        return shares;
    }

    /**
     * Applies the shares that this instance has to the rates, unless that was done just before. Call it before each
     * decision, since loans end.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    void update(long now) {
        if (now - updatedAt >= UPDATE_NANOS || stopping != liveness.stopping()) {
            apply(now);
        }
    }

    /**
     * Applies the shares that this instance has to the rates.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    void apply(long now) {
        updatedAt = now;
        stopping = liveness.stopping();
        boolean leaving = stopping && !liveness.serving(now).isEmpty();
        shares.members(liveness.known(now), liveness.heard(now), leaving);
        boolean dispatching =
                liveness.dispatcher(now).id().equals(liveness.self().id());
        double fraction = shares.fraction(dispatching, now);
        rates.fraction(fraction, shares.takeFresh(), now);
        mostShares = shares.mostShares(now);
    }

    /** Returns the rates to which the shares are applied. */
    TeamRates rates() {
        return rates;
    }

    /**
     * Returns whether a call that renews the loan is due.
     *
     * @param calledAt The monotonic time in nanoseconds of the last call to the dispatcher.
     * @param targetsLimited Whether any target is known to name a request limit, of which shares are also lent.
     * @param now The current monotonic time in nanoseconds.
     */
    boolean renewalDue(long calledAt, boolean targetsLimited, long now) {
        return (rates.limited() || targetsLimited)
                && (now - calledAt >= shares.renewal().toNanos() || shares.lendable(now));
    }

    /**
     * States the loan of this instance's share in a call.
     *
     * @param dispatcher The run of the dispatcher that is called.
     * @param call The call.
     * @param now The current monotonic time in nanoseconds.
     * @return The loan.
     */
    Loan lend(InstanceId dispatcher, PermitCall.Builder call, long now) {
        Loan loan = shares.lend(dispatcher.toString(), now);
        call.setLoan(DispatchCodec.toMessage(loan));
        return loan;
    }

    /**
     * Records the loan that a call of another instance states.
     *
     * @param lender The instance.
     * @param call The call.
     * @param now The current monotonic time in nanoseconds.
     */
    void borrow(InstanceId lender, PermitCall call, long now) {
        if (call.hasLoan()) {
            shares.borrow(lender.name(), DispatchCodec.fromMessage(call.getLoan()), now);
        }
    }

    /**
     * Returns an answer to another instance with what it needs to lend its share.
     *
     * @param answer The answer.
     * @param now The monotonic time in nanoseconds at which it is sent.
     */
    PermitAnswer withStamp(PermitAnswer answer, long now) {
        return answer.toBuilder()
                .setStamp(shares.stamp(now))
                .setMostShares(mostShares)
                .build();
    }

    /**
     * Records the answer of a dispatcher.
     *
     * @param dispatcher The run of the dispatcher.
     * @param answer The answer.
     * @param loan The loan that the call stated.
     * @param sentAt The monotonic time in nanoseconds at which the call was sent.
     * @param now The current monotonic time in nanoseconds.
     */
    void answered(InstanceId dispatcher, PermitAnswer answer, Loan loan, long sentAt, long now) {
        shares.answered(dispatcher.toString(), answer.getStamp(), answer.getMostShares(), loan, sentAt, now);
    }
}
