package org.tanagermoor.batch.worker;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.tanagermoor.http.Json;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.online.attempt.CompletionAnswer;
import org.tanagermoor.online.attempt.CompletionEvent;
import org.tanagermoor.policy.fleet.TargetId;
import org.tanagermoor.target.client.AnswerPart;
import org.tanagermoor.target.client.StreamPosition;

/** Collects the answer of a target, which is a stream of tokens or one document. Thread-safe. */
final class ItemAnswer {

    /** Maximum size of an answer in bytes. */
    private static final int MAX_ANSWER_BYTES = 4 * 1024 * 1024;

    /** HTTP status of an answer that is a stream. */
    private static final int STATUS_OK = 200;

    /** Name of the step in failures. */
    private static final String STEP = "batch.answer";

    /** Identity of the exchange with the target. */
    private final String exchange;

    /** Bytes of a document that have been received so far. */
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();

    /** Text of a stream that has been received so far, with that of an earlier run. */
    private final StringBuilder text = new StringBuilder();

    /** Number of bytes of this text in UTF-8. */
    private int textBytes;

    private int status;

    private boolean streaming;

    /** Number of tokens of a stream so far, with those of an earlier run. */
    private int tokens;

    /** Number of tokens that an earlier run produced; 0 if no stream is resumed. */
    private int resumedTokens;

    /** Finish reason of a stream; empty if the target gave none. */
    private String reason = "";

    /** Start mark of the target, which identifies one start of its process. */
    private String startMark = "";

    /** Whether the complete answer has been received. */
    private boolean ended;

    /**
     * Creates an empty answer.
     *
     * @param exchange The identity of the exchange.
     */
    private ItemAnswer(String exchange) {
        this.exchange = exchange;
    }

    /**
     * Returns an empty answer.
     *
     * @param exchange The identity of the exchange.
     */
    static ItemAnswer of(String exchange) {
        return new ItemAnswer(exchange);
    }

    /**
     * Returns an answer that resumes from the output of an earlier run.
     *
     * @param partial The output of the earlier run.
     */
    static ItemAnswer of(PartialAnswer partial) {
        ItemAnswer answer = new ItemAnswer(partial.exchange());
        answer.status = STATUS_OK;
        answer.streaming = true;
        answer.startMark = partial.position().startMark();
        answer.resumedTokens = partial.position().next();
        answer.tokens = answer.resumedTokens;
        answer.text.append(partial.text());
        answer.textBytes = utf8Bytes(partial.text());
        return answer;
    }

    /** Adds a part of the answer that has been received. */
    synchronized void add(AnswerPart part) {
        switch (part) {
            case AnswerPart.Head head -> {
                status = head.status();
                startMark = head.startMark();
                streaming = head.contentType().startsWith(CompletionAnswer.EVENT_STREAM);
            }
            case AnswerPart.Piece piece when streaming -> addToken(piece.bytes());
            case AnswerPart.Piece piece -> append(piece.bytes());
            case AnswerPart.End end -> ended = true;
        }
    }

    /** Returns the HTTP status; 0 before it is received, unless a stream is resumed. */
    synchronized int status() {
        return status;
    }

    /**
     * Returns the start mark of the target.
     *
     * @return The start mark, empty if there is none.
     */
    synchronized String startMark() {
        return startMark;
    }

    /** Returns whether the complete answer has been received. */
    synchronized boolean ended() {
        return ended;
    }

    /** Returns whether a stream was resumed but has produced no token after those of the earlier run. */
    synchronized boolean resumedWithoutProgress() {
        return resumedTokens > 0 && tokens == resumedTokens;
    }

    /**
     * Returns the partial answer, from which a later run can resume.
     *
     * @param target The target that produces the answer.
     * @return The partial answer; empty unless it is a stream with at least one token.
     */
    synchronized Optional<PartialAnswer> partial(TargetId target) {
        return streaming && tokens > 0
                ? Optional.of(
                        new PartialAnswer(target, exchange, new StreamPosition(startMark, tokens), text.toString()))
                : Optional.empty();
    }

    /**
     * Returns the answer as JSON.
     *
     * @return The document of the target, as a JSON string if it is not JSON itself, or a document with the text of the
     *     complete stream.
     */
    synchronized byte[] document() {
        if (streaming) {
            return Json.write(CompletionEvent.document(exchange, text.toString(), reason));
        }
        byte[] bytes = body.toByteArray();
        Either<Failure, JsonNode> json = Json.read(STEP, bytes);
        return Json.write(json.isRight() ? json.get() : new String(bytes, StandardCharsets.UTF_8));
    }

    /** Adds the token of one event of a stream. */
    private void addToken(byte[] bytes) {
        CompletionEvent event = CompletionEvent.read(STEP, bytes);
        textBytes += utf8Bytes(event.text());
        checkLength(textBytes);
        text.append(event.text());
        reason = event.reason();
        tokens++;
    }

    /** Adds bytes of a document. */
    private void append(byte[] bytes) {
        checkLength(body.size() + bytes.length);
        body.writeBytes(bytes);
    }

    private static int utf8Bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8).length;
    }

    /** Throws a failure if the answer is longer than the maximum. */
    private static void checkLength(int length) {
        if (length > MAX_ANSWER_BYTES) {
            throw Failure.unknown(Failure.Kind.TOO_LARGE, STEP, "target", "the answer is too large")
                    .asException();
        }
    }
}
