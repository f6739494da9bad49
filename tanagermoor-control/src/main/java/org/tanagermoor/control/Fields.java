package org.tanagermoor.control;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Map.Entry;
import java.util.Set;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.kernel.setting.Address;
import org.tanagermoor.policy.configuration.Change;
import org.tanagermoor.policy.configuration.ChangeRules;
import org.tanagermoor.policy.configuration.EngineState;
import org.tanagermoor.policy.fleet.TargetId;

/**
 * Reads the fields of a JSON object and collects all problems. Reading continues after a problem with a placeholder for
 * the value, so that one answer lists every problem.
 */
final class Fields {

    /** The step of the failures that are returned. */
    private static final String STEP = "control.body";

    private final JsonNode object;

    /** The names of the fields that were read; all other fields of the object are unknown. */
    private final Set<String> known = new HashSet<>();

    /** The names of the invalid fields. */
    private final Set<String> invalid = new HashSet<>();

    /** One sentence for each problem. */
    private final List<String> problems = new ArrayList<>();

    /**
     * Creates a reader. A value that is not an object is a problem.
     *
     * @param object The JSON value to read.
     */
    Fields(JsonNode object) {
        this.object = object;
        if (!object.isObject()) {
            problems.add("the body must be a JSON object");
        }
    }

    /**
     * Reads a required text.
     *
     * @return The text, or an empty one if the field is missing or invalid.
     */
    String text(String name) {
        JsonNode value = field(name);
        if (!value.isTextual()) {
            return invalid(name, "must be a text", "");
        }
        return value.asText();
    }

    /**
     * Reads a required number.
     *
     * @return The number, or {@code NaN} if the field is missing or invalid.
     */
    double number(String name) {
        JsonNode value = field(name);
        return value.isNumber() ? value.asDouble() : invalid(name, "must be a number", Double.NaN);
    }

    /**
     * Reads an optional number.
     *
     * @param fallback The number to use if the field is missing.
     * @return The number, or {@code NaN} if the field is invalid.
     */
    double number(String name, double fallback) {
        return field(name).isMissingNode() ? fallback : number(name);
    }

    /**
     * Reads the requested states of model engines from an optional object, whose names are those of the targets.
     *
     * @return The states by target, with placeholders for invalid values; empty if the field is missing or no object.
     */
    Map<TargetId, EngineState> engines(String name) {
        Map<TargetId, EngineState> engines = HashMap.empty();
        JsonNode value = field(name);
        if (!value.isMissingNode() && !value.isObject()) {
            return invalid(name, "must be an object", engines);
        }
        for (Entry<String, JsonNode> entry : value.properties()) {
            Fields engine = new Fields(entry.getValue());
            engines = engines.put(TargetId.of(entry.getKey()), engine.engine());
            engine.reportUnknownFields();
            invalid.addAll(engine.invalid);
            engine.problems.forEach(problem -> problems.add(name + "." + entry.getKey() + " " + problem));
        }
        return engines;
    }

    /**
     * Reads the requested state of a model engine from this object.
     */
    private EngineState engine() {
        List<String> adapters = new ArrayList<>();
        JsonNode value = field("adapters");
        value.forEach(adapter -> adapters.add(adapter.asText()));
        if (!value.isMissingNode() && !value.isArray()) {
            invalid("adapters", "must be a list", adapters);
        }
        return EngineState.of(text("model"), text("version"), adapters, text("role"));
    }

    /** Adds a problem for each field that was not read. */
    private void reportUnknownFields() {
        object.fieldNames().forEachRemaining(name -> {
            if (!known.contains(name)) {
                problems.add(name + " is not a known field");
            }
        });
    }

    /**
     * Reads an integer.
     *
     * @param fallback The number to use if the field is missing; negative if the field is required.
     * @return The number, or the fallback if the field is missing or invalid.
     */
    int integer(String name, int fallback) {
        JsonNode value = field(name);
        if (value.isMissingNode() && fallback >= 0) {
            return fallback;
        }
        boolean integer = value.isIntegralNumber() && value.canConvertToInt();
        return integer ? value.asInt() : invalid(name, "must be a whole number", fallback);
    }

    /**
     * Reads an optional boolean.
     *
     * @return The value; {@code false} if the field is missing or invalid.
     */
    boolean flag(String name) {
        JsonNode value = field(name);
        if (value.isMissingNode() || value.isBoolean()) {
            return value.asBoolean();
        }
        return invalid(name, "must be true or false", false);
    }

    /**
     * Reads a required field that must hold one of two words.
     *
     * @param first The first word.
     * @param second The second word.
     * @return {@code true} for the first word, or if the field is missing or invalid.
     */
    boolean isFirst(String name, String first, String second) {
        String text = field(name).asText();
        if (!text.equals(first) && !text.equals(second)) {
            return invalid(name, "must be " + first + " or " + second, true);
        }
        return text.equals(first);
    }

    /**
     * Reads a required address.
     *
     * @return The address, or a placeholder with port 0 if the field is missing or invalid.
     */
    Address address(String name) {
        Either<String, Address> address = Address.parse(field(name).asText());
        return address.isRight() ? address.get() : invalid(name, address.getLeft(), Address.of("0.0.0.0", 0));
    }

    /**
     * Completes the reading: checks for unknown fields and applies the rules of the change. Violations that mention an
     * invalid field are left out, since its placeholder caused them.
     *
     * @param change The change with the values that were read.
     * @return The change, or a failure that lists all problems.
     */
    Either<Failure, Change> finish(Change change) {
        reportUnknownFields();
        ChangeRules.problems(change).stream()
                .filter(problem -> Collections.disjoint(List.of(problem.split(" ")), invalid))
                .forEach(problems::add);
        return problems.isEmpty()
                ? Either.right(change)
                : Either.left(Failure.notRun(Failure.Kind.INVALID, STEP, Failure.LOCAL, String.join("; ", problems)));
    }

    /**
     * Returns the value of a field, which may be a missing node, and marks the field as known.
     */
    private JsonNode field(String name) {
        known.add(name);
        return object.path(name);
    }

    /**
     * Marks a field as invalid and adds the problem.
     *
     * @param <T> The type of the value.
     * @param problem The problem, without the name of the field.
     * @param placeholder The value with which reading continues.
     * @return The placeholder.
     */
    private <T> T invalid(String name, String problem, T placeholder) {
        invalid.add(name);
        problems.add(name + " " + problem);
        return placeholder;
    }
}
