package org.tanagermoor.control;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.policy.configuration.Change;
import org.tanagermoor.policy.configuration.KeyGrant;
import org.tanagermoor.policy.configuration.Preset;
import org.tanagermoor.policy.configuration.Service;
import org.tanagermoor.policy.configuration.Target;
import org.tanagermoor.policy.configuration.Team;
import org.tanagermoor.policy.fleet.FailureDomain;
import org.tanagermoor.policy.fleet.ServiceName;
import org.tanagermoor.policy.fleet.TargetId;
import org.tanagermoor.policy.fleet.TeamId;

/** Reads changes from the bodies of requests. Each method names everything that is wrong at once. */
final class ChangeBodies {

    /** The number that stands for a whole number without a fallback. */
    private static final int REQUIRED = -1;

    /** There are no instances. */
    private ChangeBodies() {}

    /**
     * Reads a preset.
     *
     * @param name The name from the path.
     * @param body The body.
     * @return The change or a failure.
     */
    static Either<Failure, Change> preset(String name, JsonNode body) {
        Fields fields = new Fields(body);
        Preset preset = Preset.of(
                name, fields.number("batch_share"), fields.number("online_reserve"), fields.number("rate_factor"));
        double loads = fields.number("loads_per_minute", Preset.DEFAULT_LOADS_PER_MINUTE);
        return fields.end(new Change.PutPreset(preset.withEngines(loads, fields.engines("engines"))));
    }

    /**
     * Reads a team.
     *
     * @param name The name from the path.
     * @param body The body.
     * @return The change or a failure.
     */
    static Either<Failure, Change> team(String name, JsonNode body) {
        Fields fields = new Fields(body);
        return fields.end(new Change.PutTeam(Team.of(
                TeamId.of(name), fields.number("rate_per_second"), fields.number("burst"), fields.number("weight"))));
    }

    /**
     * Reads a key.
     *
     * @param team The team from the path.
     * @param body The body.
     * @return The change or a failure.
     */
    static Either<Failure, Change> key(String team, JsonNode body) {
        Fields fields = new Fields(body);
        return fields.end(new Change.GiveKey(KeyGrant.of(fields.text("sha256"), TeamId.of(team))));
    }

    /**
     * Reads a service.
     *
     * @param name The name from the path.
     * @param body The body.
     * @return The change or a failure.
     */
    static Either<Failure, Change> service(String name, JsonNode body) {
        Fields fields = new Fields(body);
        Service.Kind kind = fields.either("kind", "model", "plain") ? Service.Kind.MODEL : Service.Kind.PLAIN;
        return fields.end(new Change.PutService(
                Service.of(ServiceName.of(name), kind, fields.flag("open"), fields.flag("idempotent"))));
    }

    /**
     * Reads a target.
     *
     * @param name The name from the path.
     * @param body The body.
     * @return The change or a failure.
     */
    static Either<Failure, Change> target(String name, JsonNode body) {
        Fields fields = new Fields(body);
        int capacity = fields.whole("capacity", REQUIRED);
        return fields.end(new Change.PutTarget(new Target(
                TargetId.of(name),
                ServiceName.of(fields.text("service")),
                FailureDomain.of(fields.text("domain")),
                fields.address("address"),
                capacity,
                fields.whole("cold_capacity", Math.max(1, capacity)),
                fields.whole("warm_up_ms", 0),
                fields.flag("checks_fencing"))));
    }
}
