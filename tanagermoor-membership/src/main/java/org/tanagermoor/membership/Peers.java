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
import org.tanagermoor.membership.store.Progress;
import org.tanagermoor.policy.configuration.RecordedChange;
import org.tanagermoor.policy.fleet.InstanceId;
import org.tanagermoor.policy.fleet.Member;
import org.tanagermoor.policy.fleet.View;
import org.tanagermoor.policy.standing.StandingState;
import org.tanagermoor.wire.link.Channel;
import org.tanagermoor.wire.link.PeerLink;
import reactor.core.publisher.Mono;

/** Asks peers and answers them. Used by the thread of the membership duty only. */
final class Peers {

    /** The longest time to wait for an answer. */
    private static final Duration TIMEOUT = Duration.ofMillis(500);

    /** The most changes in one message. */
    private static final int CHANGES_AT_ONCE = 64;

    /** The nanoseconds in a microsecond. */
    private static final long NANOS_PER_MICRO = 1_000;

    /** The link. */
    private final PeerLink link;

    /** What this instance has adopted. */
    private final LocalReplica replica;

    /** Tells the membership duty. */
    private final Inbox duty;

    /** The latest signs of life by member. */
    private final Map<InstanceId, Long> signs = new HashMap<>();

    /**
     * Creates the peers.
     *
     * @param link The link.
     * @param replica What this instance has adopted.
     * @param duty Tells the membership duty.
     */
    Peers(PeerLink link, LocalReplica replica, Inbox duty) {
        this.link = link;
        this.replica = replica;
        this.duty = duty;
    }

    /**
     * Asks a member.
     *
     * @param member The member.
     * @param request What is asked, without what every question carries.
     * @param now The present time.
     */
    void ask(Member member, MembershipRequest.Builder request, long now) {
        signs.putIfAbsent(member.id(), now);
        question(member, request, now, TIMEOUT).subscribe();
    }

    /**
     * Returns a question to a member, which is sent on subscription. Its answer is also handed to the duty.
     *
     * @param member The member.
     * @param request What is asked, without what every question carries.
     * @param now The present time.
     * @param timeout The longest time to wait.
     * @return The answer or a failure.
     */
    Mono<Either<Failure, MembershipResponse>> question(
            Member member, MembershipRequest.Builder request, long now, Duration timeout) {
        byte[] bytes = request.setVersion(replica.version())
                .setAccepted(replica.published().ledger().chain().accepted())
                .build()
                .toByteArray();
        return link.call(member, Channel.MEMBERSHIP, bytes, timeout)
                .map(result -> result.flatMap(Peers::response))
                .doOnNext(result -> duty.offer(new Input.Answered(member, now, result)));
    }

    /**
     * Adds changes to a question.
     *
     * @param request The question.
     * @param version The version after which the changes are added.
     * @return The question.
     */
    MembershipRequest.Builder withChangesAfter(MembershipRequest.Builder request, long version) {
        return request.addAllChanges(messages(version));
    }

    /**
     * Takes in what a question carries.
     *
     * @param from The identity of the peer.
     * @param request The question.
     * @param now The present time.
     */
    void take(InstanceId from, MembershipRequest request, long now) {
        signs.put(from, now);
        replica.adopt(decoded(request.getChangesList()));
        replica.accepted(request.getAccepted());
    }

    /**
     * Takes in an answer.
     *
     * @param from The identity of the peer.
     * @param begun The moment at which the question was sent.
     * @param response The answer.
     * @param now The present time.
     */
    void take(InstanceId from, long begun, MembershipResponse response, long now) {
        signs.put(from, now);
        replica.adopt(decoded(response.getChangesList()));
        if (response.hasLedger()) {
            replica.adopt(Progress.of(LedgerCodec.decode(response.getLedger())));
        }
        replica.accepted(response.getAccepted());
        replica.learn(state -> learnt(state, from, begun, response));
    }

    /**
     * Answers a question.
     *
     * @param request The question.
     * @param now The present time.
     * @return The answer.
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
            if (replica.keepsAfter(request.getVersion())) {
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
     * Returns whether a member gave a sign of life lately, or was not asked yet.
     *
     * @param id The identity of the member.
     * @param now The present time.
     * @param duration How long ago the sign may be, in nanoseconds.
     * @return Whether it gave a sign of life.
     */
    boolean alive(InstanceId id, long now, long duration) {
        Long sign = signs.get(id);
        return sign == null || now - sign <= duration;
    }

    /**
     * Forgets the signs of life of those who are not members.
     *
     * @param view The view.
     */
    void keepOnly(View view) {
        signs.keySet().removeIf(id -> !view.members().containsKey(id));
    }

    /**
     * Returns the state after an answer.
     *
     * @param state The state.
     * @param from The identity of the peer.
     * @param begun The moment at which the question was sent.
     * @param response The answer.
     * @return The state after the answer.
     */
    private static StandingState learnt(StandingState state, InstanceId from, long begun, MembershipResponse response) {
        StandingState next = state.withAnswer(from, response.getVersion(), begun);
        if (response.getAgeMicrosPlusOne() > 0) {
            next = next.withHead(response.getVersion(), begun - (response.getAgeMicrosPlusOne() - 1) * NANOS_PER_MICRO);
        }
        return response.getViewVersion() == state.view().version()
                ? Ages.decode(next, response.getAges(), response.getVersion(), begun)
                : next;
    }

    /**
     * Returns the messages of kept changes.
     *
     * @param version The version after which they begin.
     * @return The messages.
     */
    private List<ChangeMessage> messages(long version) {
        return replica.after(version, CHANGES_AT_ONCE).stream()
                .map(ChangeCodec::encode)
                .toList();
    }

    /**
     * Decodes changes. One that is malformed ends the list.
     *
     * @param messages The messages.
     * @return The changes up to the first that is malformed.
     */
    private static List<RecordedChange> decoded(List<ChangeMessage> messages) {
        return messages.stream()
                .map(ChangeCodec::decode)
                .takeWhile(Either::isRight)
                .map(Either::get)
                .toList();
    }

    /**
     * Decodes an answer.
     *
     * @param bytes The bytes.
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
