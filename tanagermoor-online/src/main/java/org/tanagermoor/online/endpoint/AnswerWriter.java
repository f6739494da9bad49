package org.tanagermoor.online.endpoint;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.function.Function;
import org.reactivestreams.Publisher;
import org.tanagermoor.http.Json;
import org.tanagermoor.http.Responses;
import org.tanagermoor.kernel.event.EventLog;
import org.tanagermoor.kernel.failure.Execution;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.kernel.time.TimeSource;
import org.tanagermoor.online.OnlineEvent;
import org.tanagermoor.online.OnlineMetrics;
import org.tanagermoor.online.admission.Failures;
import org.tanagermoor.online.attempt.CompletionAnswer;
import org.tanagermoor.target.client.AnswerPart;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerResponse;

/** Writes answers and refusals to callers. */
final class AnswerWriter {

    /** The start of a server-sent event. */
    private static final byte[] DATA_PREFIX = "data: ".getBytes(StandardCharsets.UTF_8);

    private static final byte[] EVENT_TERMINATOR = "\n\n".getBytes(StandardCharsets.UTF_8);

    /** The data of the last event of a complete stream. */
    private static final byte[] DONE_DATA = "[DONE]".getBytes(StandardCharsets.UTF_8);

    private final OnlineMetrics metrics;

    private final EventLog events;

    private final TimeSource time;

    AnswerWriter(OnlineMetrics metrics, EventLog events, TimeSource time) {
        this.metrics = metrics;
        this.events = events;
        this.time = time;
    }

    /**
     * Writes an answer.
     *
     * @param parts The parts of the answer. An error before the first part is passed on to the result, so that the
     *     caller can still get a refusal.
     */
    Mono<Void> write(HttpServerResponse response, Flux<AnswerPart> parts) {
        AnswerTiming timing = new AnswerTiming(metrics, time);
        Function<AnswerPart.Head, Function<Flux<AnswerPart>, Publisher<Void>>> bodyWriter =
                head -> head.contentType().startsWith(CompletionAnswer.EVENT_STREAM)
                        ? rest -> stream(response, head, rest)
                        : rest -> writeDocument(response, head, rest);
        return parts.doOnNext(timing::observe)
                .switchOnFirst((first, all) -> first.get() instanceof AnswerPart.Head head
                        ? bodyWriter.apply(head).apply(all)
                        : all.then())
                .then();
    }

    /**
     * Writes a refusal, or breaks the answer off if its headers are sent.
     *
     * @param error The cause of the refusal.
     */
    Mono<Void> refuse(HttpServerResponse response, Throwable error) {
        Failure failure = recordFailure(error);
        return response.hasSentHeaders() ? Mono.error(error) : Responses.refusal(response, failure);
    }

    /** Writes an answer whose body is one piece. */
    private static Mono<Void> writeDocument(HttpServerResponse response, AnswerPart.Head head, Flux<AnswerPart> parts) {
        return parts.ofType(AnswerPart.Piece.class)
                .collect(ByteArrayOutputStream::new, (body, piece) -> body.writeBytes(piece.bytes()))
                .flatMap(body -> {
                    response.status(head.status()).header(HttpHeaderNames.CONTENT_LENGTH, "" + body.size());
                    if (!head.contentType().isEmpty()) {
                        response.header(HttpHeaderNames.CONTENT_TYPE, head.contentType());
                    }
                    return response.sendByteArray(Mono.just(body.toByteArray())).then();
                });
    }

    /**
     * Writes a stream of events. A failure after the first event is written as an event itself, and the last event of a
     * complete stream is left out.
     */
    private Mono<Void> stream(HttpServerResponse response, AnswerPart.Head head, Flux<AnswerPart> parts) {
        Flux<ByteBuf> body = parts.skip(1)
                .map(AnswerWriter::event)
                .onErrorResume(error -> Mono.just(
                        event(Json.write(Responses.body(recordFailure(error).withExecution(Execution.UNKNOWN))))));
        return response.status(head.status())
                .header(HttpHeaderNames.CONTENT_TYPE, CompletionAnswer.EVENT_STREAM)
                .header(HttpHeaderNames.CACHE_CONTROL, "no-store")
                .send(body, ignored -> true)
                .then();
    }

    /** Counts a failure, and logs it if it is a defect or the request may have been executed. */
    private Failure recordFailure(Throwable error) {
        Failure failure = Failures.of(error);
        metrics.refused(failure.kind());
        if (failure.kind() == Failure.Kind.INTERNAL) {
            events.record(OnlineEvent.DEFECT, "error", error);
        } else if (failure.execution() == Execution.UNKNOWN) {
            events.record(OnlineEvent.FAILED, "kind", failure.kind(), "step", failure.step(), "peer", failure.peer());
        }
        return failure;
    }

    private static ByteBuf event(AnswerPart part) {
        return switch (part) {
            case AnswerPart.Piece piece -> event(piece.bytes());
            case AnswerPart.End ignored -> event(DONE_DATA);
            case AnswerPart.Head ignored -> Unpooled.EMPTY_BUFFER;
        };
    }

    private static ByteBuf event(byte[] data) {
        return Unpooled.wrappedBuffer(DATA_PREFIX, data, EVENT_TERMINATOR);
    }
}
