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
 * @param model The name of the service.
 * @param stream Whether the caller wants a stream.
 * @param payload The request for the target. It always asks for a stream, because only streams can be resumed.
 */
record CompletionRequest(ServiceName model, boolean stream, Payload payload) {

    /** The path of completions at targets. */
    private static final String PATH = "/v1/completions";

    /** The length of the prefix of a prompt; requests with the same prefix prefer the same target. */
    private static final int AFFINITY_CHARACTERS = 256;

    /**
     * Parses and validates the body of a request.
     *
     * @return The request, or a failure of kind {@link Failure.Kind#INVALID}.
     */
    static Either<Failure, CompletionRequest> read(JsonNode body) {
        if (!(body instanceof ObjectNode object)) {
            return invalid("the body is not a JSON object");
        }
        if (!body.path("model").isTextual() || !body.path("prompt").isTextual()) {
            return invalid("model and prompt must be strings");
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
        return Either.right(
                new CompletionRequest(ServiceName.of(body.path("model").asText()), stream, payload));
    }

    private static Either<Failure, CompletionRequest> invalid(String detail) {
        return Either.left(Failure.notRun(Failure.Kind.INVALID, "admission.body", Failure.LOCAL, detail));
    }
}
