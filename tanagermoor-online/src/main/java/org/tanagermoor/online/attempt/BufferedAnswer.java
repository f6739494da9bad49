package org.tanagermoor.online.attempt;

import java.io.ByteArrayOutputStream;
import java.util.Optional;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.kernel.failure.FailureException;
import org.tanagermoor.target.client.AnswerPart;
import reactor.core.publisher.Flux;

/** Holds the parts of an answer back until it is whole. */
public final class BufferedAnswer {

    /** The step that failures name. */
    private static final String STEP = "online.answer";

    /** The most bytes of a whole answer. */
    private static final int MAX_BYTES = 16 << 20;

    /** The body so far. */
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();

    /** The head, once it has come. */
    private Optional<AnswerPart.Head> head = Optional.empty();

    /** Whether the end has come. */
    private boolean ended;

    /** Creates an empty answer. */
    private BufferedAnswer() {}

    /**
     * Holds the parts of an answer back until it is whole.
     *
     * @param parts The parts.
     * @return The head, one piece and the end, or a failure.
     */
    public static Flux<AnswerPart> buffer(Flux<AnswerPart> parts) {
        return parts.collect(BufferedAnswer::new, BufferedAnswer::add).flatMapMany(BufferedAnswer::parts);
    }

    /**
     * Adds a part.
     *
     * @param part The part.
     */
    private void add(AnswerPart part) {
        switch (part) {
            case AnswerPart.Head next -> head = Optional.of(next);
            case AnswerPart.Piece piece -> append(piece.bytes());
            case AnswerPart.End ignored -> ended = true;
        }
    }

    /**
     * Adds bytes to the body.
     *
     * @param bytes The bytes.
     */
    private void append(byte[] bytes) {
        if (body.size() + bytes.length > MAX_BYTES) {
            throw exception(Failure.Kind.TOO_LARGE, "the answer is larger than " + MAX_BYTES + " bytes");
        }
        body.writeBytes(bytes);
    }

    /**
     * Returns the parts.
     *
     * @return The parts, or a failure if the answer is not whole.
     */
    private Flux<AnswerPart> parts() {
        return head.isPresent() && ended
                ? Flux.just(head.get(), new AnswerPart.Piece(body.toByteArray()), new AnswerPart.End())
                : Flux.error(exception(Failure.Kind.CORRUPT, "the answer is not whole"));
    }

    /**
     * Returns an exception.
     *
     * @param kind The kind.
     * @param detail A sentence for people.
     * @return The exception.
     */
    private static FailureException exception(Failure.Kind kind, String detail) {
        return Failure.unknown(kind, STEP, Failure.LOCAL, detail).asException();
    }
}
