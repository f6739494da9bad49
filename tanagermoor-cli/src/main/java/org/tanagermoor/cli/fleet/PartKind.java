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

    /** Services. */
    SERVICE("service"),

    /** Targets. */
    TARGET("target"),

    /** Teams. */
    TEAM("team"),

    /** Presets. */
    PRESET("preset");

    /** The word for one part, which is also the field with its name. */
    private final String label;

    /**
     * Creates a kind.
     *
     * @param label The word for one part.
     */
    PartKind(String label) {
        this.label = label;
    }

    /**
     * Returns the word for one part, which is also the field with its name.
     *
     * @return The word for one part.
     */
    String label() {
        return label;
    }

    /**
     * Returns the field of the document that lists the parts, which is also a part of the operators' paths.
     *
     * @return The field.
     */
    String listField() {
        return label + "s";
    }

    /**
     * Returns the fields besides the name.
     *
     * @return The fields.
     */
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

    /**
     * Returns what the rules of the configuration have against a part whose fields are all of the right type.
     *
     * @param name The name of the part.
     * @param body The fields besides the name.
     * @return A sentence for each thing that is wrong.
     */
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

    /**
     * Returns what is wrong with a service.
     *
     * @param name The name.
     * @param body The fields besides the name.
     * @return A sentence for each thing that is wrong.
     */
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

    /**
     * Returns what is wrong with a target.
     *
     * @param name The name.
     * @param body The fields besides the name.
     * @return A sentence for each thing that is wrong.
     */
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

    /**
     * Returns two lists as one.
     *
     * @param first The first list.
     * @param second The second list.
     * @return The elements of both.
     */
    private static List<String> concatenate(List<String> first, List<String> second) {
        return io.vavr.collection.List.ofAll(first).appendAll(second).asJava();
    }
}
