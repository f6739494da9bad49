package org.tanagermoor.batch.item;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import java.util.Iterator;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.tanagermoor.http.Json;

/**
 * An item of a batch job, as the caller has sent it.
 *
 * @param id The identity that the caller has chosen.
 * @param repeatable Whether the item may run more than once; {@code null} if the setting of the service decides.
 * @param path The path of the request at a plain service.
 * @param body The body of the request to the target.
 */
public record Item(String id, @Nullable Boolean repeatable, String path, JsonNode body) {

    /** Maximum number of characters of an identity. */
    private static final int MAX_ID_LENGTH = 256;

    /** Names of the JSON members that an item may have. */
    private static final Set<String> MEMBER_NAMES = Set.of("id", "repeatable", "path", "body");

    /**
     * Parses an item.
     *
     * @param line A line of JSON without the line break.
     * @return The item, or a description of the error in the line.
     */
    public static Either<String, Item> parse(byte[] line) {
        return Json.read("batch.item", line)
                .mapLeft(failure -> failure.detail().replace("the body", "the line"))
                .flatMap(Item::of);
    }

    /**
     * Returns whether the item may run more than once.
     *
     * @param fallback The value for an item that does not state it.
     */
    public boolean repeatable(boolean fallback) {
        return repeatable == null ? fallback : repeatable;
    }

    /**
     * Parses an item.
     *
     * @param node The parsed line.
     * @return The item, or a description of its error.
     */
    private static Either<String, Item> of(JsonNode node) {
        if (!node.isObject()) {
            return Either.left("is not a JSON object");
        }
        for (Iterator<String> names = node.fieldNames(); names.hasNext(); ) {
            String name = names.next();
            if (!MEMBER_NAMES.contains(name)) {
                return Either.left("has the unknown member " + name);
            }
        }
        String id = node.path("id").asText("");
        if (!node.path("id").isTextual() || id.isEmpty() || id.length() > MAX_ID_LENGTH) {
            return Either.left("needs an id of 1 to " + MAX_ID_LENGTH + " characters");
        }
        JsonNode repeatable = node.path("repeatable");
        if (!repeatable.isMissingNode() && !repeatable.isBoolean()) {
            return Either.left("has a member repeatable that is neither true nor false");
        }
        String path = node.path("path").asText("/");
        if (!path.startsWith("/")) {
            return Either.left("has a path that does not begin with a slash");
        }
        if (!node.hasNonNull("body")) {
            return Either.left("needs a body");
        }
        Boolean flag = repeatable.isMissingNode() ? null : (Boolean) repeatable.booleanValue();
        return Either.right(new Item(id, flag, path, node.get("body")));
    }
}
