package org.tanagermoor.target.client;

/**
 * A part of the answer of a target. An answer consists of one head, any number of pieces and one end, in this order.
 */
public sealed interface AnswerPart {

    /**
     * The status and the headers of the answer.
     *
     * @param status The HTTP status.
     * @param contentType The content type of the body, or an empty string if there is none.
     * @param startMark The start mark of the target, which changes with each start, or an empty string if it sent none.
     */
    record Head(int status, String contentType, String startMark) implements AnswerPart {}

    /**
     * A piece of the body. In a stream of events, each piece is the data of one event.
     *
     * @param bytes The bytes, which must not be changed.
     */
    @SuppressWarnings("ArrayRecordComponent")
    record Piece(byte[] bytes) implements AnswerPart {}

    /** Marks an answer as complete. An answer without an end is truncated. */
    record End() implements AnswerPart {}
}
