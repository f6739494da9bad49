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

/** Parses the bodies of operators' requests into changes. Each method reports all problems of a body together. */
final class ChangeBodies {

    /** Passed as the default of an integer field that has none, so that the field is required. */
    private static final int REQUIRED = -1;

    private ChangeBodies() {}

    /**
     * Parses a preset, with the model engines that it asks for.
     *
     * @param name The name in the path of the request.
     * @param body The JSON body.
     * @return The change, or a failure that lists all problems of the body.
     */
    static Either<Failure, Change> preset(String name, JsonNode body) {
        Fields fields = new Fields(body);
        Preset preset = Preset.of(
                name, fields.number("batch_share"), fields.number("online_reserve"), fields.number("rate_factor"));
        double loads = fields.number("loads_per_minute", Preset.DEFAULT_LOADS_PER_MINUTE);
        return fields.finish(new Change.PutPreset(preset.withEngines(loads, fields.engines("engines"))));
    }

    /**
     * Parses a team, with its rate, burst and weight.
     *
     * @param name The name in the path of the request.
     * @param body The JSON body.
     * @return The change, or a failure that lists all problems of the body.
     */
    static Either<Failure, Change> team(String name, JsonNode body) {
        Fields fields = new Fields(body);
        return fields.finish(new Change.PutTeam(Team.of(
                TeamId.of(name), fields.number("rate_per_second"), fields.number("burst"), fields.number("weight"))));
    }

    /**
     * Parses the SHA-256 of a key that is granted to a team.
     *
     * @param team The team in the path of the request.
     * @param body The JSON body.
     * @return The change, or a failure that lists all problems of the body.
     */
    static Either<Failure, Change> key(String team, JsonNode body) {
        Fields fields = new Fields(body);
        return fields.finish(new Change.GiveKey(KeyGrant.of(fields.text("sha256"), TeamId.of(team))));
    }

    /**
     * Parses a service.
     *
     * @param name The name in the path of the request.
     * @param body The JSON body.
     * @return The change, or a failure that lists all problems of the body.
     */
    static Either<Failure, Change> service(String name, JsonNode body) {
        Fields fields = new Fields(body);
        Service.Kind kind = fields.isFirst("kind", "model", "plain") ? Service.Kind.MODEL : Service.Kind.PLAIN;
        return fields.finish(new Change.PutService(
                Service.of(ServiceName.of(name), kind, fields.flag("open"), fields.flag("idempotent"))));
    }

    /**
     * Parses a target. Without a cold capacity, the capacity applies to a cold target too.
     *
     * @param name The name in the path of the request.
     * @param body The JSON body.
     * @return The change, or a failure that lists all problems of the body.
     */
    static Either<Failure, Change> target(String name, JsonNode body) {
        Fields fields = new Fields(body);
        int capacity = fields.integer("capacity", REQUIRED);
        return fields.finish(new Change.PutTarget(new Target(
                TargetId.of(name),
                ServiceName.of(fields.text("service")),
                FailureDomain.of(fields.text("domain")),
                fields.address("address"),
                capacity,
                fields.integer("cold_capacity", Math.max(1, capacity)),
                fields.integer("warm_up_ms", 0),
                fields.flag("checks_fencing"))));
    }
}
