package org.tanagermoor.online.endpoint;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import org.tanagermoor.http.Json;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.online.attempt.Payload;
import org.tanagermoor.policy.fleet.ServiceName;

/**
 * A request for a completion.
 *
 * @param model The service.
 * @param stream Whether the caller wants a stream.
 * @param payload What goes to the target, of which a stream is asked in any case, as only streams can be resumed.
 */
record CompletionRequest(ServiceName model, boolean stream, Payload payload) {

    /** The path at targets. */
    private static final String PATH = "/v1/completions";

    /** The characters of a prompt by which requests prefer the same target. */
    private static final int AFFINITY_CHARACTERS = 256;

    /**
     * Reads a request.
     *
     * @param body The body.
     * @return The request, or a failure of kind {@link Failure.Kind#INVALID}.
     */
    static Either<Failure, CompletionRequest> read(JsonNode body) {
        if (!(body instanceof ObjectNode object)) {
            return invalid("the body is no JSON object");
        }
        if (!body.path("model").isTextual() || !body.path("prompt").isTextual()) {
            return invalid("model and prompt must be texts");
        }
        JsonNode tokens = body.path("max_tokens");
        if (!tokens.isMissingNode() && !(tokens.isInt() && tokens.asInt() > 0)) {
            return invalid("max_tokens must be a whole number above 0");
        }
        String prompt = body.path("prompt").asText();
        ObjectNode targetBody = object.deepCopy().put("stream", true);
        Payload payload = new Payload(
                "POST",
                PATH,
                "application/json",
                Json.write(targetBody),
                prompt.substring(0, Math.min(AFFINITY_CHARACTERS, prompt.length())));
        boolean stream = body.path("stream").asBoolean();
        return Either.right(new CompletionRequest(ServiceName.of(body.path("model").asText()), stream, payload));
    }

    /**
     * Returns a failure of a malformed request.
     *
     * @param detail What is wrong.
     * @return The failure.
     */
    private static Either<Failure, CompletionRequest> invalid(String detail) {
        return Either.left(Failure.notRun(Failure.Kind.INVALID, "admission.body", Failure.LOCAL, detail));
    }
}
