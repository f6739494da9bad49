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

/** Sends messages about permits to other instances, and passes their responses to the duty. */
final class LeasePeers {

    /** The maximum time to wait for a response. */
    private static final Duration TIMEOUT = Duration.ofMillis(150);

    private final PeerLink link;

    private final EventLog events;

    /** Queues a message for the duty. */
    private final Consumer<LeaseMessage> duty;

    LeasePeers(PeerLink link, EventLog events, Consumer<LeaseMessage> duty) {
        this.link = link;
        this.events = events;
        this.duty = duty;
    }

    /** Reports the demand of this instance to a steward. If the steward does not answer in time, nothing happens. */
    void ask(Member steward, PermitReports ask) {
        String peer = steward.id().toString();
        link.call(steward, Channel.TARGET, TargetCodec.write(ask), TIMEOUT).subscribe(answer -> {
            var response = answer.flatMap(bytes -> TargetCodec.readResponse(bytes, peer));
            response.peekLeft(this::recordIfCorrupt);
            response.peek(message -> duty.accept(new LeaseMessage.Answer(
                    steward.id(), message.getSequence(), TargetCodec.grants(message.getGrantsList()))));
        });
    }

    /**
     * Recalls permits from another instance.
     *
     * @param holder The instance that holds the permits.
     * @param grants The lowered grants.
     */
    void recall(Member holder, List<PermitGrant> grants) {
        link.call(holder, Channel.TARGET, TargetCodec.writeRecall(grants), TIMEOUT)
                .subscribe(answer -> answer.peekLeft(this::recordIfCorrupt));
    }

    /** Logs a response that could not be parsed; other failures are ignored. */
    private void recordIfCorrupt(Failure failure) {
        if (failure.kind() == Failure.Kind.CORRUPT) {
            events.record(TargetEvent.MESSAGE_INVALID, "peer", failure.peer());
        }
    }
}
