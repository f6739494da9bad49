package org.tanagermoor.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import io.vavr.control.Either;
import java.io.IOException;
import org.tanagermoor.kernel.failure.Failure;

/**
 * Reads and writes JSON. Objects are written with the keys of maps in order, and text after a document is an error.
 */
public final class Json {

    /** Shared by all threads, so it must not be reconfigured. */
    private static final ObjectMapper MAPPER = new ObjectMapper()
            .configure(DeserializationFeature.FAIL_ON_TRAILING_TOKENS, true)
            .configure(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS, true);

    private Json() {}

    /**
     * Returns the shared mapper, for building nodes.
     *
     * @return The mapper, which must not be reconfigured.
     */
    public static ObjectMapper mapper() {
        return MAPPER;
    }

    /**
     * Serializes a value.
     *
     * @param value A node, a record or another value that the mapper supports.
     * @return The value as UTF-8 encoded JSON.
     * @throws IllegalArgumentException If the mapper does not support the value.
     */
    public static byte[] write(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (JsonProcessingException exception) {
            throw new IllegalArgumentException(exception);
        }
    }

    /**
     * Parses a document.
     *
     * @param step The step that a failure names.
     * @param bytes UTF-8 encoded JSON.
     * @return The node, or a failure of kind {@link Failure.Kind#INVALID} that says what is wrong.
     */
    public static Either<Failure, JsonNode> read(String step, byte[] bytes) {
        try {
            JsonNode node = MAPPER.readTree(bytes);
            return node == null || node.isMissingNode() ? invalid(step, "the body is empty") : Either.right(node);
        } catch (JsonProcessingException exception) {
            return invalid(step, "the body is not JSON: " + exception.getOriginalMessage());
        } catch (IOException exception) {
            return invalid(step, "the body is not JSON");
        }
    }

    /** Returns the failure of a malformed body, which was certainly not executed. */
    private static <T> Either<Failure, T> invalid(String step, String detail) {
        return Either.left(Failure.notRun(Failure.Kind.INVALID, step, Failure.LOCAL, detail));
    }
}
