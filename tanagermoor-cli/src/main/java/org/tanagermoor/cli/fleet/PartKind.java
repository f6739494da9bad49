package org.tanagermoor.cli.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import java.util.List;
import org.tanagermoor.kernel.setting.Address;
import org.tanagermoor.policy.configuration.Change;
import org.tanagermoor.policy.configuration.ChangeRules;
import org.tanagermoor.policy.configuration.Preset;
import org.tanagermoor.policy.configuration.Service;
import org.tanagermoor.policy.configuration.Target;
import org.tanagermoor.policy.configuration.Team;
import org.tanagermoor.policy.fleet.FailureDomain;
import org.tanagermoor.policy.fleet.ServiceName;
import org.tanagermoor.policy.fleet.TargetId;
import org.tanagermoor.policy.fleet.TeamId;

/** The kinds of parts of a declared fleet, in the order in which they are applied. */
enum PartKind {
    SERVICE("service"),

    TARGET("target"),

    TEAM("team"),

    PRESET("preset");

    /** The word for one part, which is also the JSON field with its name. */
    private final String label;

    PartKind(String label) {
        this.label = label;
    }

    String label() {
        return label;
    }

    /** Returns the JSON field that lists the parts, which is also used in the paths of operator requests. */
    String listField() {
        return label + "s";
    }

    /** Returns the fields except the name. */
    List<Field> fields() {
        return switch (this) {
            case SERVICE -> List.of(Field.of("kind", "model"), Field.of("open", false), Field.of("idempotent", true));
            case TARGET ->
                List.of(
                        Field.required("service", Field.Type.TEXT),
                        Field.required("domain", Field.Type.TEXT),
                        Field.required("address", Field.Type.TEXT),
                        Field.required("capacity", Field.Type.WHOLE),
                        Field.of("cold_capacity", 1L),
                        Field.of("warm_up_ms", 30_000L),
                        Field.of("checks_fencing", false));
            case TEAM ->
                List.of(
                        Field.required("rate_per_second", Field.Type.NUMBER),
                        Field.required("burst", Field.Type.NUMBER),
                        Field.of("weight", 1.0));
            case PRESET ->
                List.of(
                        Field.of("batch_share", Preset.ORDINARY.batchShare()),
                        Field.of("online_reserve", Preset.ORDINARY.onlineReserve()),
                        Field.of("rate_factor", Preset.ORDINARY.rateFactor()),
                        Field.of("loads_per_minute", Preset.DEFAULT_LOADS_PER_MINUTE),
                        Field.ofObject("engines"));
        };
    }

    /** Checks a part, whose fields must have the right types, and returns a sentence for each rule that it violates. */
    List<String> problems(String name, JsonNode body) {
        return switch (this) {
            case SERVICE -> serviceProblems(name, body);
            case TARGET -> targetProblems(name, body);
            case TEAM ->
                ChangeRules.problems(new Change.PutTeam(Team.of(
                        TeamId.of(name),
                        body.path("rate_per_second").asDouble(),
                        body.path("burst").asDouble(),
                        body.path("weight").asDouble())));
            case PRESET ->
                ChangeRules.problems(new Change.PutPreset(Preset.of(
                        name,
                        body.path("batch_share").asDouble(),
                        body.path("online_reserve").asDouble(),
                        body.path("rate_factor").asDouble())));
        };
    }

    private static List<String> serviceProblems(String name, JsonNode body) {
        String kind = body.path("kind").asText();
        boolean validKind = kind.equals("model") || kind.equals("plain");
        Service service = Service.of(
                ServiceName.of(name),
                Service.Kind.MODEL,
                body.path("open").asBoolean(),
                body.path("idempotent").asBoolean());
        List<String> ownProblems = validKind ? List.of() : List.of("kind must be model or plain");
        return concatenate(ownProblems, ChangeRules.problems(new Change.PutService(service)));
    }

    private static List<String> targetProblems(String name, JsonNode body) {
        Either<String, Address> address = Address.parse(body.path("address").asText());
        Target target = new Target(
                TargetId.of(name),
                ServiceName.of(body.path("service").asText()),
                FailureDomain.of(body.path("domain").asText()),
                address.getOrElse(Address.of("127.0.0.1", 1)),
                body.path("capacity").asInt(),
                body.path("cold_capacity").asInt(),
                body.path("warm_up_ms").asInt(),
                body.path("checks_fencing").asBoolean());
        List<String> ownProblems = address.isRight() ? List.of() : List.of("address " + address.getLeft());
        return concatenate(ownProblems, ChangeRules.problems(new Change.PutTarget(target)));
    }

    private static List<String> concatenate(List<String> first, List<String> second) {
        return io.vavr.collection.List.ofAll(first).appendAll(second).asJava();
    }
}
