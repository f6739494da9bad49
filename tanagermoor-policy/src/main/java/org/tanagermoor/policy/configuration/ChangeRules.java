package org.tanagermoor.policy.configuration;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.policy.fleet.InstanceId;
import org.tanagermoor.policy.fleet.Member;
import org.tanagermoor.policy.fleet.ServiceName;
import org.tanagermoor.policy.fleet.TargetId;
import org.tanagermoor.policy.fleet.TeamId;
import org.tanagermoor.policy.fleet.View;

/** The rules that decide whether a change applies to a configuration, and the configuration that results. */
public final class ChangeRules {

    /** The step that is named in failures. */
    static final String STEP = "configuration.change";

    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,63}");

    private static final Pattern SHA_256 = Pattern.compile("[0-9a-f]{64}");

    private ChangeRules() {}

    /**
     * Applies a change.
     *
     * @param base The configuration before the change.
     * @param version The version that the change makes.
     * @return The changed configuration, still with the version of the base, or a failure that says why the change does
     *     not apply.
     */
    static Either<Failure, Configuration> apply(Configuration base, Change change, long version) {
        List<String> problems = problems(change);
        if (!problems.isEmpty()) {
            return invalid(String.join("; ", problems));
        }
        return switch (change) {
            case Change.PutPreset put ->
                Either.right(base.withPresets(base.presets().put(put.preset().name(), put.preset())));
            case Change.ActivatePreset activate ->
                base.presets().containsKey(activate.name())
                        ? Either.right(base.withPresetInForce(activate.name()))
                        : missing("preset", activate.name());
            case Change.PutTeam put ->
                Either.right(base.withTeams(base.teams().put(put.team().id(), put.team())));
            case Change.RemoveTeam remove -> removeTeam(base, remove.team());
            case Change.GiveKey give -> giveKey(base, give.grant());
            case Change.WithdrawKey withdraw ->
                base.keys().containsKey(withdraw.sha256())
                        ? Either.right(base.withKeys(base.keys().remove(withdraw.sha256())))
                        : missing("key", withdraw.sha256());
            case Change.TakeOut out ->
                Either.right(base.withDomainsOut(base.domainsOut().add(out.domain())));
            case Change.BringBack back ->
                Either.right(base.withDomainsOut(base.domainsOut().remove(back.domain())));
            case Change.PutService put ->
                Either.right(base.withServices(base.services().put(put.service().name(), put.service())));
            case Change.RemoveService remove -> removeService(base, remove.service());
            case Change.PutTarget put -> putTarget(base, put.target());
            case Change.RemoveTarget remove ->
                base.targets().containsKey(remove.target())
                        ? Either.right(base.withTargets(base.targets().remove(remove.target())))
                        : missing("target", remove.target().value());
            case Change.PutMember put -> Either.right(base.withView(withMember(base.view(), put.member(), version)));
            case Change.RemoveMember remove -> removeMember(base, remove.id(), version);
        };
    }

    /**
     * Returns what is invalid about a change regardless of the configuration to which it is applied.
     *
     * @return A phrase for each problem, which starts with the name of the field; empty if there is none.
     */
    public static List<String> problems(Change change) {
        return switch (change) {
            case Change.PutPreset put -> problems(put.preset());
            case Change.PutTeam put -> problems(put.team());
            case Change.GiveKey give -> shaProblems(give.grant().sha256());
            case Change.TakeOut out -> nameProblems("domain", out.domain().value());
            case Change.PutService put ->
                nameProblems("service", put.service().name().value());
            case Change.PutTarget put -> problems(put.target());
            default -> List.of();
        };
    }

    /** Removes a team with its keys, or fails if the team does not exist. */
    private static Either<Failure, Configuration> removeTeam(Configuration base, TeamId team) {
        return base.teams().containsKey(team)
                ? Either.right(base.withTeams(base.teams().remove(team))
                        .withKeys(
                                base.keys().filterValues(grant -> !grant.team().equals(team))))
                : missing("team", team.value());
    }

    /** Gives a key to a team, or fails if the team does not exist or another team has the key. */
    private static Either<Failure, Configuration> giveKey(Configuration base, KeyGrant grant) {
        if (!base.teams().containsKey(grant.team())) {
            return missing("team", grant.team().value());
        }
        boolean givenToAnotherTeam = base.keys()
                .get(grant.sha256())
                .exists(existing -> !existing.team().equals(grant.team()));
        return givenToAnotherTeam
                ? conflict("the key is given to another team")
                : Either.right(base.withKeys(base.keys().put(grant.sha256(), grant)));
    }

    /** Removes a service, or fails if it does not exist or has targets. */
    private static Either<Failure, Configuration> removeService(Configuration base, ServiceName service) {
        if (!base.services().containsKey(service)) {
            return missing("service", service.value());
        }
        return base.targets().values().exists(target -> target.service().equals(service))
                ? conflict("the service " + service + " has targets")
                : Either.right(base.withServices(base.services().remove(service)));
    }

    /** Creates or replaces a target, or fails if its service does not exist. */
    private static Either<Failure, Configuration> putTarget(Configuration base, Target target) {
        if (!base.services().containsKey(target.service())) {
            return missing("service", target.service().value());
        }
        return Either.right(base.withTargets(base.targets().put(target.id(), target)));
    }

    /** Removes a member from the view, or fails if the view does not have it. */
    private static Either<Failure, Configuration> removeMember(Configuration base, InstanceId id, long version) {
        return base.view().member(id).isPresent()
                ? Either.right(base.withView(base.view().withoutMember(version, id)))
                : missing("member", id.toString());
    }

    /**
     * Adds a member to a view and removes other incarnations of the same name.
     *
     * @param version The version that the change makes.
     */
    private static View withMember(View view, Member member, long version) {
        View result = view;
        for (InstanceId id : view.ids()) {
            if (id.name().equals(member.id().name()) && !id.equals(member.id())) {
                result = result.withoutMember(version, id);
            }
        }
        return result.withMember(version, member);
    }

    private static List<String> problems(Preset preset) {
        List<String> problems = nameProblems("preset", preset.name());
        require(preset.batchShare() >= 0 && preset.batchShare() <= 1, "batch_share must be from 0 to 1", problems);
        require(
                preset.onlineReserve() >= 0 && preset.onlineReserve() <= 1,
                "online_reserve must be from 0 to 1",
                problems);
        require(isFinitePositive(preset.rateFactor()), "rate_factor must be above 0", problems);
        require(isFinitePositive(preset.loadsPerMinute()), "loads_per_minute must be above 0", problems);
        preset.engines().forEach((target, engine) -> problems.addAll(problems(target, engine)));
        return problems;
    }

    private static List<String> problems(TargetId target, EngineState engine) {
        List<String> problems = nameProblems("engines", target.value());
        problems.addAll(nameProblems("model", engine.model()));
        problems.addAll(nameProblems("version", engine.version()));
        problems.addAll(nameProblems("role", engine.role()));
        engine.adapters().forEach(adapter -> problems.addAll(nameProblems("adapters", adapter)));
        return problems;
    }

    private static List<String> problems(Team team) {
        List<String> problems = nameProblems("team", team.id().value());
        require(isFinitePositive(team.ratePerSecond()), "rate_per_second must be above 0", problems);
        require(team.burst() >= 1 && Double.isFinite(team.burst()), "burst must be at least 1", problems);
        require(isFinitePositive(team.weight()), "weight must be above 0", problems);
        return problems;
    }

    private static List<String> problems(Target target) {
        List<String> problems = nameProblems("target", target.id().value());
        problems.addAll(nameProblems("domain", target.domain().value()));
        require(target.capacity() >= 1, "capacity must be at least 1", problems);
        require(
                target.coldCapacity() >= 1 && target.coldCapacity() <= target.capacity(),
                "cold_capacity must be from 1 to capacity",
                problems);
        require(target.warmUpMillis() >= 0, "warm_up_ms must be at least 0", problems);
        require(target.address().port() > 0, "address must have a port above 0", problems);
        return problems;
    }

    /**
     * Returns a mutable list with the problem of a name, or an empty one if the name is valid.
     *
     * @param label The field that has the name.
     */
    private static List<String> nameProblems(String label, String name) {
        List<String> problems = new ArrayList<>();
        require(
                NAME.matcher(name).matches(),
                label + " must be a name of 1 to 64 letters, digits, dots, dashes and underscores",
                problems);
        return problems;
    }

    /** Returns a mutable list with the problem of the SHA-256 of a key, or an empty one if it is valid. */
    private static List<String> shaProblems(String sha256) {
        List<String> problems = new ArrayList<>();
        require(SHA_256.matcher(sha256).matches(), "sha256 must be 64 lower-case hexadecimal digits", problems);
        return problems;
    }

    /** Returns whether a number is finite and above 0. */
    private static boolean isFinitePositive(double value) {
        return value > 0 && Double.isFinite(value);
    }

    /** Adds a problem to a list unless a condition holds. */
    private static void require(boolean condition, String problem, List<String> problems) {
        if (!condition) {
            problems.add(problem);
        }
    }

    /** Returns a failure for a change that is malformed. */
    private static Either<Failure, Configuration> invalid(String detail) {
        return Either.left(Failure.notRun(Failure.Kind.INVALID, STEP, Failure.LOCAL, detail));
    }

    /** Returns a failure for a change that the current configuration rules out. */
    private static Either<Failure, Configuration> conflict(String detail) {
        return Either.left(Failure.notRun(Failure.Kind.CONFLICT, STEP, Failure.LOCAL, detail));
    }

    /** Returns a failure for a change that refers to something that does not exist. */
    private static Either<Failure, Configuration> missing(String label, String name) {
        return Either.left(
                Failure.notRun(Failure.Kind.NOT_FOUND, STEP, Failure.LOCAL, "there is no " + label + " " + name));
    }
}
