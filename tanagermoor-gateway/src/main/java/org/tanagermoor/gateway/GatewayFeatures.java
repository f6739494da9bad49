package org.tanagermoor.gateway;

import java.util.Optional;
import org.tanagermoor.policy.rollout.RolloutLimits;

/**
 * The behaviour that a deployment switches on. Without it, requests are served as in deployments that do not know it.
 *
 * @param rollouts The bounds on what a bad version may get; empty if roll-outs are off.
 * @param fairSharing Whether online requests that wait are served by fair shares of their teams and by priority.
 */
public record GatewayFeatures(Optional<RolloutLimits> rollouts, boolean fairSharing) {

    /** No additional behaviour. */
    public static final GatewayFeatures NONE = new GatewayFeatures(Optional.empty(), false);
}
