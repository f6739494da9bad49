package org.tanagermoor.budget;

import java.time.Duration;
import java.util.function.Consumer;
import org.tanagermoor.budget.proto.HoldingsResponse;
import org.tanagermoor.budget.proto.ShareResponse;
import org.tanagermoor.kernel.event.EventLog;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.policy.budget.LoanRequest;
import org.tanagermoor.policy.fleet.Member;
import org.tanagermoor.wire.link.Channel;
import org.tanagermoor.wire.link.PeerLink;

/** Sends messages about budgets to other instances, and hands the answers to the duty. */
final class BudgetPeers {

    /** The longest time to wait for an answer. */
    private static final Duration TIMEOUT = Duration.ofMillis(150);

    /** The time after which a steward that failed is asked again, in milliseconds. */
    private static final long RETRY_MILLIS = 20;

    /** The link. */
    private final PeerLink link;

    /** The log of events. */
    private final EventLog events;

    /** Takes the answers. */
    private final Consumer<BudgetMessage> duty;

    /**
     * Creates the messages to other instances.
     *
     * @param link The link.
     * @param events The log of events.
     * @param duty Takes the answers.
     */
    BudgetPeers(PeerLink link, EventLog events, Consumer<BudgetMessage> duty) {
        this.link = link;
        this.events = events;
        this.duty = duty;
    }

    /**
     * Asks a steward for shares.
     *
     * @param steward The steward.
     * @param ask What is asked for.
     */
    void ask(Member steward, LoanRequest ask) {
        link.call(steward, Channel.BUDGET, BudgetCodec.write(ask), TIMEOUT).subscribe(answer -> {
            var response = answer.flatMap(bytes -> BudgetCodec.read(
                    bytes, ShareResponse::parseFrom, steward.id().toString()));
            response.peekLeft(this::note);
            var loans = response.fold(
                    failure -> BudgetCodec.missing(ask, RETRY_MILLIS), message -> BudgetCodec.answer(ask, message));
            duty.accept(new BudgetMessage.Answer(steward.id(), loans));
        });
    }

    /**
     * Asks a member what it holds.
     *
     * @param member The member.
     * @param viewVersion The version of the view.
     */
    void askHoldings(Member member, long viewVersion) {
        byte[] request = BudgetCodec.holdingsRequest(viewVersion);
        link.call(member, Channel.BUDGET, request, TIMEOUT).subscribe(answer -> {
            var response = answer.flatMap(bytes -> BudgetCodec.read(
                    bytes, HoldingsResponse::parseFrom, member.id().toString()));
            response.peekLeft(this::note);
            response.filter(HoldingsResponse::getAdopted)
                    .forEach(message -> message.forEach(held -> duty.accept(
                            new BudgetMessage.Holdings(member.id(), viewVersion, BudgetCodec.holdings(held)))));
        });
    }

    /**
     * Records a message that could not be read.
     *
     * @param failure The failure.
     */
    private void note(Failure failure) {
        if (failure.kind() == Failure.Kind.CORRUPT) {
            events.record(BudgetEvent.MESSAGE_INVALID, "peer", failure.peer());
        }
    }
}
