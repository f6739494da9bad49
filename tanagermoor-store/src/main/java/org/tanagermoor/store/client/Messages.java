package org.tanagermoor.store.client;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectReader;
import io.vavr.control.Either;
import java.io.IOException;
import org.tanagermoor.http.Json;

/** Parses the JSON messages that are exchanged with the platform. They are written by {@link Json#write}. */
public final class Messages {

    /** Ignores unknown properties, so that a newer sender is understood, and rejects messages that lack a known one. */
    private static final ObjectReader READER = Json.mapper()
            .reader()
            .without(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .with(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES);

    private Messages() {}

    /**
     * Parses a message.
     *
     * @param <T> The type of the message.
     * @param bytes The message as JSON, encoded in UTF-8.
     * @return The message, or a description of the error in it.
     */
    public static <T> Either<String, T> read(Class<T> type, byte[] bytes) {
        try {
            T message = READER.forType(type).readValue(bytes);
            return message == null ? Either.left("the message is null") : Either.right(message);
        } catch (IOException exception) {
            return Either.left("not a message of the form " + type.getSimpleName());
        }
    }
}
