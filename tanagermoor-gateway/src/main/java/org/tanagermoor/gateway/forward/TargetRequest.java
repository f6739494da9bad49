package org.tanagermoor.gateway.forward;

import io.netty.buffer.ByteBuf;
import java.util.Map;

/**
 * A request to a target, independent of the protocol of the targets.
 *
 * @param method The HTTP method.
 * @param uri The path with the query, as the caller sent it.
 * @param headers The headers of the caller that are forwarded, in their order.
 * @param body The body, which is not consumed.
 * @param id The identity of the request.
 * @param team The name of the team; empty if there is none.
 * @param remainingMillis The time until the deadline, in milliseconds; 0 for no limit.
 * @param resumeAfter The number of the last event that was received; 0 for a new stream.
 */
public record TargetRequest(
        String method,
        String uri,
        Iterable<Map.Entry<String, String>> headers,
        ByteBuf body,
        String id,
        String team,
        long remainingMillis,
        long resumeAfter) {}
