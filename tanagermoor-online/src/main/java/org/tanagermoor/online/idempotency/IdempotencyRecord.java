package org.tanagermoor.online.idempotency;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Optional;
import org.tanagermoor.http.Json;
import org.tanagermoor.target.client.AnswerPart;

/**
 * The stored record of a request with an idempotency key.
 *
 * @param owner The id of the request that created the record.
 * @param fingerprint The SHA-256 of method, path and body, which tells whether a resend is the same request.
 * @param finished Whether the request was answered.
 * @param answer The answer, if it is stored.
 * @param wallMillis The wall clock time of the request in milliseconds since the epoch, for operators to read.
 */
record IdempotencyRecord(String owner, String fingerprint, boolean finished, Optional<Answer> answer, long wallMillis) {

    /**
     * Returns the record of a request that is about to be sent.
     *
     * @param owner The id of the request.
     * @param fingerprint The SHA-256 of method, path and body.
     * @param wallMillis The wall clock time in milliseconds since the epoch.
     */
    static IdempotencyRecord started(String owner, String fingerprint, long wallMillis) {
        return new IdempotencyRecord(owner, fingerprint, false, Optional.empty(), wallMillis);
    }

    /**
     * Returns this record as finished.
     *
     * @param value The answer, if it is stored.
     */
    IdempotencyRecord withAnswer(Optional<Answer> value) {
        return new IdempotencyRecord(owner, fingerprint, true, value, wallMillis);
    }

    /** Serializes the record to the value of its row. */
    byte[] toBytes() {
        ObjectNode node = Json.mapper()
                .createObjectNode()
                .put("owner", owner)
                .put("fingerprint", fingerprint)
                .put("finished", finished)
                .put("at", wallMillis);
        answer.ifPresent(stored -> node.putObject("answer")
                .put("status", stored.head().status())
                .put("content_type", stored.head().contentType())
                .put("body", stored.body()));
        return Json.write(node);
    }

    /**
     * Parses the value of a row.
     *
     * @return The record; empty if the value is malformed.
     */
    static Optional<IdempotencyRecord> read(byte[] bytes) {
        return Json.read("idempotency.read", bytes)
                .toJavaOptional()
                .map(node -> new IdempotencyRecord(
                        node.path("owner").asText(),
                        node.path("fingerprint").asText(),
                        node.path("finished").asBoolean(),
                        answer(node.path("answer")),
                        node.path("at").asLong()));
    }

    /**
     * Parses the stored answer of a record.
     *
     * @return The answer; empty if none is stored or its body is malformed.
     */
    private static Optional<Answer> answer(JsonNode node) {
        if (!node.isObject()) {
            return Optional.empty();
        }
        try {
            AnswerPart.Head head = new AnswerPart.Head(
                    node.path("status").asInt(), node.path("content_type").asText(), "");
            return Optional.of(new Answer(head, node.path("body").binaryValue()));
        } catch (IOException exception) {
            return Optional.empty();
        }
    }

    /**
     * An answer as it is stored.
     *
     * @param head The head, without the start mark of the target.
     * @param body The body, which must not be modified.
     */
    @SuppressWarnings("ArrayRecordComponent")
    record Answer(AnswerPart.Head head, byte[] body) {}
}
