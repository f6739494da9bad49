package org.tanagermoor.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.kernel.failure.FailureException;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;

/** Reads the bodies of requests. */
public final class Bodies {

    /** The step that failures name. */
    private static final String STEP = "http.body";

    /** There are no instances. */
    private Bodies() {}

    /**
     * Reads a body up to a limit.
     *
     * @param request The request.
     * @param limit The most bytes to read.
     * @return The body, or a failure of kind {@link Failure.Kind#TOO_LARGE} or {@link Failure.Kind#CORRUPT}.
     */
    public static Mono<Either<Failure, byte[]>> read(HttpServerRequest request, int limit) {
        String length = request.requestHeaders().get(HttpHeaderNames.CONTENT_LENGTH);
        if (length != null && exceeds(length, limit)) {
            return Mono.just(Either.left(tooLarge(limit)));
        }
        return request.receive()
                .collect(ByteArrayOutputStream::new, (stream, buffer) -> append(stream, buffer, limit))
                .map(stream -> Either.<Failure, byte[]>right(stream.toByteArray()))
                .onErrorResume(error -> Mono.just(Either.left(failure(error))));
    }

    /**
     * Reads a JSON body up to a limit.
     *
     * @param request The request.
     * @param limit The most bytes to read.
     * @return The body, or a failure.
     */
    public static Mono<Either<Failure, com.fasterxml.jackson.databind.JsonNode>> readJson(
            HttpServerRequest request, int limit) {
        return read(request, limit).map(body -> body.flatMap(bytes -> Json.read(STEP, bytes)));
    }

    /**
     * Returns whether a content length exceeds a limit.
     *
     * @param length The text of the header.
     * @param limit The limit in bytes.
     * @return Whether it exceeds the limit; what is not a number does not.
     */
    private static boolean exceeds(String length, int limit) {
        try {
            return Long.parseLong(length.trim()) > limit;
        } catch (NumberFormatException exception) {
            return false;
        }
    }

    /**
     * Adds the bytes of a buffer to a stream.
     *
     * @param stream The stream.
     * @param buffer The buffer, which is read to its end.
     * @param limit The most bytes that the stream may have.
     */
    private static void append(ByteArrayOutputStream stream, ByteBuf buffer, int limit) {
        if (stream.size() + buffer.readableBytes() > limit) {
            throw new FailureException(tooLarge(limit));
        }
        byte[] bytes = new byte[buffer.readableBytes()];
        buffer.readBytes(bytes);
        stream.writeBytes(bytes);
    }

    /**
     * Returns the failure of a body that exceeds a limit.
     *
     * @param limit The limit in bytes.
     * @return The failure.
     */
    private static Failure tooLarge(int limit) {
        return Failure.notRun(
                Failure.Kind.TOO_LARGE, STEP, Failure.LOCAL, "the body is larger than " + limit + " bytes");
    }

    /**
     * Returns the failure for an error met while reading.
     *
     * @param error The error.
     * @return The failure.
     */
    private static Failure failure(Throwable error) {
        return error instanceof FailureException failureException
                ? failureException.failure()
                : Failure.notRun(Failure.Kind.CORRUPT, STEP, Failure.LOCAL, "the body was cut off");
    }
}
