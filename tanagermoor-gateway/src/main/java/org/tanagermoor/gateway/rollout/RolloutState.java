package org.tanagermoor.gateway.rollout;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import org.tanagermoor.policy.rollout.RolloutOrder;
import org.tanagermoor.policy.rollout.RolloutPhase;

/**
 * How a roll-out stands, as a row of the store says it.
 *
 * @param revision The revision of the row of the order, which tells orders apart.
 * @param order The order.
 * @param phase The phase.
 * @param replaced The versions other than the ordered one that get no requests.
 * @param elapsed The time since the order as of the write.
 * @param newRequests The number of requests to the new version that the writer counted.
 * @param newBadAnswers The number of bad answers of the new version that the writer knew of.
 * @param writer The name of the instance that wrote it.
 */
public record RolloutState(
        long revision,
        RolloutOrder order,
        RolloutPhase phase,
        Set<String> replaced,
        Duration elapsed,
        long newRequests,
        long newBadAnswers,
        String writer) {

    /** Returns the versions that get no requests: the replaced ones, and the ordered one once it is rolled back. */
    Set<String> excluded() {
        if (phase instanceof RolloutPhase.RolledBack) {
            Set<String> result = new HashSet<>(replaced);
            result.add(order.version());
            return Set.copyOf(result);
        }
        return replaced;
    }

    /**
     * Returns the versions that a later order to another version must not bring back: those that get no requests now,
     * and the ordered one while it has not proved itself.
     */
    Set<String> unproven() {
        Set<String> result = new HashSet<>(excluded());
        if (phase instanceof RolloutPhase.Canary) {
            result.add(order.version());
        }
        return Set.copyOf(result);
    }
}
