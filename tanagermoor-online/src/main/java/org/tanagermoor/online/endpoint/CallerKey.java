package org.tanagermoor.online.endpoint;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.vavr.control.Either;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.online.attempt.Payload;

/** Prevents a caller's key from being sent to a target. */
final class CallerKey {

    /** The minimum length of a key to search for; a shorter text would be found by chance. */
    private static final int MIN_LENGTH = 8;

    private CallerKey() {}

    /**
     * Refuses a request that contains its key anywhere but in the authorization header.
     *
     * @param payload The request for the target.
     * @return The same payload, or a failure.
     */
    static Either<Failure, Payload> rejectExposed(HttpHeaders headers, Payload payload) {
        String header = headers.get(HttpHeaderNames.AUTHORIZATION, "");
        String key = header.substring(header.indexOf(' ') + 1).trim();
        if (key.length() < MIN_LENGTH) {
            return Either.right(payload);
        }
        boolean exposed = payload.path().contains(key)
                || decodeOrOriginal(payload.path()).contains(key)
                || payload.contentType().contains(key)
                || new String(payload.body(), StandardCharsets.UTF_8).contains(key);
        return exposed
                ? Either.left(Failure.notRun(
                        Failure.Kind.INVALID,
                        "admission.payload",
                        Failure.LOCAL,
                        "the key may be sent in the authorization header only"))
                : Either.right(payload);
    }

    /**
     * Percent-decodes a path.
     *
     * @return The decoded path, or the path itself if its encoding is malformed.
     */
    private static String decodeOrOriginal(String path) {
        try {
            return URLDecoder.decode(path, StandardCharsets.UTF_8);
        } catch (IllegalArgumentException exception) {
            return path;
        }
    }
}
