package org.tanagermoor.policy.configuration;

import io.vavr.collection.HashMap;
import io.vavr.collection.HashSet;
import io.vavr.collection.Map;
import io.vavr.collection.Set;
import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.policy.fleet.FailureDomain;
import org.tanagermoor.policy.fleet.Member;
import org.tanagermoor.policy.fleet.ServiceName;
import org.tanagermoor.policy.fleet.TargetId;
import org.tanagermoor.policy.fleet.TeamId;
import org.tanagermoor.policy.fleet.View;

/**
 * The configuration at one version. Its maps share structure with those of the version before.
 *
 * @param version The version, which only ever grows; 0 for the empty one.
 * @param changeId The identity of the change that made this version.
 * @param presetInForce The name of the one preset that is in force.
 * @param presets The presets by name.
 * @param teams The teams by name.
 * @param keys The keys by their SHA-256.
 * @param services The services by name.
 * @param targets The targets by name.
 * @param domainsOut The failure domains that are taken out.
 * @param view The membership view.
 */
public record Configuration(
        long version,
        String changeId,
        String presetInForce,
        Map<String, Preset> presets,
        Map<TeamId, Team> teams,
        Map<String, KeyGrant> keys,
        Map<ServiceName, Service> services,
        Map<TargetId, Target> targets,
        Set<FailureDomain> domainsOut,
        View view) {

    /** The configuration before the first change. */
    public static final Configuration EMPTY = new Configuration(
            0,
            "",
            Preset.ORDINARY.name(),
            HashMap.of(Preset.ORDINARY.name(), Preset.ORDINARY),
            HashMap.empty(),
            HashMap.empty(),
            HashMap.empty(),
            HashMap.empty(),
            HashSet.empty(),
            View.EMPTY);

    /**
     * Returns the configuration that a change makes of this one.
     *
     * @param newVersion The version that it makes, larger than the present one.
     * @param newChangeId The identity of the change.
     * @return The next configuration, or a failure of kind {@link Failure.Kind#INVALID}, {@link Failure.Kind#NOT_FOUND}
     *     or {@link Failure.Kind#CONFLICT} that says why the change does not apply.
     */
    public Either<Failure, Configuration> with(Change change, long newVersion, String newChangeId) {
        if (newVersion <= version) {
            return Either.left(Failure.notRun(
                    Failure.Kind.CONFLICT,
                    ChangeRules.STEP,
                    Failure.LOCAL,
                    "version " + version + " is in force, " + newVersion + " does not follow it"));
        }
        return ChangeRules.apply(this, change, newVersion)
                .map(next -> new Configuration(
                        newVersion,
                        newChangeId,
                        next.presetInForce,
                        next.presets,
                        next.teams,
                        next.keys,
                        next.services,
                        next.targets,
                        next.domainsOut,
                        next.view));
    }

    /** Returns the preset that is in force. */
    public Preset preset() {
        return presets.get(presetInForce).getOrElse(Preset.ORDINARY);
    }

    /**
     * Returns the team to which a key was given.
     *
     * @param sha256 The SHA-256 of the key.
     * @return The team, if the key is known and not withdrawn.
     */
    public Optional<Team> teamOfKey(String sha256) {
        return keys.get(sha256).flatMap(grant -> teams.get(grant.team())).toJavaOptional();
    }

    /** Returns whether a failure domain is taken out. */
    public boolean isTakenOut(FailureDomain domain) {
        return domainsOut.contains(domain);
    }

    /**
     * Returns the targets of a service whose failure domain is not taken out.
     *
     * @return The targets that may get new work.
     */
    public List<Target> usableTargets(ServiceName service) {
        return targets.values()
                .filter(target -> target.service().equals(service) && !isTakenOut(target.domain()))
                .toJavaList();
    }

    /** Returns the members to which callers may be sent: not leaving, and not in a failure domain that is taken out. */
    public List<Member> usableMembers() {
        return view.members()
                .values()
                .filter(member -> !member.leaving() && !isTakenOut(member.domain()))
                .toJavaList();
    }

    /**
     * Returns this configuration with another preset in force.
     *
     * @return A configuration that is otherwise equal to this one.
     */
    Configuration withPresetInForce(String value) {
        return new Configuration(version, changeId, value, presets, teams, keys, services, targets, domainsOut, view);
    }

    /**
     * Returns this configuration with other presets.
     *
     * @return A configuration that is otherwise equal to this one.
     */
    Configuration withPresets(Map<String, Preset> value) {
        return new Configuration(
                version, changeId, presetInForce, value, teams, keys, services, targets, domainsOut, view);
    }

    /**
     * Returns this configuration with other teams.
     *
     * @return A configuration that is otherwise equal to this one.
     */
    Configuration withTeams(Map<TeamId, Team> value) {
        return new Configuration(
                version, changeId, presetInForce, presets, value, keys, services, targets, domainsOut, view);
    }

    /**
     * Returns this configuration with other keys.
     *
     * @return A configuration that is otherwise equal to this one.
     */
    Configuration withKeys(Map<String, KeyGrant> value) {
        return new Configuration(
                version, changeId, presetInForce, presets, teams, value, services, targets, domainsOut, view);
    }

    /**
     * Returns this configuration with other services.
     *
     * @return A configuration that is otherwise equal to this one.
     */
    Configuration withServices(Map<ServiceName, Service> value) {
        return new Configuration(
                version, changeId, presetInForce, presets, teams, keys, value, targets, domainsOut, view);
    }

    /**
     * Returns this configuration with other targets.
     *
     * @return A configuration that is otherwise equal to this one.
     */
    Configuration withTargets(Map<TargetId, Target> value) {
        return new Configuration(
                version, changeId, presetInForce, presets, teams, keys, services, value, domainsOut, view);
    }

    /**
     * Returns this configuration with other failure domains taken out.
     *
     * @return A configuration that is otherwise equal to this one.
     */
    Configuration withDomainsOut(Set<FailureDomain> value) {
        return new Configuration(
                version, changeId, presetInForce, presets, teams, keys, services, targets, value, view);
    }

    /**
     * Returns this configuration with another view.
     *
     * @return A configuration that is otherwise equal to this one.
     */
    Configuration withView(View value) {
        return new Configuration(
                version, changeId, presetInForce, presets, teams, keys, services, targets, domainsOut, value);
    }
}
