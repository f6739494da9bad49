package org.tanagermoor.policy.configuration;

import org.tanagermoor.policy.fleet.FailureDomain;
import org.tanagermoor.policy.fleet.InstanceId;
import org.tanagermoor.policy.fleet.Member;
import org.tanagermoor.policy.fleet.ServiceName;
import org.tanagermoor.policy.fleet.TargetId;
import org.tanagermoor.policy.fleet.TeamId;

/** A change of the configuration by an operator, or of the membership view by an instance. */
public sealed interface Change {

    /**
     * Creates a preset, or replaces the one of the same name.
     *
     * @param preset The preset, with the name under which it is kept.
     */
    record PutPreset(Preset preset) implements Change {}

    /**
     * Puts a preset in force in place of the current one.
     *
     * @param name The name of the preset.
     */
    record ActivatePreset(String name) implements Change {}

    /**
     * Creates a team, or replaces the one of the same name.
     *
     * @param team The team with its limits.
     */
    record PutTeam(Team team) implements Change {}

    /**
     * Removes a team and its keys.
     *
     * @param team The name of the team.
     */
    record RemoveTeam(TeamId team) implements Change {}

    /**
     * Gives an API key to a team.
     *
     * @param grant The SHA-256 of the key and the team that gets it.
     */
    record GiveKey(KeyGrant grant) implements Change {}

    /**
     * Withdraws an API key, so that requests with it are refused.
     *
     * @param sha256 The SHA-256 of the key.
     */
    record WithdrawKey(String sha256) implements Change {}

    /**
     * Takes a failure domain out: its targets get no new work, and callers are not sent to its instances.
     *
     * @param domain The name of the failure domain.
     */
    record TakeOut(FailureDomain domain) implements Change {}

    /**
     * Brings a failure domain back that was taken out.
     *
     * @param domain The name of the failure domain.
     */
    record BringBack(FailureDomain domain) implements Change {}

    /**
     * Creates a service, or replaces the one of the same name.
     *
     * @param service The service, with the name under which it is kept.
     */
    record PutService(Service service) implements Change {}

    /**
     * Removes a service that has no targets.
     *
     * @param service The name of the service.
     */
    record RemoveService(ServiceName service) implements Change {}

    /**
     * Creates a target, or replaces the one of the same name.
     *
     * @param target The target, with its service and capacity.
     */
    record PutTarget(Target target) implements Change {}

    /**
     * Removes a target, which gets no new work from then on.
     *
     * @param target The name of the target.
     */
    record RemoveTarget(TargetId target) implements Change {}

    /**
     * Adds a member to the view or replaces it; an earlier incarnation of the same name is removed.
     *
     * @param member The member.
     */
    record PutMember(Member member) implements Change {}

    /**
     * Removes a member from the view.
     *
     * @param id The identity of the member's run.
     */
    record RemoveMember(InstanceId id) implements Change {}
}
