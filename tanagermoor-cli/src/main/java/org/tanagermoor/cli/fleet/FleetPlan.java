package org.tanagermoor.cli.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What is to be done so that a configuration is as declared.
 *
 * @param version The version of the configuration that was compared.
 * @param differences The differences, in the order in which they are applied.
 * @param undeclared The parts that are in force and not declared; they are left as they are.
 */
public record FleetPlan(long version, List<Difference> differences, List<String> undeclared) {

    /**
     * Compares a declared fleet with a configuration.
     *
     * @param fleet The declared fleet.
     * @param configuration The configuration, as instances write it.
     * @return The plan, or a sentence for each name that neither the fleet nor the configuration has.
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

    /**
     * Returns the parts of a kind that a configuration has.
     *
     * @param kind The kind.
     * @param configuration The configuration.
     * @return The parts by name.
     */
    private static Map<String, JsonNode> byName(PartKind kind, JsonNode configuration) {
        Map<String, JsonNode> result = new HashMap<>();
        configuration
                .path(kind.listField())
                .forEach(part -> result.put(part.path(kind.label()).asText(), part));
        return result;
    }

    /**
     * Returns the names to which a fleet refers and that nothing has.
     *
     * @param fleet The declared fleet.
     * @param current The parts that are in force.
     * @return A sentence for each name.
     */
    private static List<String> findMissingReferences(DeclaredFleet fleet, Map<PartKind, Map<String, JsonNode>> current) {
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

    /**
     * Returns whether a part is declared or in force.
     *
     * @param kind The kind.
     * @param name The name.
     * @param fleet The declared fleet.
     * @param current The parts that are in force.
     * @return Whether it is.
     */
    private static boolean isDeclaredOrCurrent(
            PartKind kind, String name, DeclaredFleet fleet, Map<PartKind, Map<String, JsonNode>> current) {
        return fleet.declares(kind, name)
                || current.getOrDefault(kind, Map.of()).containsKey(name);
    }

    /**
     * Compares a part with the one that is in force.
     *
     * @param part The part.
     * @param current The parts that are in force.
     * @return The difference, if there is one.
     */
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

    /**
     * Returns a value as it is printed.
     *
     * @param value The value.
     * @return The text of a simple value, or an object as JSON.
     */
    private static String text(JsonNode value) {
        return value.isValueNode() ? value.asText() : value.toString();
    }
}
