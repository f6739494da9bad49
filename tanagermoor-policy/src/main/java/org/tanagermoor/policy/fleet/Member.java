package org.tanagermoor.policy.fleet;

import org.tanagermoor.kernel.setting.Address;

/**
 * A member of the membership view.
 *
 * @param id The identity of the member's run.
 * @param domain The failure domain in which the member runs.
 * @param peerAddress The address for other instances.
 * @param callerAddress The address for callers and operators.
 * @param leaving Whether the member announced a planned stop.
 */
public record Member(InstanceId id, FailureDomain domain, Address peerAddress, Address callerAddress, boolean leaving) {

    /**
     * Returns a member that is not leaving.
     *
     * @param domain The failure domain in which the member runs.
     * @param peerAddress The address for other instances.
     * @param callerAddress The address for callers and operators.
     */
    public static Member of(InstanceId id, FailureDomain domain, Address peerAddress, Address callerAddress) {
        return new Member(id, domain, peerAddress, callerAddress, false);
    }

    /**
     * Returns this member with or without the announcement of a planned stop.
     *
     * @param value Whether the member announced a planned stop.
     */
    public Member withLeaving(boolean value) {
        return new Member(id, domain, peerAddress, callerAddress, value);
    }
}
