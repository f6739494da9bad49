package org.tanagermoor.budget;

import com.codahale.metrics.MetricRegistry;
import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import org.tanagermoor.kernel.duty.Duty;
import org.tanagermoor.kernel.event.EventLog;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.kernel.plugin.Context;
import org.tanagermoor.kernel.time.TimeSource;
import org.tanagermoor.membership.Membership;
import org.tanagermoor.policy.budget.Holding;
import org.tanagermoor.policy.budget.LoanRequest;
import org.tanagermoor.policy.budget.RateBorrower;
import org.tanagermoor.policy.budget.RateSteward;
import org.tanagermoor.policy.budget.ShareOutcome;
import org.tanagermoor.policy.budget.ShareWaiter;
import org.tanagermoor.policy.configuration.Configuration;
import org.tanagermoor.policy.fleet.InstanceId;
import org.tanagermoor.policy.fleet.Member;

/**
 * The single-threaded duty that shares budgets with the other instances. Each part of a budget has one steward, the
 * instance that lends shares of it. The duty takes amounts from borrowed shares for the requests of this instance, and
 * lends shares where this instance is the steward.
 */
final class BudgetDuty implements Duty.Work<BudgetMessage> {

    private final Membership membership;

    private final BudgetPeers peers;

    private final EventLog events;

    private final MetricRegistry metrics;

    /** The source of the current time, read as late as possible before an action. */
    private final TimeSource time;

    private final InstanceId self;

    /** Lends shares to all instances, including this one. */
    private final RateSteward steward;

    /** Borrows shares for the requests of this instance. */
    private final RateBorrower<PendingTake> borrower = RateBorrower.create();

    /** The configuration that was adopted last. */
    private Configuration configuration = Configuration.EMPTY;

    /** The version of the view for which the start of lending was last logged, or -1 before the first one. */
    private long lendingViewVersion = -1;

    BudgetDuty(Context context, Membership membership, BudgetPeers peers) {
        this.membership = membership;
        this.peers = peers;
        events = context.events();
        metrics = context.metrics();
        time = context.time();
        self = membership.self().id();
        steward = RateSteward.of(self);
    }

    /** {@inheritDoc} */
    @Override
    public void handle(BudgetMessage message, long now) {
        switch (message) {
            case BudgetMessage.Take take -> take(take.pending());
            case BudgetMessage.Cancel cancel -> borrower.cancel(cancel.pending().budget(), cancel.pending(), now);
            case BudgetMessage.Adopt adopt -> adopt(adopt.configuration(), now);
            case BudgetMessage.Ask ask -> answer(ask);
            case BudgetMessage.Answer answer -> processAnswer(answer);
            case BudgetMessage.AskHoldings ask ->
                ask.sink().success(Either.right(BudgetCodec.write(holdings(ask.from(), ask.viewVersion()))));
            case BudgetMessage.Holdings holdings ->
                steward.reportHoldings(holdings.from(), holdings.viewVersion(), holdings.holdings());
        }
    }

    /** {@inheritDoc} */
    @Override
    public void tick(long now) {
        if (!serves()) {
            completeWaits(borrower.abandon());
            return;
        }
        if (membership.viewAccepted(configuration.view(), now)) {
            accept(now);
        }
        completeWaits(borrower.tick(time.nanos()));
        ask();
        steward.wantsHoldings().ifPresent(this::askHoldings);
    }

    /** Takes an amount for a request at once, or lets the request wait for a share. */
    private void take(PendingTake pending) {
        long now = time.nanos();
        if (!membership.standing(now).serves()) {
            pending.fail(Refusals.noStanding());
            return;
        }
        if (borrower.take(pending.budget(), pending.amount(), now)) {
            metrics.counter("budget.taken").inc();
            pending.succeed();
            return;
        }
        ShareWaiter<PendingTake> waiter = new ShareWaiter<>(pending, pending.amount(), now, pending.deadline());
        if (!borrower.await(pending.budget(), waiter, now)) {
            completeWaits(List.of(new ShareOutcome<>(waiter, ShareOutcome.Result.USED_UP)));
            return;
        }
        ask();
    }

    private void adopt(Configuration value, long now) {
        configuration = value;
        steward.adopt(value);
        borrower.adopt(value, now);
    }

    /** Tells the steward that the adopted view is accepted, and logs the start of lending once per view. */
    private void accept(long now) {
        long version = configuration.view().version();
        steward.accept(now);
        if (lendingViewVersion != version) {
            lendingViewVersion = version;
            events.record(BudgetEvent.STEWARD_BEGAN, "view", version);
        }
    }

    /** Answers another instance that requests shares. */
    private void answer(BudgetMessage.Ask message) {
        long now = time.nanos();
        if (!membership.standing(now).serves()) {
            message.sink().success(Either.left(Refusals.noStanding()));
            return;
        }
        byte[] answer = BudgetCodec.write(message.ask(), steward.answer(message.from(), message.ask(), now));
        message.sink().success(Either.right(answer));
    }

    /**
     * Processes the response of a steward. Without standing, this instance drops the response, and the steward counts
     * the lent shares as spent.
     */
    private void processAnswer(BudgetMessage.Answer message) {
        if (serves()) {
            completeWaits(borrower.answer(message.steward(), message.answer(), time.nanos()));
            ask();
        }
    }

    /** Requests the shares that are needed now from their stewards. */
    private void ask() {
        borrower.requests(time.nanos()).forEach(this::ask);
    }

    /**
     * Requests shares from one steward. If this instance is the steward, the request is answered without a message.
     *
     * @param id The steward.
     */
    private void ask(InstanceId id, LoanRequest ask) {
        if (id.equals(self)) {
            long now = time.nanos();
            completeWaits(borrower.answer(self, steward.answer(self, ask, now), now));
            return;
        }
        Optional<Member> member = configuration.view().member(id);
        metrics.counter("budget.messages").inc();
        member.ifPresent(recipient -> peers.ask(recipient, ask));
    }

    /**
     * Asks the members that have not reported yet which shares they hold.
     *
     * @param viewVersion The version of the view in which this instance is the steward.
     */
    private void askHoldings(long viewVersion) {
        for (InstanceId id : steward.missingHoldings()) {
            if (id.equals(self)) {
                holdings(self, viewVersion)
                        .ifPresent(ownHoldings -> steward.reportHoldings(self, viewVersion, ownHoldings));
            } else {
                configuration.view().member(id).ifPresent(recipient -> peers.askHoldings(recipient, viewVersion));
            }
        }
    }

    /**
     * Returns the shares that this instance holds.
     *
     * @param from The steward that asks.
     * @param viewVersion The version of the view of the steward.
     * @return The shares, or empty if this instance has adopted another view.
     */
    private Optional<List<Holding>> holdings(InstanceId from, long viewVersion) {
        return borrower.holdings(from, viewVersion, time.nanos());
    }

    /** Completes requests whose wait for a share has ended. */
    private void completeWaits(List<ShareOutcome<PendingTake>> outcomes) {
        for (ShareOutcome<PendingTake> outcome : outcomes) {
            PendingTake pending = outcome.waiter().waiter();
            if (outcome.result() == ShareOutcome.Result.TAKEN) {
                metrics.counter("budget.taken").inc();
                pending.succeed();
            } else if (outcome.result() == ShareOutcome.Result.USED_UP) {
                refuse(pending, BudgetEvent.REFUSED, Refusals.usedUp(pending.budget()));
            } else {
                refuse(pending, BudgetEvent.NO_SHARE, Refusals.noShare(pending.budget()));
            }
        }
    }

    /**
     * Refuses a request. If this instance has lost its standing meanwhile, the request fails with that reason instead.
     *
     * @param event The event to log and count.
     * @param failure The failure of the request while this instance has standing.
     */
    private void refuse(PendingTake pending, BudgetEvent event, Failure failure) {
        metrics.counter("budget." + event.name()).inc();
        events.record(event, "budget", pending.budget());
        pending.fail(serves() ? failure : Refusals.noStanding());
    }

    /** Returns whether this instance has standing now, that is, whether its configuration is known to be in force. */
    private boolean serves() {
        return membership.standing(time.nanos()).serves();
    }
}
