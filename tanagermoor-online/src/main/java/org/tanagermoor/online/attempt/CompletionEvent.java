package org.tanagermoor.online.attempt;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.tanagermoor.http.Json;
import org.tanagermoor.kernel.failure.Execution;

/**
 * One event of a stream of tokens.
 *
 * @param id The completion id that the event carries.
 * @param text The text of the token.
 * @param reason The finish reason of the completion; empty until it ends.
 */
public record CompletionEvent(String id, String text, String reason) {

    /**
     * Parses an event.
     *
     * @param step The step that a failure names.
     * @param bytes The data of the event.
     * @return The event; absent fields are empty.
     * @throws org.tanagermoor.kernel.failure.FailureException If the data is not JSON; its execution is unknown, as the
     *     request may have run.
     */
    public static CompletionEvent read(String step, byte[] bytes) {
        JsonNode event = Json.read(step, bytes)
                .getOrElseThrow(
                        failure -> failure.withExecution(Execution.UNKNOWN).asException());
        JsonNode choice = event.path("choices").path(0);
        return new CompletionEvent(
                event.path("id").asText(),
                choice.path("text").asText(),
                choice.path("finish_reason").asText(""));
    }

    /**
     * Builds one document from the content of a complete stream.
     *
     * @param id The completion id.
     * @param text The text of all tokens.
     * @param reason The finish reason; empty for none.
     * @return The document.
     */
    public static ObjectNode document(String id, String text, String reason) {
        ObjectNode document = Json.mapper().createObjectNode().put("id", id);
        document.putArray("choices")
                .addObject()
                .put("index", 0)
                .put("text", text)
                .put("finish_reason", reason.isEmpty() ? null : reason);
        return document;
    }
}
