package org.tanagermoor.gateway.edge;

import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.tanagermoor.policy.prompt.Prompt;

/**
 * The parts of a caller's request that precede its body: the request line and the headers.
 *
 * @param id The identity of the attempt; empty if the caller sent none.
 * @param method The HTTP method.
 * @param uri The path with the query, as it was sent.
 * @param path The path without the query.
 * @param host The host that the caller addressed, possibly with a port.
 * @param key The key of the caller's team, or {@code null} if there is none.
 * @param deadlineMillis How long the caller waits, in milliseconds; 0 if it does not say.
 * @param prompt The parts of the prompt; {@link Prompt#NONE} if the caller names none.
 * @param promptKey A hash of the part of the prompt that requests may share; 0 if there is none.
 * @param lastEvent The number of the last event that the caller received; 0 for a new stream.
 * @param headers The headers that are forwarded to targets.
 */
public record CallHead(
        String id,
        String method,
        String uri,
        String path,
        String host,
        @Nullable String key,
        long deadlineMillis,
        Prompt prompt,
        long promptKey,
        long lastEvent,
        Iterable<Map.Entry<String, String>> headers) {}
