package org.tanagermoor.target.client;

import java.time.Duration;

/**
 * A request to a target. It does not contain the key of the caller.
 *
 * @param id The identity of the exchange, which the target returns with its answer.
 * @param method The HTTP method.
 * @param path The path with its query.
 * @param contentType The content type of the body, or an empty string if there is none.
 * @param body The body, which must not be changed.
 * @param silence The maximum time between two pieces of the answer before the target counts as silent.
 */
@SuppressWarnings("ArrayRecordComponent")
public record TargetRequest(String id, String method, String path, String contentType, byte[] body, Duration silence) {}
