package org.tanagermoor.online.endpoint;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.vavr.control.Either;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.online.attempt.Payload;

/** Keeps a caller's key from reaching a target. */
final class CallerKey {

    /** The length from which a key is looked for; a shorter text would be found by chance. */
    private static final int MIN_LENGTH = 8;

    /** There are no instances. */
    private CallerKey() {}

    /**
     * Refuses a request that shows its key anywhere but in the header for it.
     *
     * @param headers The headers of the request.
     * @param payload What would go to the target.
     * @return What would go to the target, or a failure.
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
                        "the key may be shown in the authorization header only"))
                : Either.right(payload);
    }

    /**
     * Decodes a path.
     *
     * @param path The path.
     * @return The decoded path, or the path itself where it is not well encoded.
     */
    private static String decodeOrOriginal(String path) {
        try {
            return URLDecoder.decode(path, StandardCharsets.UTF_8);
        } catch (IllegalArgumentException exception) {
            return path;
        }
    }
}
