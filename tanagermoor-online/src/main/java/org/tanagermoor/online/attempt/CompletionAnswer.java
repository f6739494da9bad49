package org.tanagermoor.online.attempt;

import java.util.concurrent.atomic.AtomicBoolean;
import org.reactivestreams.Publisher;
import org.tanagermoor.http.Json;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.online.admission.Call;
import org.tanagermoor.target.client.AnswerPart;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Signal;

/**
 * Converts the answer of a model engine, which is a stream of events, to what the caller asked for: a stream or one
 * document. An answer that is not a stream is buffered and passed on.
 */
public final class CompletionAnswer {

    /** The media type of server-sent events. */
    public static final String EVENT_STREAM = "text/event-stream";

    private static final String DOCUMENT = "application/json";

    private static final String STEP = "online.answer";

    private final StringBuilder text = new StringBuilder();

    private final AnswerPart.Head head;

    /** The completion id that the events carry. */
    private String id = "";

    /** The finish reason of the completion; empty until it ends. */
    private String reason = "";

    private boolean ended;

    private CompletionAnswer(AnswerPart.Head head) {
        this.head = head;
    }

    /**
     * Returns a stream for the caller. The head is held back until the first token arrives, because another attempt may
     * be made until then.
     *
     * @param call The request, which is marked as forwarded before its head is emitted.
     * @param parts The parts of an attempt.
     * @return The parts for the caller.
     */
    public static Flux<AnswerPart> stream(Call call, Flux<AnswerPart> parts) {
        return parts.switchOnFirst((firstSignal, allParts) ->
                isStream(firstSignal) ? deferHead(call, firstSignal, allParts) : bufferAnswer(allParts));
    }

    /**
     * Returns one document for the caller.
     *
     * @param parts The parts of an attempt.
     * @return The parts for the caller; a failure if the stream is incomplete.
     */
    public static Flux<AnswerPart> document(Flux<AnswerPart> parts) {
        return parts.switchOnFirst((firstSignal, allParts) ->
                isStream(firstSignal) ? assembleDocument(firstSignal, allParts) : bufferAnswer(allParts));
    }

    /** Returns whether an answer is a stream of events, by the content type of its head. */
    private static boolean isStream(Signal<? extends AnswerPart> firstSignal) {
        return firstSignal.get() instanceof AnswerPart.Head head
                && head.contentType().startsWith(EVENT_STREAM);
    }

    /** Returns the parts of an answer that is not a stream, once the answer is complete. */
    private static Publisher<AnswerPart> bufferAnswer(Flux<AnswerPart> allParts) {
        return BufferedAnswer.buffer(allParts);
    }

    /** Emits the head of a stream together with its first token. */
    private static Publisher<AnswerPart> deferHead(
            Call call, Signal<? extends AnswerPart> firstSignal, Flux<AnswerPart> allParts) {
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
     * Combines the events of a stream into one document. If the first part is not a head, the parts are passed on
     * unchanged.
     */
    private static Publisher<AnswerPart> assembleDocument(
            Signal<? extends AnswerPart> firstSignal, Flux<AnswerPart> allParts) {
        if (!(firstSignal.get() instanceof AnswerPart.Head head)) {
            return allParts;
        }
        return allParts.skip(1)
                .collect(() -> new CompletionAnswer(head), CompletionAnswer::add)
                .flatMapMany(CompletionAnswer::parts);
    }

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

    /** Returns the document as the parts of an answer, or a failure if the stream is incomplete. */
    private Flux<AnswerPart> parts() {
        if (!ended) {
            return Flux.error(Failure.unknown(Failure.Kind.CORRUPT, STEP, Failure.LOCAL, "the stream is incomplete")
                    .asException());
        }
        return Flux.just(
                new AnswerPart.Head(head.status(), DOCUMENT, head.startMark()),
                new AnswerPart.Piece(Json.write(CompletionEvent.document(id, text.toString(), reason))),
                new AnswerPart.End());
    }
}
