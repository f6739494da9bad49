package org.tanagermoor.membership;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.policy.configuration.Change;
import reactor.core.publisher.Mono;

/** Records changes of the configuration and reports when they are accepted. Safe for use by several threads. */
public interface Changes {

    /**
     * Records a change. A change that was recorded before with the same ID is not recorded again.
     *
     * @param changeId The ID of the change.
     * @param ifVersion The version on which the change must be based, or empty to base it on the one in force.
     * @return The version that the change made, or a failure. A failure of kind {@link Failure.Kind#CONFLICT} names the
     *     version in force. After a failure whose execution is unknown, {@link #find} shows whether the change was
     *     recorded.
     */
    Mono<Either<Failure, Long>> record(Change change, String changeId, OptionalLong ifVersion);

    /**
     * Finds the version that a change made.
     *
     * @param changeId The ID of the change.
     * @return The version if the change was recorded recently, or a failure. IDs of old changes are deleted.
     */
    Mono<Either<Failure, Optional<Long>>> find(String changeId);

    /**
     * Waits until a version is accepted, so that no instance with standing acts on an earlier one.
     *
     * @param timeout The maximum time to wait.
     * @return Whether the version is known to be accepted.
     */
    Mono<Boolean> accepted(long version, Duration timeout);
}
