package org.tanagermoor.membership.gossip;

import io.vavr.control.Either;
import java.util.function.Consumer;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.membership.proto.MembershipRequest;
import org.tanagermoor.membership.proto.MembershipResponse;
import org.tanagermoor.membership.store.Head;
import org.tanagermoor.membership.store.LedgerUpdate;
import org.tanagermoor.policy.configuration.Configuration;
import org.tanagermoor.policy.fleet.InstanceId;
import org.tanagermoor.policy.fleet.Member;
import reactor.core.publisher.MonoSink;

/** An input of the membership duty, which handles inputs one after another. */
public sealed interface Input {

    /**
     * A request of a peer was received.
     *
     * @param from The identity of the peer.
     * @param sink Receives the answer.
     */
    record RequestReceived(InstanceId from, MembershipRequest request, MonoSink<Either<Failure, byte[]>> sink)
            implements Input {}

    /**
     * A request to a peer ended.
     *
     * @param member The peer.
     * @param startedAt The time at which the request was sent.
     * @param result The answer or a failure.
     */
    record CallCompleted(Member member, long startedAt, Either<Failure, MembershipResponse> result) implements Input {}

    /**
     * A read of the head row ended.
     *
     * @param startedAt The time at which the read started.
     * @param result The head or a failure.
     */
    record HeadRead(long startedAt, Either<Failure, Head> result) implements Input {}

    /**
     * An attempt to bring the ledger up to the head ended.
     *
     * @param result The ledger or a failure.
     */
    record CaughtUp(Either<Failure, LedgerUpdate> result) implements Input {}

    /**
     * This instance recorded a change.
     *
     * @param update The ledger that ends with the change.
     */
    record Recorded(LedgerUpdate update) implements Input {}

    /**
     * A change of the view that this instance requested was recorded, or failed.
     *
     * @param result The version or a failure.
     */
    record ViewChanged(Either<Failure, Long> result) implements Input {}

    /**
     * A caller waits for the acceptance of a version.
     *
     * @param sink Receives {@code true} when the version is accepted.
     */
    record AcceptanceAwaited(long version, MonoSink<Boolean> sink) implements Input {}

    /**
     * A caller no longer waits for the acceptance of a version.
     *
     * @param sink The sink that the caller had passed.
     */
    record AwaitAbandoned(MonoSink<Boolean> sink) implements Input {}

    /**
     * A listener for adopted configurations is to be added.
     *
     * @param listener Called with the current configuration and each later one.
     */
    record ListenerAdded(Consumer<Configuration> listener) implements Input {}

    /**
     * A planned stop was announced, or is about to end.
     *
     * @param beforeRemoval Whether this instance is about to be removed from the view permanently.
     */
    record LeaveRequested(boolean beforeRemoval) implements Input {}
}
