package org.tanagermoor.online.idempotency;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Optional;
import org.tanagermoor.http.Json;
import org.tanagermoor.target.client.AnswerPart;

/**
 * The record of a request with an idempotency key.
 *
 * @param owner The identity of the request that made the record.
 * @param fingerprint The SHA-256 of what was asked.
 * @param finished Whether the request was answered.
 * @param answer The answer, if it was kept.
 * @param wallMillis The wall clock time of the request in milliseconds since the epoch, for people.
 */
record IdempotencyRecord(String owner, String fingerprint, boolean finished, Optional<Answer> answer, long wallMillis) {

    /**
     * Returns the record of a request that is about to be sent.
     *
     * @param owner The identity of the request.
     * @param fingerprint The SHA-256 of what is asked.
     * @param wallMillis The wall clock time in milliseconds since the epoch.
     * @return A record.
     */
    static IdempotencyRecord started(String owner, String fingerprint, long wallMillis) {
        return new IdempotencyRecord(owner, fingerprint, false, Optional.empty(), wallMillis);
    }

    /**
     * Returns this record after the request was answered.
     *
     * @param value The answer, if it is kept.
     * @return A record.
     */
    IdempotencyRecord withAnswer(Optional<Answer> value) {
        return new IdempotencyRecord(owner, fingerprint, true, value, wallMillis);
    }

    /**
     * Writes the record.
     *
     * @return The value of its row.
     */
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
     * Reads a record.
     *
     * @param bytes The value of its row.
     * @return The record, or nothing if the value is malformed.
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
     * Reads an answer.
     *
     * @param node The node.
     * @return The answer, if it was kept.
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
     * An answer that was kept.
     *
     * @param head The head.
     * @param body The body, which is not to be changed.
     */
    @SuppressWarnings("ArrayRecordComponent")
    record Answer(AnswerPart.Head head, byte[] body) {}
}
