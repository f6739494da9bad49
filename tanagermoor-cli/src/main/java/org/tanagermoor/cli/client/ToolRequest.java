package org.tanagermoor.cli.client;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/**
 * A request of the tool to an instance.
 *
 * @param method The HTTP method.
 * @param path The path with its query.
 * @param headers The headers besides the key.
 * @param contentType The type of the body; empty for none.
 * @param body The body, which is not to be changed.
 */
@SuppressWarnings("ArrayRecordComponent")
public record ToolRequest(String method, String path, Map<String, String> headers, String contentType, byte[] body) {

    /**
     * Returns a request without a body.
     *
     * @param method The HTTP method.
     * @param path The path with its query.
     * @return A request without a body.
     */
    public static ToolRequest of(String method, String path) {
        return new ToolRequest(method, path, Map.of(), "", new byte[0]);
    }

    /**
     * Returns this request with a body.
     *
     * @param type The type of the body.
     * @param bytes The body.
     * @return A request that is otherwise equal to this one.
     */
    public ToolRequest withBody(String type, byte[] bytes) {
        return new ToolRequest(method, path, headers, type, bytes);
    }

    /**
     * Returns this request with a header.
     *
     * @param name The name of the header.
     * @param value The value.
     * @return A request that is otherwise equal to this one.
     */
    public ToolRequest withHeader(String name, String value) {
        Map<String, String> newHeaders = new TreeMap<>(headers);
        newHeaders.put(name, value);
        return new ToolRequest(method, path, Map.copyOf(newHeaders), contentType, body);
    }

    /**
     * Encodes a part of a path or a query.
     *
     * @param part The part.
     * @return The encoded part.
     */
    public static String encodePart(String part) {
        return URLEncoder.encode(part, StandardCharsets.UTF_8).replace("+", "%20");
    }
}
