package org.tanagermoor.gateway.member;

import org.tanagermoor.kernel.setting.Address;
import org.tanagermoor.policy.fleet.InstanceId;

/**
 * A run of an instance.
 *
 * @param id The name and the incarnation.
 * @param peer The address for other instances.
 * @param caller The address for callers.
 * @param domain The failure domain.
 * @param startedMillis The time of day of its start in milliseconds, by its own clock; the same for all who know it.
 * @param processorShare Its processor share in cores.
 */
public record Instance(
        InstanceId id, Address peer, Address caller, String domain, long startedMillis, double processorShare) {}
