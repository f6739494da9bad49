package org.tanagermoor.cli.fleet;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Locale;
import org.tanagermoor.cli.client.ToolRequest;
import org.tanagermoor.http.Json;

/**
 * A difference between a declared fleet and the configuration in force.
 *
 * @param action The change to make.
 * @param subject The kind and name of the part to change.
 * @param fields The fields that change, each with its values before and after.
 * @param request The request that makes the change.
 */
public record Difference(Action action, String subject, String fields, ToolRequest request) {

    private static final String JSON = "application/json";

    static Difference of(Action action, Part part, String fields) {
        String path = "/operator/" + part.kind().listField() + "/" + ToolRequest.encodePart(part.name());
        ToolRequest request = ToolRequest.of("PUT", path).withBody(JSON, Json.write(part.body()));
        return new Difference(action, part.kind().label() + " " + part.name(), fields, request);
    }

    static Difference ofPresetInForce(String before, String after) {
        ToolRequest request =
                ToolRequest.of("POST", "/operator/presets/" + ToolRequest.encodePart(after) + "/activate");
        return new Difference(Action.ACTIVATE, "preset " + after, "in force: " + before + " -> " + after, request);
    }

    /** Returns this difference as a JSON object, without its request. */
    public ObjectNode toJson() {
        return Json.mapper()
                .createObjectNode()
                .put("action", action.label())
                .put("what", subject)
                .put("fields", fields);
    }

    /** The change that removes a difference. */
    public enum Action {

        /** Creates a part that does not exist yet. */
        CREATE,

        /** Replaces a part that differs. */
        CHANGE,

        /** Puts a preset in force. */
        ACTIVATE;

        String label() {
            return name().toLowerCase(Locale.ROOT);
        }
    }
}
