package org.tanagermoor.cli.client;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/**
 * A request from the tool to an instance.
 *
 * @param method The HTTP method.
 * @param path The path with its query.
 * @param headers The headers except the one with the key.
 * @param contentType The type of the body; empty for none.
 * @param body The body, which callers must not modify.
 */
@SuppressWarnings("ArrayRecordComponent")
public record ToolRequest(String method, String path, Map<String, String> headers, String contentType, byte[] body) {

    /**
     * Returns a request without headers and body.
     *
     * @param path The path with its query.
     */
    public static ToolRequest of(String method, String path) {
        return new ToolRequest(method, path, Map.of(), "", new byte[0]);
    }

    /** Returns a copy of this request with the given body. */
    public ToolRequest withBody(String type, byte[] bytes) {
        return new ToolRequest(method, path, headers, type, bytes);
    }

    /** Returns a copy of this request with the header added or replaced. */
    public ToolRequest withHeader(String name, String value) {
        Map<String, String> newHeaders = new TreeMap<>(headers);
        newHeaders.put(name, value);
        return new ToolRequest(method, path, Map.copyOf(newHeaders), contentType, body);
    }

    /** Percent-encodes a part of a path or a query. */
    public static String encodePart(String part) {
        return URLEncoder.encode(part, StandardCharsets.UTF_8).replace("+", "%20");
    }
}
