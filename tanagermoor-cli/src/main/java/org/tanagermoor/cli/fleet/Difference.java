package org.tanagermoor.cli.fleet;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Locale;
import org.tanagermoor.cli.client.ToolRequest;
import org.tanagermoor.http.Json;

/**
 * A difference between a declared fleet and the configuration that is in force.
 *
 * @param action What is to be done.
 * @param subject What it is done to, as the kind and the name.
 * @param fields The fields that change, each with its values before and after.
 * @param request The request that does it.
 */
public record Difference(Action action, String subject, String fields, ToolRequest request) {

    /** The type of JSON bodies. */
    private static final String JSON = "application/json";

    /**
     * Returns the difference of a part.
     *
     * @param action What is to be done.
     * @param part The part.
     * @param fields The fields that change.
     * @return A difference.
     */
    static Difference of(Action action, Part part, String fields) {
        String path = "/operator/" + part.kind().listField() + "/" + ToolRequest.encodePart(part.name());
        ToolRequest request = ToolRequest.of("PUT", path).withBody(JSON, Json.write(part.body()));
        return new Difference(action, part.kind().label() + " " + part.name(), fields, request);
    }

    /**
     * Returns the difference of the preset in force.
     *
     * @param before The preset that is in force.
     * @param after The preset that is to be in force.
     * @return A difference.
     */
    static Difference ofPresetInForce(String before, String after) {
        ToolRequest request = ToolRequest.of("POST", "/operator/presets/" + ToolRequest.encodePart(after) + "/activate");
        return new Difference(Action.ACTIVATE, "preset " + after, "in force: " + before + " -> " + after, request);
    }

    /**
     * Writes this difference.
     *
     * @return An object.
     */
    public ObjectNode toJson() {
        return Json.mapper()
                .createObjectNode()
                .put("action", action.label())
                .put("what", subject)
                .put("fields", fields);
    }

    /** What is to be done. */
    public enum Action {

        /** The part is not there yet. */
        CREATE,

        /** The part differs. */
        CHANGE,

        /** The preset is to be in force. */
        ACTIVATE;

        /**
         * Returns the word for this action.
         *
         * @return The word for this action.
         */
        String label() {
            return name().toLowerCase(Locale.ROOT);
        }
    }
}
