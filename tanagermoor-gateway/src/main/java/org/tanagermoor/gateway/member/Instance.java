package org.tanagermoor.gateway.member;

import org.tanagermoor.kernel.setting.Address;
import org.tanagermoor.policy.fleet.InstanceId;

/**
 * A run of an instance, from the start of the process to its end.
 *
 * @param id The name and the incarnation.
 * @param peer The address for other instances.
 * @param caller The address for callers.
 * @param domain The failure domain in which it runs.
 * @param startedMillis The wall-clock time of its start in milliseconds according to its own clock; all instances
 *     know the same value.
 * @param processorShare Its processor share in cores.
 */
public record Instance(
        InstanceId id, Address peer, Address caller, String domain, long startedMillis, double processorShare) {}
