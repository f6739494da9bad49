package org.tanagermoor.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import java.util.Optional;
import reactor.netty.http.server.HttpServerRequest;

/** Reads the keys that callers and operators send as {@code Authorization: Bearer <key>}. */
public final class Keys {

    /** The authentication scheme, which is compared case-insensitively. */
    private static final String SCHEME = "Bearer ";

    private Keys() {}

    /**
     * Returns the SHA-256 of the key of a request. The rest of the system handles only this digest, never the key
     * itself.
     *
     * @param request The request.
     * @return The SHA-256 of the key; empty if the request has no bearer key.
     */
    public static Optional<String> sha256(HttpServerRequest request) {
        String header = request.requestHeaders().get(HttpHeaderNames.AUTHORIZATION);
        if (header == null || !header.regionMatches(true, 0, SCHEME, 0, SCHEME.length())) {
            return Optional.empty();
        }
        String key = header.substring(SCHEME.length()).trim();
        return key.isEmpty() ? Optional.empty() : Optional.of(Digests.sha256(key));
    }
}
