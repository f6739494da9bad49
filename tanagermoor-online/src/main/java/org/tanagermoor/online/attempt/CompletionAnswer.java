package org.tanagermoor.online.attempt;

import java.util.concurrent.atomic.AtomicBoolean;
import org.reactivestreams.Publisher;
import org.tanagermoor.http.Json;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.online.admission.Call;
import org.tanagermoor.target.client.AnswerPart;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Signal;

/** Takes the answer of a model engine, which comes as a stream, and gives the caller a stream or one document. */
public final class CompletionAnswer {

    /** The type of a stream of events. */
    public static final String EVENT_STREAM = "text/event-stream";

    /** The type of a document. */
    private static final String DOCUMENT = "application/json";

    /** The step that failures name. */
    private static final String STEP = "online.answer";

    /** The text of the completion so far. */
    private final StringBuilder text = new StringBuilder();

    /** The head. */
    private final AnswerPart.Head head;

    /** The identity that the events carry. */
    private String id = "";

    /** Why the completion ended; empty while it has not. */
    private String reason = "";

    /** Whether the end has come. */
    private boolean ended;

    /**
     * Creates an empty completion.
     *
     * @param head The head.
     */
    private CompletionAnswer(AnswerPart.Head head) {
        this.head = head;
    }

    /**
     * Returns a stream for the caller. The head is held back until the first token is there, as another attempt may
     * still be made before.
     *
     * @param call The request.
     * @param parts The parts of an attempt.
     * @return The parts for the caller.
     */
    public static Flux<AnswerPart> stream(Call call, Flux<AnswerPart> parts) {
        return parts.switchOnFirst((firstSignal, allParts) -> isStream(firstSignal) ? deferHead(call, firstSignal, allParts) : bufferAnswer(allParts));
    }

    /**
     * Returns one document for the caller.
     *
     * @param parts The parts of an attempt.
     * @return The parts for the caller.
     */
    public static Flux<AnswerPart> document(Flux<AnswerPart> parts) {
        return parts.switchOnFirst((firstSignal, allParts) -> isStream(firstSignal) ? assembleDocument(firstSignal, allParts) : bufferAnswer(allParts));
    }

    /**
     * Returns whether an answer is a stream of events.
     *
     * @param firstSignal The first signal of the answer.
     * @return Whether it is a stream of events.
     */
    private static boolean isStream(Signal<? extends AnswerPart> firstSignal) {
        return firstSignal.get() instanceof AnswerPart.Head head && head.contentType().startsWith(EVENT_STREAM);
    }

    /**
     * Returns an answer that is no stream.
     *
     * @param allParts The parts.
     * @return The parts, once the answer is whole.
     */
    private static Publisher<AnswerPart> bufferAnswer(Flux<AnswerPart> allParts) {
        return BufferedAnswer.buffer(allParts);
    }

    /**
     * Returns a stream whose head comes with its first token.
     *
     * @param call The request.
     * @param firstSignal The head.
     * @param allParts The parts.
     * @return The parts for the caller.
     */
    private static Publisher<AnswerPart> deferHead(Call call, Signal<? extends AnswerPart> firstSignal, Flux<AnswerPart> allParts) {
        AnswerPart head = firstSignal.get();
        AtomicBoolean forwarded = new AtomicBoolean();
        return allParts.skip(1).concatMap(part -> {
            if (head == null || !forwarded.compareAndSet(false, true)) {
                return Flux.just(part);
            }
            call.markForwarded();
            return Flux.just(head, part);
        });
    }

    /**
     * Returns a document that holds the whole stream.
     *
     * @param firstSignal The head.
     * @param allParts The parts.
     * @return The parts for the caller.
     */
    private static Publisher<AnswerPart> assembleDocument(Signal<? extends AnswerPart> firstSignal, Flux<AnswerPart> allParts) {
        if (!(firstSignal.get() instanceof AnswerPart.Head head)) {
            return allParts;
        }
        return allParts.skip(1)
                .collect(() -> new CompletionAnswer(head), CompletionAnswer::add)
                .flatMapMany(CompletionAnswer::parts);
    }

    /**
     * Adds a part.
     *
     * @param part The part.
     */
    private void add(AnswerPart part) {
        if (part instanceof AnswerPart.Piece piece) {
            CompletionEvent event = CompletionEvent.read(STEP, piece.bytes());
            id = event.id();
            text.append(event.text());
            reason = event.reason();
        } else if (part instanceof AnswerPart.End) {
            ended = true;
        }
    }

    /**
     * Returns the parts.
     *
     * @return The parts, or a failure if the stream is not whole.
     */
    private Flux<AnswerPart> parts() {
        if (!ended) {
            return Flux.error(Failure.unknown(Failure.Kind.CORRUPT, STEP, Failure.LOCAL, "the stream is not whole")
                    .asException());
        }
        return Flux.just(
                new AnswerPart.Head(head.status(), DOCUMENT, head.startMark()),
                new AnswerPart.Piece(Json.write(CompletionEvent.document(id, text.toString(), reason))),
                new AnswerPart.End());
    }
}
