package org.tanagermoor.online.attempt;

/**
 * The part of a caller's request that is sent to a target. It never contains the caller's key.
 *
 * @param method The HTTP method.
 * @param path The path with its query.
 * @param contentType The media type of the body; empty for none.
 * @param body The body, which must not be modified.
 * @param affinity A text; requests with the same text prefer the same target. Empty for none.
 */
@SuppressWarnings("ArrayRecordComponent")
public record Payload(String method, String path, String contentType, byte[] body, String affinity) {}
