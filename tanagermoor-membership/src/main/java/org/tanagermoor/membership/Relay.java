package org.tanagermoor.membership;

import io.vavr.Tuple;
import io.vavr.Tuple2;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.stream.Stream;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.membership.gossip.Adopters;
import org.tanagermoor.membership.proto.MembershipRequest;
import org.tanagermoor.membership.proto.MembershipResponse;
import org.tanagermoor.policy.fleet.InstanceId;
import org.tanagermoor.policy.fleet.Member;
import org.tanagermoor.policy.fleet.View;
import org.tanagermoor.policy.standing.PullTree;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Passes changes down the tree of a large view, so that no instance has to notify all others, and collects on the way
 * back which members have adopted them.
 */
final class Relay {

    /** The maximum time to wait for a reader, which waits for the two levels below it. */
    static final Duration READER_TIMEOUT = Duration.ofMillis(600);

    /** The maximum time that a reader waits for a member below it. */
    private static final Duration READER_CHILD_TIMEOUT = Duration.ofMillis(400);

    /** The maximum time that a member below a reader waits for a member below itself. */
    private static final Duration INNER_CHILD_TIMEOUT = Duration.ofMillis(200);

    private final Peers peers;

    /** Creates a relay that sends through the given peers. */
    Relay(Peers peers) {
        this.peers = peers;
    }

    /**
     * Passes changes on to the members below this instance in the tree.
     *
     * @param self The identity of this instance.
     * @param request The request with the changes and the version to relay.
     * @param now The current monotonic time in nanoseconds.
     * @return The members below this instance, at any depth, that have adopted the version.
     */
    Mono<List<InstanceId>> pass(InstanceId self, View view, PullTree tree, MembershipRequest request, long now) {
        Duration timeout = tree.reads(self) ? READER_CHILD_TIMEOUT : INNER_CHILD_TIMEOUT;
        return notifyMembers(tree.children(self), view, request, now, timeout);
    }

    /**
     * Notifies members, and through them all members below them, of changes.
     *
     * @param view The view that {@code members} belong to.
     * @param request The request with the changes and the version to relay.
     * @param now The current monotonic time in nanoseconds.
     * @param timeout The maximum time to wait for each member.
     * @return The members, at any depth, that have adopted the version.
     */
    Mono<List<InstanceId>> notifyMembers(
            List<Member> members, View view, MembershipRequest request, long now, Duration timeout) {
        return Flux.fromIterable(members)
                .flatMap(
                        member -> peers.sendRequest(member, copy(request), now, timeout)
                                .map(result -> Tuple.of(member, result)),
                        Math.max(1, members.size()))
                .collectList()
                .map(answers -> answers.stream()
                        .flatMap(answer -> adopters(answer, view, request.getRelayVersion()))
                        .toList());
    }

    /**
     * Returns the members that, according to an answer, have adopted a version.
     *
     * @param answer The member that was notified, with its answer or a failure.
     * @param view The view; the adopters of an answer that refers to another view are ignored.
     */
    private static Stream<InstanceId> adopters(
            Tuple2<Member, Either<Failure, MembershipResponse>> answer, View view, long version) {
        if (answer._2().isLeft()) {
            return Stream.empty();
        }
        MembershipResponse response = answer._2().get();
        Stream<InstanceId> below = response.getViewVersion() == view.version()
                ? Adopters.decode(view, response.getAdopters()).stream()
                : Stream.empty();
        return response.getVersion() >= version
                ? Stream.concat(Stream.of(answer._1().id()), below)
                : below;
    }

    /** Returns a builder of a request with the same changes and relay version. */
    private static MembershipRequest.Builder copy(MembershipRequest request) {
        return MembershipRequest.newBuilder()
                .addAllChanges(request.getChangesList())
                .setRelayVersion(request.getRelayVersion());
    }
}
