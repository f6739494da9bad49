package org.tanagermoor.cli.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The changes that make a configuration match a declared fleet.
 *
 * @param version The version of the configuration that was compared.
 * @param differences The differences, in the order in which they are applied.
 * @param undeclared The parts that are in force but not declared; they are left unchanged.
 */
public record FleetPlan(long version, List<Difference> differences, List<String> undeclared) {

    /**
     * Compares a declared fleet with a configuration.
     *
     * @param configuration The configuration, as an instance returns it.
     * @return The plan, or a sentence for each reference to a name that neither the fleet nor the configuration has.
     */
    public static Either<List<String>, FleetPlan> of(DeclaredFleet fleet, JsonNode configuration) {
        List<Difference> differences = new ArrayList<>();
        List<String> undeclared = new ArrayList<>();
        Map<PartKind, Map<String, JsonNode>> current = new HashMap<>();
        for (PartKind kind : PartKind.values()) {
            current.put(kind, byName(kind, configuration));
        }
        List<String> problems = findMissingReferences(fleet, current);
        if (!problems.isEmpty()) {
            return Either.left(problems);
        }
        fleet.parts().forEach(part -> compare(part, current).forEach(differences::add));
        current.forEach((kind, parts) -> parts.keySet().stream()
                .filter(name -> !fleet.declares(kind, name))
                .forEach(name -> undeclared.add(kind.label() + " " + name)));
        String inForce = configuration.path(DeclaredFleet.PRESET_IN_FORCE).asText();
        if (!fleet.presetInForce().isEmpty() && !fleet.presetInForce().equals(inForce)) {
            differences.add(Difference.ofPresetInForce(inForce, fleet.presetInForce()));
        }
        return Either.right(new FleetPlan(
                configuration.path("version").asLong(),
                List.copyOf(differences),
                undeclared.stream().sorted().toList()));
    }

    private static Map<String, JsonNode> byName(PartKind kind, JsonNode configuration) {
        Map<String, JsonNode> result = new HashMap<>();
        configuration
                .path(kind.listField())
                .forEach(part -> result.put(part.path(kind.label()).asText(), part));
        return result;
    }

    /** Returns a sentence for each name that the fleet refers to and that is neither declared nor in force. */
    private static List<String> findMissingReferences(
            DeclaredFleet fleet, Map<PartKind, Map<String, JsonNode>> current) {
        List<String> problems = new ArrayList<>();
        for (Part part : fleet.parts()) {
            String service = part.body().path("service").asText();
            if (part.kind() == PartKind.TARGET && !isDeclaredOrCurrent(PartKind.SERVICE, service, fleet, current)) {
                problems.add("target " + part.name() + ": there is no service " + service);
            }
        }
        String preset = fleet.presetInForce();
        if (!preset.isEmpty() && !isDeclaredOrCurrent(PartKind.PRESET, preset, fleet, current)) {
            problems.add(DeclaredFleet.PRESET_IN_FORCE + ": there is no preset " + preset);
        }
        return problems;
    }

    private static boolean isDeclaredOrCurrent(
            PartKind kind, String name, DeclaredFleet fleet, Map<PartKind, Map<String, JsonNode>> current) {
        return fleet.declares(kind, name)
                || current.getOrDefault(kind, Map.of()).containsKey(name);
    }

    /** Compares a part with the one in force; the result is empty or holds one difference. */
    private static List<Difference> compare(Part part, Map<PartKind, Map<String, JsonNode>> current) {
        JsonNode before = current.getOrDefault(part.kind(), Map.of()).get(part.name());
        List<String> fields = new ArrayList<>();
        for (Field field : part.kind().fields()) {
            JsonNode after = part.body().path(field.name());
            if (before == null) {
                fields.add(field.name() + ": " + text(after));
            } else if (!field.type().equal(before.path(field.name()), after)) {
                fields.add(field.name() + ": " + text(before.path(field.name())) + " -> " + text(after));
            }
        }
        Difference.Action action = before == null ? Difference.Action.CREATE : Difference.Action.CHANGE;
        return fields.isEmpty() ? List.of() : List.of(Difference.of(action, part, String.join(", ", fields)));
    }

    /** Returns a simple value as text and any other value as JSON. */
    private static String text(JsonNode value) {
        return value.isValueNode() ? value.asText() : value.toString();
    }
}
