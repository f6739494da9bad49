package org.tanagermoor.online.attempt;

import java.io.ByteArrayOutputStream;
import java.util.Optional;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.kernel.failure.FailureException;
import org.tanagermoor.target.client.AnswerPart;
import reactor.core.publisher.Flux;

/**
 * Buffers the parts of an answer until it is complete, so that the caller receives nothing of an attempt that fails.
 */
public final class BufferedAnswer {

    private static final String STEP = "online.answer";

    private static final int MAX_BYTES = 16 << 20;

    private final ByteArrayOutputStream body = new ByteArrayOutputStream();

    private Optional<AnswerPart.Head> head = Optional.empty();

    private boolean ended;

    private BufferedAnswer() {}

    /**
     * Buffers an answer until it is complete.
     *
     * @param parts The parts of one attempt.
     * @return The head, one piece and the end; a failure of kind {@link Failure.Kind#TOO_LARGE} above the maximum size,
     *     or of kind {@link Failure.Kind#CORRUPT} if the answer is incomplete.
     */
    public static Flux<AnswerPart> buffer(Flux<AnswerPart> parts) {
        return parts.collect(BufferedAnswer::new, BufferedAnswer::add).flatMapMany(BufferedAnswer::parts);
    }

    private void add(AnswerPart part) {
        switch (part) {
            case AnswerPart.Head next -> head = Optional.of(next);
            case AnswerPart.Piece piece -> append(piece.bytes());
            case AnswerPart.End ignored -> ended = true;
        }
    }

    private void append(byte[] bytes) {
        if (body.size() + bytes.length > MAX_BYTES) {
            throw exception(Failure.Kind.TOO_LARGE, "the answer is larger than " + MAX_BYTES + " bytes");
        }
        body.writeBytes(bytes);
    }

    /** Returns the buffered parts, or a failure if the answer is incomplete. */
    private Flux<AnswerPart> parts() {
        return head.isPresent() && ended
                ? Flux.just(head.get(), new AnswerPart.Piece(body.toByteArray()), new AnswerPart.End())
                : Flux.error(exception(Failure.Kind.CORRUPT, "the answer is incomplete"));
    }

    private static FailureException exception(Failure.Kind kind, String detail) {
        return Failure.unknown(kind, STEP, Failure.LOCAL, detail).asException();
    }
}
