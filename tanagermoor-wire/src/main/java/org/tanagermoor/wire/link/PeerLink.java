package org.tanagermoor.wire.link;

import io.vavr.control.Either;
import java.time.Duration;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.kernel.setting.Address;
import org.tanagermoor.policy.fleet.Member;
import reactor.core.publisher.Mono;

/**
 * The link of this instance to other instances, over which they exchange requests and answers. Safe for use by several
 * threads.
 */
public interface PeerLink {

    /** The incarnation that stands for any incarnation of a peer. */
    long ANY_INCARNATION = 0;

    /** Sets the handler for the requests of a channel. An earlier handler of the channel is replaced. */
    void handle(Channel channel, PeerHandler handler);

    /**
     * Sends a request to a peer and waits for the answer. An answer that arrives after the timeout is dropped.
     *
     * @param address The address of the peer.
     * @param incarnation The incarnation that must answer, or {@link #ANY_INCARNATION}.
     * @param timeout The maximum time to wait.
     * @return The answer, or a failure that says whether the peer may have handled the request.
     */
    Mono<Either<Failure, byte[]>> call(
            Address address, long incarnation, Channel channel, byte[] request, Duration timeout);

    /**
     * Sends a request to a member and waits for the answer.
     *
     * @param member The member; another incarnation at its address refuses the request.
     * @param timeout The maximum time to wait.
     * @return The answer, or a failure that says whether the peer may have handled the request.
     */
    default Mono<Either<Failure, byte[]>> call(Member member, Channel channel, byte[] request, Duration timeout) {
        return call(member.peerAddress(), member.id().incarnation(), channel, request, timeout);
    }

    /** Returns the address on which this link listens. */
    Address address();

    /** Returns the number of bytes that were sent and received so far, for measurements. */
    long bytes();
}
