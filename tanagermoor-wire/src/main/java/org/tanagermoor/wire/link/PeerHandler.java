package org.tanagermoor.wire.link;

import io.vavr.control.Either;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.policy.fleet.InstanceId;
import reactor.core.publisher.Mono;

/** Answers the requests of one channel. */
@FunctionalInterface
public interface PeerHandler {

    /**
     * Answers a request. A thread of the network calls this method, so it must not block; it passes the work to a duty.
     *
     * @param from The identity that the sender claims.
     * @return The answer or a failure.
     */
    Mono<Either<Failure, byte[]>> handle(InstanceId from, byte[] request);
}
