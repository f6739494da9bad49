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

/** An answer that is being collected, as a stream of tokens or as one document. Safe for several threads. */
final class ItemAnswer {

    /** The most bytes of an answer. */
    private static final int MAX_ANSWER_BYTES = 4 * 1024 * 1024;

    /** The status of an answer that is a stream. */
    private static final int STATUS_OK = 200;

    /** The step that failures name. */
    private static final String STEP = "batch.answer";

    /** The identity of the exchange. */
    private final String exchange;

    /** The body of a document so far. */
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();

    /** The text of a stream so far. */
    private final StringBuilder text = new StringBuilder();

    /** The HTTP status. */
    private int status;

    /** Whether the answer is a stream. */
    private boolean streaming;

    /** The tokens of a stream so far. */
    private int tokens;

    /** The tokens that an earlier run gave. */
    private int resumedTokens;

    /** Why a stream ended; empty for no reason. */
    private String reason = "";

    /** The mark of the target's start. */
    private String startMark = "";

    /** Whether the whole answer has come. */
    private boolean ended;

    /**
     * Creates an answer of which nothing has come.
     *
     * @param exchange The identity of the exchange.
     */
    private ItemAnswer(String exchange) {
        this.exchange = exchange;
    }

    /**
     * Returns an answer of which nothing has come.
     *
     * @param exchange The identity of the exchange.
     * @return The answer.
     */
    static ItemAnswer of(String exchange) {
        return new ItemAnswer(exchange);
    }

    /**
     * Returns an answer that goes on from what there is of it.
     *
     * @param partial What there is of it.
     * @return The answer.
     */
    static ItemAnswer of(PartialAnswer partial) {
        ItemAnswer answer = new ItemAnswer(partial.exchange());
        answer.status = STATUS_OK;
        answer.streaming = true;
        answer.startMark = partial.position().startMark();
        answer.resumedTokens = partial.position().next();
        answer.tokens = answer.resumedTokens;
        answer.text.append(partial.text());
        return answer;
    }

    /**
     * Adds a part.
     *
     * @param part The part.
     */
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

    /**
     * Returns the HTTP status.
     *
     * @return The status.
     */
    synchronized int status() {
        return status;
    }

    /**
     * Returns the mark of the target's start.
     *
     * @return The mark, empty if there is none.
     */
    synchronized String startMark() {
        return startMark;
    }

    /**
     * Returns whether the whole answer has come.
     *
     * @return Whether it is whole.
     */
    synchronized boolean ended() {
        return ended;
    }

    /**
     * Returns whether a stream that was resumed has brought nothing.
     *
     * @return Whether no token came after those of the earlier run.
     */
    synchronized boolean resumedWithoutProgress() {
        return resumedTokens > 0 && tokens == resumedTokens;
    }

    /**
     * Returns what there is of the answer.
     *
     * @param target The target.
     * @return What there is, if it is a stream that began.
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
     * @return The document of the target, its text as a string where it is no JSON, or the whole stream as a document.
     */
    synchronized byte[] document() {
        if (streaming) {
            return Json.write(CompletionEvent.document(exchange, text.toString(), reason));
        }
        byte[] bytes = body.toByteArray();
        Either<Failure, JsonNode> json = Json.read(STEP, bytes);
        return Json.write(json.isRight() ? json.get() : new String(bytes, StandardCharsets.UTF_8));
    }

    /**
     * Adds a token.
     *
     * @param bytes The event of the token.
     */
    private void addToken(byte[] bytes) {
        CompletionEvent event = CompletionEvent.read(STEP, bytes);
        checkLength(text.length() + event.text().length());
        text.append(event.text());
        reason = event.reason();
        tokens++;
    }

    /**
     * Adds bytes of a document.
     *
     * @param bytes The bytes.
     */
    private void append(byte[] bytes) {
        checkLength(body.size() + bytes.length);
        body.writeBytes(bytes);
    }

    /**
     * Checks the length of the answer.
     *
     * @param length The length.
     */
    private static void checkLength(int length) {
        if (length > MAX_ANSWER_BYTES) {
            throw Failure.unknown(Failure.Kind.TOO_LARGE, STEP, "target", "the answer is too large")
                    .asException();
        }
    }
}
