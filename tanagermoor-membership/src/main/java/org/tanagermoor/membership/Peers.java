package org.tanagermoor.membership;

import com.google.protobuf.InvalidProtocolBufferException;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.membership.codec.ChangeCodec;
import org.tanagermoor.membership.codec.LedgerCodec;
import org.tanagermoor.membership.gossip.Ages;
import org.tanagermoor.membership.gossip.Inbox;
import org.tanagermoor.membership.gossip.Input;
import org.tanagermoor.membership.proto.ChangeMessage;
import org.tanagermoor.membership.proto.MembershipRequest;
import org.tanagermoor.membership.proto.MembershipResponse;
import org.tanagermoor.membership.store.LedgerUpdate;
import org.tanagermoor.policy.configuration.RecordedChange;
import org.tanagermoor.policy.fleet.InstanceId;
import org.tanagermoor.policy.fleet.Member;
import org.tanagermoor.policy.fleet.View;
import org.tanagermoor.policy.standing.StandingState;
import org.tanagermoor.wire.link.Channel;
import org.tanagermoor.wire.link.PeerLink;
import reactor.core.publisher.Mono;

/**
 * Sends requests to peers, processes their answers and answers their requests. Used only by the thread of the
 * membership duty.
 */
final class Peers {

    private static final Duration REQUEST_TIMEOUT = Duration.ofMillis(500);

    private static final int MAX_CHANGES_PER_MESSAGE = 64;

    private static final long NANOS_PER_MICRO = 1_000;

    private final PeerLink link;

    private final LocalReplica replica;

    /** Receives the results of requests, for the membership duty. */
    private final Inbox inbox;

    /**
     * The time of the latest heartbeat of each member: a request or an answer. For a member that has sent neither, the
     * time of the first request to it.
     */
    private final Map<InstanceId, Long> lastSeenAt = new HashMap<>();

    /**
     * Creates the exchange with peers over a link.
     *
     * @param inbox Receives the results of requests, for the membership duty.
     */
    Peers(PeerLink link, LocalReplica replica, Inbox inbox) {
        this.link = link;
        this.replica = replica;
        this.inbox = inbox;
    }

    /**
     * Sends a request to a member. The result goes to the inbox.
     *
     * @param request The request without the versions that each request carries.
     * @param now The current monotonic time in nanoseconds.
     */
    void ask(Member member, MembershipRequest.Builder request, long now) {
        lastSeenAt.putIfAbsent(member.id(), now);
        sendRequest(member, request, now, REQUEST_TIMEOUT).subscribe();
    }

    /**
     * Returns a request to a member, which is sent on subscription. The result also goes to the inbox.
     *
     * @param request The request without the versions that each request carries.
     * @param now The current monotonic time in nanoseconds.
     * @param timeout The maximum time to wait for the answer.
     * @return The answer or a failure.
     */
    Mono<Either<Failure, MembershipResponse>> sendRequest(
            Member member, MembershipRequest.Builder request, long now, Duration timeout) {
        byte[] bytes = request.setVersion(replica.version())
                .setAccepted(replica.published().ledger().chain().accepted())
                .build()
                .toByteArray();
        return link.call(member, Channel.MEMBERSHIP, bytes, timeout)
                .map(result -> result.flatMap(Peers::response))
                .doOnNext(result -> inbox.offer(new Input.CallCompleted(member, now, result)));
    }

    /**
     * Adds kept changes to a request.
     *
     * @param version The version after which the changes start.
     * @return The same builder.
     */
    MembershipRequest.Builder withChangesAfter(MembershipRequest.Builder request, long version) {
        return request.addAllChanges(messages(version));
    }

    /**
     * Observes a request of a peer: records the heartbeat, and adopts the changes and the accepted version that it
     * carries.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    void observe(InstanceId from, MembershipRequest request, long now) {
        lastSeenAt.put(from, now);
        replica.adopt(decodeChanges(request.getChangesList()));
        replica.accepted(request.getAccepted());
    }

    /**
     * Observes an answer of a peer: records the heartbeat, and adopts the changes, the ledger, the accepted version and
     * the ages that it carries.
     *
     * @param askedAt The time at which the request was sent.
     * @param now The current monotonic time in nanoseconds.
     */
    void observe(InstanceId from, long askedAt, MembershipResponse response, long now) {
        lastSeenAt.put(from, now);
        replica.adopt(decodeChanges(response.getChangesList()));
        if (response.hasLedger()) {
            replica.adopt(LedgerUpdate.of(LedgerCodec.decode(response.getLedger())));
        }
        replica.accepted(response.getAccepted());
        replica.updateStanding(state -> withResponse(state, from, askedAt, response));
    }

    /**
     * Creates the answer to a request from the state of the replica. It contains a complete ledger where the changes
     * that the peer lacks are no longer kept.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    MembershipResponse answer(MembershipRequest request, long now) {
        StandingState standing = replica.published().standing();
        MembershipResponse.Builder response = MembershipResponse.newBuilder()
                .setVersion(replica.version())
                .setAccepted(replica.published().ledger().chain().accepted());
        if (standing.freshAt().within(now, standing.windowNanos())) {
            response.setAgeMicrosPlusOne((now - standing.freshAt().nanos()) / NANOS_PER_MICRO + 2);
        }
        if (request.getWantsChanges() && request.getVersion() < replica.version()) {
            if (replica.hasChangesAfter(request.getVersion())) {
                response.addAllChanges(messages(request.getVersion()));
            } else {
                response.setLedger(LedgerCodec.encode(replica.published().ledger()));
            }
        }
        if (request.getWantsAges()) {
            response.setViewVersion(standing.view().version()).setAges(Ages.encode(standing, now));
        }
        return response.build();
    }

    /**
     * Returns whether a member sent a heartbeat recently. A member that was not asked yet counts as alive.
     *
     * @param now The current monotonic time in nanoseconds.
     * @param duration The maximum age of the heartbeat in nanoseconds.
     */
    boolean isAlive(InstanceId id, long now, long duration) {
        Long seenAt = lastSeenAt.get(id);
        return seenAt == null || now - seenAt <= duration;
    }

    /** Drops the heartbeats of instances that are not members of a view. */
    void retainMembers(View view) {
        lastSeenAt.keySet().removeIf(id -> !view.members().containsKey(id));
    }

    /**
     * Returns the state of the standing after an answer.
     *
     * @param askedAt The time at which the request was sent.
     */
    private static StandingState withResponse(
            StandingState state, InstanceId from, long askedAt, MembershipResponse response) {
        StandingState next = state.withAnswer(from, response.getVersion(), askedAt);
        if (response.getAgeMicrosPlusOne() > 0) {
            next = next.withHead(
                    response.getVersion(), askedAt - (response.getAgeMicrosPlusOne() - 1) * NANOS_PER_MICRO);
        }
        return response.getViewVersion() == state.view().version()
                ? Ages.decode(next, response.getAges(), response.getVersion(), askedAt)
                : next;
    }

    /**
     * Returns the messages of kept changes.
     *
     * @param version The version after which they start.
     */
    private List<ChangeMessage> messages(long version) {
        return replica.changesAfter(version, MAX_CHANGES_PER_MESSAGE).stream()
                .map(ChangeCodec::encode)
                .toList();
    }

    /** Decodes changes up to the first one that is malformed. */
    private static List<RecordedChange> decodeChanges(List<ChangeMessage> messages) {
        return messages.stream()
                .map(ChangeCodec::decode)
                .takeWhile(Either::isRight)
                .map(Either::get)
                .toList();
    }

    /**
     * Decodes an answer.
     *
     * @return The answer, or a failure of kind {@link Failure.Kind#CORRUPT}.
     */
    private static Either<Failure, MembershipResponse> response(byte[] bytes) {
        try {
            return Either.right(MembershipResponse.parseFrom(bytes));
        } catch (InvalidProtocolBufferException exception) {
            return Either.left(Failure.unknown(
                    Failure.Kind.CORRUPT, "membership.decode", Failure.LOCAL, "the answer is malformed"));
        }
    }
}
