package org.tanagermoor.online.endpoint;

import io.netty.handler.codec.http.QueryStringDecoder;
import io.vavr.control.Either;
import java.util.List;
import org.tanagermoor.kernel.failure.Failure;

/** Extracts and checks the path of a request to a plain service. */
final class ServicePath {

    /** The number of slashes in a caller's path up to the path of the service, as in {@code /services/name/path}. */
    private static final int PREFIX_SEGMENTS = 3;

    /** The paths by which instances observe and control targets. Callers must not reach them. */
    private static final List<String> RESERVED = List.of("/v1/completions", "/load", "/cache-events", "/orders");

    private ServicePath() {}

    /**
     * Returns the path at the service.
     *
     * @param uri The path of the caller's request with its query, as it was sent.
     * @return The path with its query; a failure if the path is reserved or is not normalized, as it could then reach a
     *     reserved one.
     */
    static Either<Failure, String> of(String uri) {
        int start = 0;
        for (int segment = 0; segment < PREFIX_SEGMENTS; segment++) {
            start = uri.indexOf('/', segment == 0 ? 0 : start + 1);
        }
        String path = uri.substring(start);
        String decodedPath = new QueryStringDecoder(path).path();
        if (decodedPath.contains("//")
                || decodedPath.contains("/..")
                || decodedPath.contains("/./")
                || decodedPath.contains("\\")) {
            return refusal(Failure.Kind.INVALID, "the path is not normalized");
        }
        boolean reserved =
                RESERVED.stream().anyMatch(name -> decodedPath.equals(name) || decodedPath.startsWith(name + "/"));
        return reserved ? refusal(Failure.Kind.FORBIDDEN, "the path is reserved") : Either.right(path);
    }

    private static Either<Failure, String> refusal(Failure.Kind kind, String detail) {
        return Either.left(Failure.notRun(kind, "admission.path", Failure.LOCAL, detail));
    }
}
