package org.tanagermoor.cli.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.tanagermoor.http.Json;

/**
 * A fleet as an operator declares it. Parts that it does not name are left unchanged; keys are managed by separate
 * commands.
 *
 * @param parts The services, targets, teams and presets, in the order in which they are applied.
 * @param presetInForce The preset to put in force; empty to leave it unchanged.
 */
public record DeclaredFleet(List<Part> parts, String presetInForce) {

    /** The JSON field with the preset to put in force. */
    static final String PRESET_IN_FORCE = "preset_in_force";

    /** The message for a field that is not known. */
    private static final String UNKNOWN_FIELD = " is not a known field";

    /**
     * Reads a declared fleet.
     *
     * @return The fleet, or a sentence for each problem found.
     */
    public static Either<List<String>, DeclaredFleet> of(JsonNode document) {
        if (!document.isObject()) {
            return Either.left(List.of("the file must hold a JSON object"));
        }
        List<String> problems = new ArrayList<>(unknownFields(document));
        List<Part> parts = new ArrayList<>();
        for (PartKind kind : PartKind.values()) {
            readList(kind, document.path(kind.listField()), parts, problems);
        }
        JsonNode preset = document.path(PRESET_IN_FORCE);
        if (!preset.isMissingNode() && !preset.isTextual()) {
            problems.add(PRESET_IN_FORCE + " must be a text");
        }
        return problems.isEmpty()
                ? Either.right(new DeclaredFleet(List.copyOf(parts), preset.asText("")))
                : Either.left(List.copyOf(problems));
    }

    boolean declares(PartKind kind, String name) {
        return parts.stream()
                .anyMatch(part -> part.kind() == kind && part.name().equals(name));
    }

    private static List<String> unknownFields(JsonNode document) {
        Set<String> known = new HashSet<>(Set.of(PRESET_IN_FORCE));
        for (PartKind kind : PartKind.values()) {
            known.add(kind.listField());
        }
        return findUnknownFields(document, known, "");
    }

    /** Reads the parts of a kind from a list, which may be missing, and adds them and any problems found. */
    private static void readList(PartKind kind, JsonNode list, List<Part> parts, List<String> problems) {
        if (!list.isMissingNode() && !list.isArray()) {
            problems.add(kind.listField() + " must be a list");
            return;
        }
        Set<String> names = new HashSet<>();
        for (int index = 0; index < list.size(); index++) {
            JsonNode entry = list.path(index);
            JsonNode name = entry.path(kind.label());
            String location =
                    kind.listField() + "[" + index + "]" + (name.isTextual() ? " " + name.asText() : "") + ": ";
            if (!entry.isObject()) {
                problems.add(location + "must be an object");
            } else if (!name.isTextual()) {
                problems.add(location + kind.label() + " must be a text");
            } else if (!names.add(name.asText())) {
                problems.add(location + "is declared twice");
            } else {
                readPart(kind, entry, location, problems).peek(parts::add);
            }
        }
    }

    /**
     * Reads a part and fills in the default values. Rules are not reported for fields that have the wrong type.
     *
     * @param location The location of the part in the document, for messages.
     * @return The part, or nothing if there are problems.
     */
    private static io.vavr.control.Option<Part> readPart(
            PartKind kind, JsonNode entry, String location, List<String> problems) {
        Set<String> known = new HashSet<>(Set.of(kind.label()));
        Set<String> mistypedFields = new HashSet<>();
        List<String> partProblems = new ArrayList<>();
        ObjectNode body = Json.mapper().createObjectNode();
        for (Field field : kind.fields()) {
            known.add(field.name());
            JsonNode value = entry.has(field.name()) ? entry.path(field.name()) : field.defaultValue();
            body.set(field.name(), value);
            if (!field.type().accepts(value)) {
                mistypedFields.add(field.name());
                partProblems.add(location + field.name() + " " + field.type().requirement());
            }
        }
        partProblems.addAll(findUnknownFields(entry, known, location));
        String name = entry.path(kind.label()).asText();
        kind.problems(name, body).stream()
                .filter(problem -> Set.of(problem.split(" ", 2)[0]).stream().noneMatch(mistypedFields::contains))
                .forEach(problem -> partProblems.add(location + problem));
        problems.addAll(partProblems);
        return partProblems.isEmpty()
                ? io.vavr.control.Option.some(new Part(kind, name, body))
                : io.vavr.control.Option.none();
    }

    /** Returns a sentence for each field of an object that is not among the known names. */
    private static List<String> findUnknownFields(JsonNode object, Set<String> known, String location) {
        List<String> problems = new ArrayList<>();
        object.fieldNames().forEachRemaining(name -> {
            if (!known.contains(name)) {
                problems.add(location + name + UNKNOWN_FIELD);
            }
        });
        return problems;
    }
}
