package org.tanagermoor.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.kernel.failure.FailureException;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;

/** Reads request bodies up to a size limit. */
public final class Bodies {

    private static final String STEP = "http.body";

    private Bodies() {}

    /**
     * Reads a body up to a limit.
     *
     * @param request The request, whose body was not read yet.
     * @param limit The maximum number of bytes to read.
     * @return The body; a failure of kind {@link Failure.Kind#TOO_LARGE} above the limit, or of kind {@link
     *     Failure.Kind#CORRUPT} if the connection ends before the body is complete.
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
     * @param request The request, whose body was not read yet.
     * @param limit The maximum number of bytes to read.
     * @return The body; a failure as for {@link #read}, or of kind {@link Failure.Kind#INVALID} if it is not JSON.
     */
    public static Mono<Either<Failure, com.fasterxml.jackson.databind.JsonNode>> readJson(
            HttpServerRequest request, int limit) {
        return read(request, limit).map(body -> body.flatMap(bytes -> Json.read(STEP, bytes)));
    }

    /**
     * Returns whether a content length exceeds a limit.
     *
     * @param length The value of the header; a value that is not a number exceeds no limit.
     */
    private static boolean exceeds(String length, int limit) {
        try {
            return Long.parseLong(length.trim()) > limit;
        } catch (NumberFormatException exception) {
            return false;
        }
    }

    /**
     * Appends the bytes of a buffer to a stream.
     *
     * @param buffer The buffer, which is read to its end.
     * @param limit The maximum size of the stream in bytes.
     * @throws FailureException If the stream would exceed the limit.
     */
    private static void append(ByteArrayOutputStream stream, ByteBuf buffer, int limit) {
        if (stream.size() + buffer.readableBytes() > limit) {
            throw new FailureException(tooLarge(limit));
        }
        byte[] bytes = new byte[buffer.readableBytes()];
        buffer.readBytes(bytes);
        stream.writeBytes(bytes);
    }

    private static Failure tooLarge(int limit) {
        return Failure.notRun(
                Failure.Kind.TOO_LARGE, STEP, Failure.LOCAL, "the body is larger than " + limit + " bytes");
    }

    /** Returns the failure that an error carries; any other error means that the connection ended within the body. */
    private static Failure failure(Throwable error) {
        return error instanceof FailureException failureException
                ? failureException.failure()
                : Failure.notRun(Failure.Kind.CORRUPT, STEP, Failure.LOCAL, "the body was cut off");
    }
}
