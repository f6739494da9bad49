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

/** Sends messages about budgets to other instances, and passes their responses to the duty. */
final class BudgetPeers {

    /** The maximum time to wait for a response. */
    private static final Duration TIMEOUT = Duration.ofMillis(150);

    /** The delay before a steward that failed to answer is asked again, in milliseconds. */
    private static final long RETRY_MILLIS = 20;

    private final PeerLink link;

    private final EventLog events;

    /** Queues a message for the duty. */
    private final Consumer<BudgetMessage> duty;

    BudgetPeers(PeerLink link, EventLog events, Consumer<BudgetMessage> duty) {
        this.link = link;
        this.events = events;
        this.duty = duty;
    }

    /** Requests shares from a steward. If no response arrives in time, the duty receives one that lends nothing. */
    void ask(Member steward, LoanRequest ask) {
        link.call(steward, Channel.BUDGET, BudgetCodec.write(ask), TIMEOUT).subscribe(answer -> {
            var response = answer.flatMap(bytes -> BudgetCodec.read(
                    bytes, ShareResponse::parseFrom, steward.id().toString()));
            response.peekLeft(this::recordIfCorrupt);
            var loans = response.fold(
                    failure -> BudgetCodec.missingResponse(ask, RETRY_MILLIS),
                    message -> BudgetCodec.answer(ask, message));
            duty.accept(new BudgetMessage.Answer(steward.id(), loans));
        });
    }

    /**
     * Asks a member which shares it holds. The duty receives a message only if the member has adopted the view.
     *
     * @param viewVersion The version of the view in which this instance is the steward.
     */
    void askHoldings(Member member, long viewVersion) {
        byte[] request = BudgetCodec.holdingsRequest(viewVersion);
        link.call(member, Channel.BUDGET, request, TIMEOUT).subscribe(answer -> {
            var response = answer.flatMap(bytes -> BudgetCodec.read(
                    bytes, HoldingsResponse::parseFrom, member.id().toString()));
            response.peekLeft(this::recordIfCorrupt);
            response.filter(HoldingsResponse::getAdopted)
                    .forEach(message -> message.forEach(adoptedResponse -> duty.accept(new BudgetMessage.Holdings(
                            member.id(), viewVersion, BudgetCodec.holdings(adoptedResponse)))));
        });
    }

    /** Logs a response that could not be parsed; other failures are ignored. */
    private void recordIfCorrupt(Failure failure) {
        if (failure.kind() == Failure.Kind.CORRUPT) {
            events.record(BudgetEvent.MESSAGE_INVALID, "peer", failure.peer());
        }
    }
}
