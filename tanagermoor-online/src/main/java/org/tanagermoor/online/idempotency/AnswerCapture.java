package org.tanagermoor.online.idempotency;

import java.io.ByteArrayOutputStream;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.tanagermoor.target.client.AnswerPart;

/**
 * Copies an answer while its parts pass through, so that it can be stored. Streams and answers above the maximum size
 * are not stored.
 */
final class AnswerCapture {

    private final int maxBytes;

    private final ByteArrayOutputStream body = new ByteArrayOutputStream();

    /** {@code null} until the head arrives. */
    private AnswerPart.@Nullable Head head;

    private int pieces;

    private boolean tooLarge;

    /**
     * Creates an empty copy.
     *
     * @param maxBytes The maximum size of the body in bytes.
     */
    AnswerCapture(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    void add(AnswerPart part) {
        if (part instanceof AnswerPart.Head next) {
            head = next;
        } else if (part instanceof AnswerPart.Piece piece) {
            pieces++;
            tooLarge |= body.size() + piece.bytes().length > maxBytes;
            if (!tooLarge) {
                body.writeBytes(piece.bytes());
            }
        }
    }

    /**
     * Returns the complete answer.
     *
     * @return The answer; empty for a stream or an answer above the maximum size.
     */
    Optional<IdempotencyRecord.Answer> answer() {
        return head == null || tooLarge || pieces != 1
                ? Optional.empty()
                : Optional.of(new IdempotencyRecord.Answer(head, body.toByteArray()));
    }
}
