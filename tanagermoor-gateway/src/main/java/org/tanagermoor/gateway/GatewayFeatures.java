package org.tanagermoor.gateway;

import java.util.Optional;
import org.tanagermoor.policy.rollout.RolloutLimits;

/**
 * The behaviour that a deployment switches on. Without it, requests are served as in deployments that do not know it.
 *
 * @param rollouts The bounds on what a bad version may get; empty if roll-outs are off.
 * @param pressure Whether the queue for places takes teams, priorities and sizes into account.
 */
public record GatewayFeatures(Optional<RolloutLimits> rollouts, boolean pressure) {

    /** No additional behaviour. */
    public static final GatewayFeatures NONE = new GatewayFeatures(Optional.empty(), false);
}
