package org.tanagermoor.target.lease;

import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;
import org.tanagermoor.kernel.event.EventLog;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.policy.fleet.Member;
import org.tanagermoor.policy.target.PermitGrant;
import org.tanagermoor.policy.target.PermitReports;
import org.tanagermoor.target.TargetEvent;
import org.tanagermoor.wire.link.Channel;
import org.tanagermoor.wire.link.PeerLink;

/** Sends messages about permits to other instances, and hands the answers to the duty. */
final class LeasePeers {

    /** The longest time to wait for an answer. */
    private static final Duration TIMEOUT = Duration.ofMillis(150);

    /** The link. */
    private final PeerLink link;

    /** The log of events. */
    private final EventLog events;

    /** Takes the answers. */
    private final Consumer<LeaseMessage> duty;

    /**
     * Creates the messages to other instances.
     *
     * @param link The link.
     * @param events The log of events.
     * @param duty Takes the answers.
     */
    LeasePeers(PeerLink link, EventLog events, Consumer<LeaseMessage> duty) {
        this.link = link;
        this.events = events;
        this.duty = duty;
    }

    /**
     * Reports to a steward.
     *
     * @param steward The steward.
     * @param ask The message.
     */
    void ask(Member steward, PermitReports ask) {
        String peer = steward.id().toString();
        link.call(steward, Channel.TARGET, TargetCodec.write(ask), TIMEOUT).subscribe(answer -> {
            var response = answer.flatMap(bytes -> TargetCodec.readResponse(bytes, peer));
            response.peekLeft(this::note);
            response.peek(message -> duty.accept(new LeaseMessage.Answer(
                    steward.id(), message.getSequence(), TargetCodec.grants(message.getGrantsList()))));
        });
    }

    /**
     * Recalls permits.
     *
     * @param holder The instance that holds them.
     * @param grants The lowered grants.
     */
    void recall(Member holder, List<PermitGrant> grants) {
        link.call(holder, Channel.TARGET, TargetCodec.writeRecall(grants), TIMEOUT)
                .subscribe(answer -> answer.peekLeft(this::note));
    }

    /**
     * Records a message that could not be read.
     *
     * @param failure The failure.
     */
    private void note(Failure failure) {
        if (failure.kind() == Failure.Kind.CORRUPT) {
            events.record(TargetEvent.MESSAGE_INVALID, "peer", failure.peer());
        }
    }
}
