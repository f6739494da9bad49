package org.tanagermoor.http;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.HttpHeaderNames;
import java.util.Locale;
import org.tanagermoor.kernel.failure.Failure;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerResponse;

/** Writes JSON answers and refusals. */
public final class Responses {

    /** The header that says whether a refused request may have been executed: {@code no} or {@code unknown}. */
    public static final String RUN_HEADER = "x-tanagermoor-run";

    private Responses() {}

    /**
     * Writes a JSON answer.
     *
     * @param response The response, whose headers are not sent yet.
     * @param status The HTTP status.
     * @param value The value, as for {@link Json#write}.
     * @return Completes when the response is written.
     */
    public static Mono<Void> json(HttpServerResponse response, int status, Object value) {
        byte[] body = Json.write(value);
        return response.status(status)
                .header(HttpHeaderNames.CONTENT_TYPE, "application/json")
                .header(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(body.length))
                .sendByteArray(Mono.just(body))
                .then();
    }

    /**
     * Refuses a request with the HTTP status and the description of a failure.
     *
     * @param response The response, whose headers are not sent yet.
     * @param failure Why the request is refused.
     * @return Completes when the response is written.
     */
    public static Mono<Void> refusal(HttpServerResponse response, Failure failure) {
        response.header(RUN_HEADER, failure.execution().label());
        return json(response, status(failure.kind()), body(failure));
    }

    /**
     * Describes a failure as the JSON body of a refusal.
     *
     * @param failure Why the request is refused.
     * @return The body.
     */
    public static ObjectNode body(Failure failure) {
        ObjectNode body = Json.mapper().createObjectNode();
        body.putObject("error")
                .put("kind", failure.kind().name().toLowerCase(Locale.ROOT))
                .put("step", failure.step())
                .put("peer", failure.peer())
                .put("message", failure.detail())
                .put("run", failure.execution().label());
        return body;
    }

    /**
     * Returns the HTTP status for a kind of failure.
     *
     * @param kind The kind of failure.
     * @return The status.
     */
    public static int status(Failure.Kind kind) {
        return switch (kind) {
            case INVALID -> 400;
            case UNAUTHENTICATED -> 401;
            case FORBIDDEN -> 403;
            case NOT_FOUND -> 404;
            case CONFLICT -> 409;
            case TOO_LARGE -> 413;
            case RATE_LIMITED -> 429;
            case CANCELLED -> 499;
            case INTERNAL -> 500;
            case CORRUPT -> 502;
            case OVERLOADED, UNAVAILABLE, NO_STANDING -> 503;
            case TIMEOUT -> 504;
        };
    }
}
