package org.tanagermoor.standin.target;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpHeaderNames;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.concurrent.atomic.AtomicReference;
import org.jspecify.annotations.Nullable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerResponse;

/** Writes the answers of a stand-in target, whole or struck by a fault. */
final class AnswerWriter {

    /** The header with the identity of the exchange. */
    static final String ID = "x-request-id";

    /** The mapper. */
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Lets faults strike. */
    private final FaultInjector injector;

    /**
     * Creates a writer.
     *
     * @param injector Lets faults strike.
     */
    AnswerWriter(FaultInjector injector) {
        this.injector = injector;
    }

    /**
     * Returns a new JSON document.
     *
     * @return A new JSON document.
     */
    static ObjectNode document() {
        return MAPPER.createObjectNode();
    }

    /**
     * Writes a JSON document.
     *
     * @param response The response.
     * @param status The status.
     * @param document The document.
     * @param fault The fault that strikes the answer, or {@code null}.
     * @return Completes when the answer is written.
     */
    Mono<Void> json(HttpServerResponse response, int status, Object document, @Nullable Fault fault) {
        byte[] body = bytes(document);
        HttpServerResponse prepared = response.status(status)
                .header(HttpHeaderNames.CONTENT_TYPE, "application/json")
                .header(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(body.length));
        if (fault == null || fault.stage().compareTo(Fault.Stage.STREAM) < 0) {
            return prepared.sendByteArray(Mono.just(body)).then();
        }
        int sent = fault.stage() == Fault.Stage.LAST ? body.length - 1 : body.length / 2;
        Flux<ByteBuf> pieces = Flux.just(Unpooled.wrappedBuffer(Arrays.copyOf(body, sent)))
                .concatWith(interrupted(fault, response)
                        .thenReturn(Unpooled.wrappedBuffer(body, sent, body.length - sent)));
        return prepared.send(pieces, ignored -> true).then();
    }

    /**
     * Writes the tokens of a completion as a stream of events.
     *
     * @param response The response.
     * @param generation The completion.
     * @param from The number of the first token.
     * @param fault The fault that strikes the answer, or {@code null}.
     * @return Completes when the answer is written.
     */
    Mono<Void> stream(HttpServerResponse response, Generation generation, int from, @Nullable Fault fault) {
        Flux<ByteBuf> events = generation
                .tokens(from)
                .concatMap(number -> event(response, generation, from, number, fault), 1)
                .concatWith(Mono.defer(() -> done(response, generation, fault)));
        return response.header(HttpHeaderNames.CONTENT_TYPE, "text/event-stream")
                .send(events, ignored -> true)
                .then();
    }

    /**
     * Returns the event of a token.
     *
     * @param response The response.
     * @param generation The completion.
     * @param from The number of the first token.
     * @param number The number of the token.
     * @param fault The fault that strikes the answer, or {@code null}.
     * @return The event.
     */
    private Mono<ByteBuf> event(
            HttpServerResponse response, Generation generation, int from, int number, @Nullable Fault fault) {
        String id = generation.entry().id();
        boolean last = number == generation.tokens() - 1;
        if (fault == null || !strikes(fault, number - from, last)) {
            return Mono.just(event(id, number, generation.text(number), last));
        }
        if (fault.kind() == Fault.Kind.CROSSED) {
            return Mono.just(event("other-" + id, number, "crossed", last));
        }
        return fault.stage() == Fault.Stage.STREAM
                ? interrupted(fault, response)
                        .then(Mono.fromSupplier(() -> event(id, number, generation.text(number), last)))
                : Mono.just(event(id, number, generation.text(number), last));
    }

    /**
     * Returns whether a fault strikes at a token.
     *
     * @param fault The fault.
     * @param sent The number of tokens that were sent.
     * @param last Whether the token is the last one.
     * @return Whether the fault strikes there.
     */
    private static boolean strikes(Fault fault, int sent, boolean last) {
        return switch (fault.stage()) {
            case STREAM -> fault.kind() == Fault.Kind.CROSSED ? sent >= fault.after() : sent == fault.after();
            case LAST -> last;
            case CONNECT, RECEIVED, EXECUTED -> false;
        };
    }

    /**
     * Returns the end of a stream of events, unless the completion was aborted.
     *
     * @param response The response.
     * @param generation The completion.
     * @param fault The fault that strikes the answer, or {@code null}.
     * @return The end.
     */
    private Mono<ByteBuf> done(HttpServerResponse response, Generation generation, @Nullable Fault fault) {
        if (generation.isAborted()) {
            return injector.strike(Fault.Kind.TRUNCATION, channel(response));
        }
        Mono<ByteBuf> end = Mono.fromSupplier(() -> text("data: [DONE]\n\n"));
        return fault != null && fault.stage() == Fault.Stage.LAST
                ? interrupted(fault, response).then(end)
                : end;
    }

    /**
     * Completes when a struck answer goes on.
     *
     * @param fault The fault.
     * @param response The response.
     * @return Completes after the delay of a late answer, at once for a crossed one, and never otherwise.
     */
    Mono<Void> interrupted(Fault fault, HttpServerResponse response) {
        return Mono.defer(() -> switch (fault.kind()) {
            case LATE -> Mono.delay(Duration.ofMillis(fault.delayMillis())).then();
            case CROSSED -> Mono.empty();
            case RESET, SILENCE, TRUNCATION, COLD, GONE -> injector.strike(fault.kind(), channel(response));
        });
    }

    /**
     * Returns the connection of a response.
     *
     * @param response The response.
     * @return The connection.
     */
    private static Channel channel(HttpServerResponse response) {
        AtomicReference<@Nullable Channel> result = new AtomicReference<>();
        response.withConnection(connection -> result.set(connection.channel()));
        Channel channel = result.get();
        if (channel == null) {
            throw new IllegalStateException("The response has no connection.");
        }
        return channel;
    }

    /**
     * Returns the event of a token.
     *
     * @param id The identity of the exchange.
     * @param number The number of the token.
     * @param text The text.
     * @param last Whether the token is the last one.
     * @return The event.
     */
    private static ByteBuf event(String id, int number, String text, boolean last) {
        ObjectNode node = document().put("id", id);
        node.putArray("choices")
                .addObject()
                .put("index", 0)
                .put("text", text)
                .put("finish_reason", last ? "length" : null);
        String data = new String(bytes(node), StandardCharsets.UTF_8);
        return text("id: " + number + "\ndata: " + data + "\n\n");
    }

    /**
     * Returns a text as bytes.
     *
     * @param text The text.
     * @return Its bytes.
     */
    private static ByteBuf text(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
    }

    /**
     * Returns a document as bytes.
     *
     * @param document The document.
     * @return Its bytes.
     */
    private static byte[] bytes(Object document) {
        try {
            return MAPPER.writeValueAsBytes(document);
        } catch (JsonProcessingException exception) {
            throw new IllegalArgumentException(exception);
        }
    }
}
