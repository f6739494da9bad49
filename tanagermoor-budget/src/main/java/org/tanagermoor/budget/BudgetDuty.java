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

/** The duty that shares budgets: it takes from shares for requests of this instance, and lends as a steward. */
final class BudgetDuty implements Duty.Work<BudgetMessage> {

    /** The membership. */
    private final Membership membership;

    /** The messages to other instances. */
    private final BudgetPeers peers;

    /** The log of events. */
    private final EventLog events;

    /** The metrics. */
    private final MetricRegistry metrics;

    /** The source of the present time, read as late before an action as can be. */
    private final TimeSource time;

    /** The identity of this instance. */
    private final InstanceId self;

    /** The steward's side. */
    private final RateSteward steward;

    /** The side that takes from shares. */
    private final RateBorrower<PendingTake> borrower = RateBorrower.create();

    /** The adopted configuration. */
    private Configuration configuration = Configuration.EMPTY;

    /** The version of the view for which this instance lends, or -1. */
    private long lending = -1;

    /**
     * Creates a duty.
     *
     * @param context The context.
     * @param membership The membership.
     * @param peers The messages to other instances.
     */
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
            case BudgetMessage.Answer answer -> answered(answer);
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
            settle(borrower.abandon());
            return;
        }
        if (membership.viewAccepted(configuration.view(), now)) {
            accept(now);
        }
        settle(borrower.tick(time.nanos()));
        ask();
        steward.wantsHoldings().ifPresent(this::askHoldings);
    }

    /**
     * Takes an amount for a request, or lets it wait.
     *
     * @param pending The request.
     */
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
            settle(List.of(new ShareOutcome<>(waiter, ShareOutcome.Result.USED_UP)));
            return;
        }
        ask();
    }

    /**
     * Adopts a configuration.
     *
     * @param value The configuration.
     * @param now The present monotonic time in nanoseconds.
     */
    private void adopt(Configuration value, long now) {
        configuration = value;
        steward.adopt(value);
        borrower.adopt(value, now);
    }

    /**
     * Notes that the view that this duty has adopted is accepted.
     *
     * @param now The present monotonic time in nanoseconds.
     */
    private void accept(long now) {
        long version = configuration.view().version();
        steward.accept(now);
        if (lending != version) {
            lending = version;
            events.record(BudgetEvent.STEWARD_BEGAN, "view", version);
        }
    }

    /**
     * Answers an instance that asks for shares.
     *
     * @param message The message.
     */
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
     * Takes the answer of a steward. Without standing it is dropped, and counts as spent.
     *
     * @param message The answer.
     */
    private void answered(BudgetMessage.Answer message) {
        if (serves()) {
            settle(borrower.answer(message.steward(), message.answer(), time.nanos()));
            ask();
        }
    }

    /** Asks the stewards for shares. */
    private void ask() {
        borrower.requests(time.nanos()).forEach(this::ask);
    }

    /**
     * Asks a steward for shares.
     *
     * @param id The steward.
     * @param ask What is asked for.
     */
    private void ask(InstanceId id, LoanRequest ask) {
        if (id.equals(self)) {
            long now = time.nanos();
            settle(borrower.answer(self, steward.answer(self, ask, now), now));
            return;
        }
        Optional<Member> member = configuration.view().member(id);
        metrics.counter("budget.messages").inc();
        member.ifPresent(to -> peers.ask(to, ask));
    }

    /**
     * Asks the members what they hold.
     *
     * @param viewVersion The version of the view.
     */
    private void askHoldings(long viewVersion) {
        for (InstanceId id : steward.missingHoldings()) {
            if (id.equals(self)) {
                holdings(self, viewVersion).ifPresent(held -> steward.reportHoldings(self, viewVersion, held));
            } else {
                configuration.view().member(id).ifPresent(to -> peers.askHoldings(to, viewVersion));
            }
        }
    }

    /**
     * Returns what this instance holds.
     *
     * @param from The steward that asks.
     * @param viewVersion The version of the view.
     * @return What this instance holds, or nothing if it has adopted another view.
     */
    private Optional<List<Holding>> holdings(InstanceId from, long viewVersion) {
        return borrower.holdings(from, viewVersion, time.nanos());
    }

    /**
     * Tells requests how their waits ended.
     *
     * @param outcomes The ends.
     */
    private void settle(List<ShareOutcome<PendingTake>> outcomes) {
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
     * Refuses a request.
     *
     * @param pending The request.
     * @param event The event.
     * @param failure The failure.
     */
    private void refuse(PendingTake pending, BudgetEvent event, Failure failure) {
        metrics.counter("budget." + event.name()).inc();
        events.record(event, "budget", pending.budget());
        pending.fail(serves() ? failure : Refusals.noStanding());
    }

    /**
     * Returns whether this instance has standing at this moment.
     *
     * @return Whether this instance has standing.
     */
    private boolean serves() {
        return membership.standing(time.nanos()).serves();
    }
}
