package org.tanagermoor.target.client;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ConnectTimeoutException;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpUtil;
import java.io.IOException;
import java.net.ConnectException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import org.tanagermoor.kernel.failure.Execution;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.kernel.failure.Failure.Kind;
import org.tanagermoor.kernel.failure.FailureException;
import org.tanagermoor.policy.configuration.Target;
import reactor.netty.http.client.HttpClientResponse;
import reactor.netty.http.client.PrematureCloseException;

/** The state of one request to a target. It outlives a connection: a stream can be resumed on further connections. */
final class Exchange {

    /** The step until the first byte of the request is sent. */
    private static final String STEP_CONNECT = "target.connect";

    /** The step of waiting for the head of the answer. */
    private static final String STEP_HEAD = "target.head";

    /** The step of receiving the body of the answer. */
    private static final String STEP_BODY = "target.body";

    /** The header with the identity of the exchange. */
    static final String ID_HEADER = "x-request-id";

    /** The header with the start mark of the target, which changes with each start. */
    private static final String START_MARK_HEADER = "x-start-mark";

    /** The header by which a target states that it did not execute a request. */
    private static final String RUN_HEADER = "x-run";

    /** The value of {@link #RUN_HEADER} for a request that was not executed. */
    private static final String NOT_RUN = "no";

    /** The statuses by which a target can refuse a request because it is full. */
    private static final List<Integer> FULL_STATUSES = List.of(429, 503);

    /** The statuses whose answers have no body. */
    private static final List<Integer> STATUSES_WITHOUT_BODY = List.of(204, 304);

    /** The content type of a stream of events. */
    private static final String EVENT_STREAM = "text/event-stream";

    private static final JsonFactory JSON_FACTORY = new JsonFactory();

    private final Target target;

    private final TargetRequest request;

    /** Decodes the events of the current connection. */
    private EventDecoder decoder = new EventDecoder();

    /** Whether a byte of the request may have been sent. */
    private volatile boolean sent;

    /** Whether the head of the answer was received. */
    private volatile boolean headReceived;

    /** Whether the answer is a stream of events. */
    private volatile boolean streaming;

    /** Whether the complete answer was received. */
    private volatile boolean complete;

    /** Whether the target reported that it no longer knows the stream. */
    private volatile boolean streamUnknown;

    /** The start mark of the target when it started the answer. */
    private String startMark = "";

    /** The number of the next expected token. */
    private final AtomicInteger next = new AtomicInteger();

    Exchange(Target target, TargetRequest request) {
        this.target = target;
        this.request = request;
    }

    /**
     * Creates the exchange of a stream that was started earlier, to resume it.
     *
     * @param request The request that started the stream.
     * @param position The position at which to resume.
     */
    static Exchange resumeAt(Target target, TargetRequest request, StreamPosition position) {
        Exchange exchange = new Exchange(target, request);
        exchange.sent = true;
        exchange.headReceived = true;
        exchange.streaming = true;
        exchange.startMark = position.startMark();
        exchange.next.set(position.next());
        return exchange;
    }

    /** Records that the request is about to be written. */
    void markSent() {
        sent = true;
    }

    /** Returns whether a byte of the request may have been sent. */
    boolean isSent() {
        return sent;
    }

    /** Returns whether the complete answer was received. */
    boolean isComplete() {
        return complete;
    }

    /** Returns whether the answer is an incomplete stream that the target may still know. */
    boolean isResumable() {
        return streaming && !complete && !streamUnknown;
    }

    /** Returns the number of the next expected token. */
    int next() {
        return next.get();
    }

    /**
     * Checks the head of the answer.
     *
     * @return The head as a part of the answer.
     * @throws FailureException If the head does not belong to this request, does not tell where the body ends, or
     *     refuses the request because the target is full.
     */
    AnswerPart.Head head(HttpClientResponse response) {
        String id = response.responseHeaders().get(ID_HEADER, "");
        if (!id.equals(request.id())) {
            throw failed(Kind.CORRUPT, STEP_HEAD, "the answer belongs to another exchange");
        }
        int status = response.status().code();
        if (FULL_STATUSES.contains(status)
                && NOT_RUN.equals(response.responseHeaders().get(RUN_HEADER))) {
            throw failed(Kind.OVERLOADED, STEP_HEAD, "the target is full");
        }
        if (!hasEnd(response)) {
            throw failed(Kind.CORRUPT, STEP_HEAD, "the answer does not say where it ends");
        }
        String type = response.responseHeaders().get(HttpHeaderNames.CONTENT_TYPE, "");
        startMark = response.responseHeaders().get(START_MARK_HEADER, "");
        streaming = type.startsWith(EVENT_STREAM);
        headReceived = true;
        return new AnswerPart.Head(status, type, startMark);
    }

    /**
     * Checks the head of an answer that resumes the stream.
     *
     * @throws FailureException If the answer does not resume the stream of this request.
     */
    void resumed(HttpClientResponse response) {
        boolean same = request.id().equals(response.responseHeaders().get(ID_HEADER, ""));
        if (!same) {
            throw failed(Kind.CORRUPT, STEP_HEAD, "the resumed answer belongs to another exchange");
        }
        if (response.status().code() != 200
                || !startMark.equals(response.responseHeaders().get(START_MARK_HEADER, ""))) {
            streamUnknown = true;
            throw failed(Kind.UNAVAILABLE, STEP_HEAD, "the target no longer knows the stream");
        }
        decoder = new EventDecoder();
    }

    /**
     * Processes bytes of the body.
     *
     * @return The parts that these bytes complete.
     * @throws FailureException If the stream is malformed, or an event belongs to another exchange or leaves a gap.
     */
    List<AnswerPart> body(ByteBuf buffer) {
        if (!streaming) {
            byte[] bytes = new byte[buffer.readableBytes()];
            buffer.readBytes(bytes);
            return List.of(new AnswerPart.Piece(bytes));
        }
        List<AnswerPart> parts = new ArrayList<>();
        for (EventDecoder.Event event : decodeEvents(buffer)) {
            if (event.last()) {
                complete = true;
                parts.add(new AnswerPart.End());
            } else if (!complete && acceptNext(event)) {
                parts.add(new AnswerPart.Piece(event.data().getBytes(StandardCharsets.UTF_8)));
            }
        }
        return parts;
    }

    /**
     * Ends the answer after the connection delivered the complete body.
     *
     * @throws FailureException If the answer is a stream whose last event was not received.
     */
    AnswerPart.End end() {
        if (streaming) {
            throw failed(Kind.CORRUPT, STEP_BODY, "the stream ended before its last event");
        }
        complete = true;
        return new AnswerPart.End();
    }

    /**
     * Converts an error to a failure.
     *
     * @return The failure. It never states that the request was not executed once a byte of the request may have been
     *     sent.
     */
    Failure failure(Throwable error) {
        if (error instanceof FailureException failureException) {
            return failureException.failure();
        }
        String step = headReceived ? STEP_BODY : sent ? STEP_HEAD : STEP_CONNECT;
        return failure(kind(error), step, describe(error));
    }

    private Kind kind(Throwable error) {
        if (error instanceof TimeoutException) {
            return Kind.TIMEOUT;
        }
        return headReceived && error instanceof PrematureCloseException ? Kind.CORRUPT : Kind.UNAVAILABLE;
    }

    /** Describes an error without the text of the library, which may contain parts of the request. */
    private static String describe(Throwable error) {
        if (error instanceof ConnectTimeoutException || error instanceof ConnectException) {
            return "the target cannot be reached";
        }
        if (error instanceof TimeoutException) {
            return "the target sent nothing in time";
        }
        return error instanceof PrematureCloseException
                ? "the connection was closed before the answer was complete"
                : "the connection failed: " + error.getClass().getSimpleName();
    }

    /**
     * Decodes bytes of a stream.
     *
     * @throws FailureException If the stream is malformed.
     */
    private List<EventDecoder.Event> decodeEvents(ByteBuf buffer) {
        try {
            return decoder.decode(buffer);
        } catch (IllegalArgumentException exception) {
            throw failed(Kind.CORRUPT, STEP_BODY, "the stream is malformed");
        }
    }

    /**
     * Checks that an event belongs to this request and is the next one, and counts it.
     *
     * @return {@code false} if the event was received before.
     * @throws FailureException If the event belongs to another exchange or leaves a gap.
     */
    private boolean acceptNext(EventDecoder.Event event) {
        if (!idOf(event).equals(request.id())) {
            throw failed(Kind.CORRUPT, STEP_BODY, "an event belongs to another exchange");
        }
        if (event.number() < 0 || event.number() > next.get()) {
            throw failed(Kind.CORRUPT, STEP_BODY, "the stream skipped a token");
        }
        return next.compareAndSet(event.number(), event.number() + 1);
    }

    /**
     * Returns the identity of the exchange that is named in the data of an event, or an empty string if there is none.
     */
    private static String idOf(EventDecoder.Event event) {
        try (JsonParser parser = JSON_FACTORY.createParser(event.data())) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                return "";
            }
            for (String name = parser.nextFieldName(); name != null; name = parser.nextFieldName()) {
                String value = parser.nextTextValue();
                if (name.equals("id")) {
                    return value == null ? "" : value;
                }
                parser.skipChildren();
            }
            return "";
        } catch (IOException exception) {
            return "";
        }
    }

    /**
     * Returns whether the end of an answer can be told from a lost connection, that is, whether the answer has no body,
     * a known length, or is sent in chunks.
     */
    private static boolean hasEnd(HttpClientResponse response) {
        return STATUSES_WITHOUT_BODY.contains(response.status().code())
                || response.responseHeaders().contains(HttpHeaderNames.CONTENT_LENGTH)
                || HttpUtil.isTransferEncodingChunked(
                        new DefaultHttpResponse(response.version(), response.status(), response.responseHeaders()));
    }

    private FailureException failed(Kind kind, String step, String detail) {
        return failure(kind, step, detail).asException();
    }

    /**
     * Creates a failure of this exchange.
     *
     * @param detail A description for operators.
     */
    private Failure failure(Kind kind, String step, String detail) {
        return new Failure(
                kind, step, target.address().toString(), detail, sent ? Execution.UNKNOWN : Execution.NOT_RUN);
    }
}
