package org.tanagermoor.gateway.forward;

import java.util.Optional;
import java.util.OptionalDouble;

/**
 * The head of a target's answer, independent of the protocol of the targets.
 *
 * @param status The HTTP status.
 * @param id The identity of the request that it answers; empty if it names none.
 * @param notRun Whether the target states that it did not run the request.
 * @param misdirected Whether an incarnation other than the expected one has the address.
 * @param signed Whether the answer has the target's signature.
 * @param events Whether the body is a stream of events.
 * @param leaving Whether the target states that it is leaving.
 * @param idleTimeoutMillis How long the target keeps an idle connection, in milliseconds; 0 if it does not say.
 * @param load The load that the target states; empty if it states none.
 * @param requestLimit The requests per second that the target takes from all instances together; empty if it names no
 *     limit.
 */
public record TargetHead(
        int status,
        String id,
        boolean notRun,
        boolean misdirected,
        boolean signed,
        boolean events,
        boolean leaving,
        long idleTimeoutMillis,
        Optional<TargetLoad> load,
        OptionalDouble requestLimit) {

    /** Creates the head of an answer that states no load and names no limit. */
    public TargetHead(
            int status,
            String id,
            boolean notRun,
            boolean misdirected,
            boolean signed,
            boolean events,
            boolean leaving,
            long idleTimeoutMillis) {
        this(
                status,
                id,
                notRun,
                misdirected,
                signed,
                events,
                leaving,
                idleTimeoutMillis,
                Optional.empty(),
                OptionalDouble.empty());
    }
}
