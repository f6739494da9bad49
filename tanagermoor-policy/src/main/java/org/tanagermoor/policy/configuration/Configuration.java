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
 * The configuration of the fleet at one version. Immutable; its maps share structure with those of the previous
 * version.
 *
 * @param version The version, which only ever grows; 0 for the empty configuration.
 * @param changeId The identity of the change that made this version.
 * @param presetInForce The name of the one preset that is in force.
 * @param presets The presets by name.
 * @param teams The teams by name.
 * @param keys The API keys that were given to teams, by their SHA-256.
 * @param services The services by name.
 * @param targets The targets by name.
 * @param domainsOut The failure domains that are taken out, so that they get no new work.
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

    /** The configuration before the first change, with the ordinary preset in force. */
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
     * Returns the configuration after a change.
     *
     * @param newVersion The version that the change makes, larger than the current one.
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

    /** Returns the preset that is in force, or the ordinary one if the named preset does not exist. */
    public Preset preset() {
        return presets.get(presetInForce).getOrElse(Preset.ORDINARY);
    }

    /**
     * Returns the team to which an API key was given.
     *
     * @param sha256 The SHA-256 of the key.
     * @return The team, or empty if the key is unknown or withdrawn.
     */
    public Optional<Team> teamOfKey(String sha256) {
        return keys.get(sha256).flatMap(grant -> teams.get(grant.team())).toJavaOptional();
    }

    /** Returns whether a failure domain is taken out, so that it gets no new work. */
    public boolean isTakenOut(FailureDomain domain) {
        return domainsOut.contains(domain);
    }

    /** Returns the targets of a service that may get new work, because their failure domain is not taken out. */
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

    Configuration withPresetInForce(String value) {
        return new Configuration(version, changeId, value, presets, teams, keys, services, targets, domainsOut, view);
    }

    Configuration withPresets(Map<String, Preset> value) {
        return new Configuration(
                version, changeId, presetInForce, value, teams, keys, services, targets, domainsOut, view);
    }

    Configuration withTeams(Map<TeamId, Team> value) {
        return new Configuration(
                version, changeId, presetInForce, presets, value, keys, services, targets, domainsOut, view);
    }

    Configuration withKeys(Map<String, KeyGrant> value) {
        return new Configuration(
                version, changeId, presetInForce, presets, teams, value, services, targets, domainsOut, view);
    }

    Configuration withServices(Map<ServiceName, Service> value) {
        return new Configuration(
                version, changeId, presetInForce, presets, teams, keys, value, targets, domainsOut, view);
    }

    Configuration withTargets(Map<TargetId, Target> value) {
        return new Configuration(
                version, changeId, presetInForce, presets, teams, keys, services, value, domainsOut, view);
    }

    Configuration withDomainsOut(Set<FailureDomain> value) {
        return new Configuration(
                version, changeId, presetInForce, presets, teams, keys, services, targets, value, view);
    }

    Configuration withView(View value) {
        return new Configuration(
                version, changeId, presetInForce, presets, teams, keys, services, targets, domainsOut, value);
    }
}
