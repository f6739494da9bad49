package org.tanagermoor.online.idempotency;

import java.io.ByteArrayOutputStream;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.tanagermoor.target.client.AnswerPart;

/** Keeps an answer while it passes, if it is a document that is not too large. */
final class AnswerCapture {

    /** The most bytes to keep. */
    private final int maxBytes;

    /** The body so far. */
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();

    /** The head, or {@code null} before it came. */
    private AnswerPart.@Nullable Head head;

    /** The number of pieces. */
    private int pieces;

    /** Whether the answer is too large. */
    private boolean tooLarge;

    /**
     * Creates an empty answer.
     *
     * @param maxBytes The most bytes to keep.
     */
    AnswerCapture(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    /**
     * Adds a part.
     *
     * @param part The part.
     */
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
     * Returns the answer.
     *
     * @return The answer; nothing for streams and for what is too large.
     */
    Optional<IdempotencyRecord.Answer> answer() {
        return head == null || tooLarge || pieces != 1
                ? Optional.empty()
                : Optional.of(new IdempotencyRecord.Answer(head, body.toByteArray()));
    }
}
