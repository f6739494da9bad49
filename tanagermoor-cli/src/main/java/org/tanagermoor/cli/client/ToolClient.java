package org.tanagermoor.cli.client;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.HttpMethod;
import io.vavr.control.Either;
import java.net.ConnectException;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Consumer;
import org.tanagermoor.http.Json;
import org.tanagermoor.kernel.failure.Execution;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.kernel.setting.Address;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;

/** Calls instances. An instance that cannot be connected to is passed over; nothing is sent twice. */
public final class ToolClient {

    /** The longest time for connecting, in milliseconds. */
    private static final int CONNECT_TIMEOUT_MILLIS = 2_000;

    /** The first status of refusals. */
    private static final int MIN_ERROR_STATUS = 400;

    /** The instances, in the order in which they are tried. */
    private final List<Address> instances;

    /** The key that is shown. */
    private final String key;

    /** The longest time between two pieces of an answer. */
    private final Duration timeout;

    /**
     * Creates a client.
     *
     * @param instances The instances.
     * @param key The key that is shown.
     * @param timeout The longest time between two pieces of an answer.
     */
    private ToolClient(List<Address> instances, String key, Duration timeout) {
        this.instances = instances;
        this.key = key;
        this.timeout = timeout;
    }

    /**
     * Returns a client.
     *
     * @param instances The instances, in the order in which they are tried.
     * @param key The key that is shown.
     * @param timeout The longest time between two pieces of an answer.
     * @return A client.
     */
    public static ToolClient of(List<Address> instances, String key, Duration timeout) {
        return new ToolClient(List.copyOf(instances), key, timeout);
    }

    /**
     * Returns a client for one instance.
     *
     * @param instance The instance.
     * @return A client that is otherwise equal to this one.
     */
    public ToolClient withInstance(Address instance) {
        return new ToolClient(List.of(instance), key, timeout);
    }

    /**
     * Sends a request and waits for the whole answer.
     *
     * @param request The request.
     * @return The answer, or a failure that the instance stated or that this client met.
     */
    public Either<Failure, ToolAnswer> call(ToolRequest request) {
        return callFirstReachable(instance -> send(instance, request)
                .responseSingle((response, content) -> content.asByteArray()
                        .defaultIfEmpty(new byte[0])
                        .map(body -> readAnswer(instance, response, body))));
    }

    /**
     * Sends a request and hands over the answer piece by piece.
     *
     * @param request The request.
     * @param consumer Gets the pieces, unless the request is refused.
     * @return The status, or a failure that the instance stated or that this client met.
     */
    public Either<Failure, Integer> stream(ToolRequest request, Consumer<byte[]> consumer) {
        return callFirstReachable(instance -> send(instance, request)
                .response((response, content) -> response.status().code() >= MIN_ERROR_STATUS
                        ? readRefusal(instance, response, content)
                        : content.asByteArray()
                                .doOnNext(consumer)
                                .then(Mono.just(Either.<Failure, Integer>right(
                                        response.status().code()))))
                .single());
    }

    /**
     * Calls the instances in order until one is reached.
     *
     * @param <T> The type of the result.
     * @param call Calls an instance.
     * @return The result of the first instance that was reached, or the failure of the last.
     */
    private <T> Either<Failure, T> callFirstReachable(java.util.function.Function<Address, Mono<Either<Failure, T>>> call) {
        Either<Failure, T> result = Either.left(
                Failure.notRun(Failure.Kind.UNAVAILABLE, "tool.connect", Failure.LOCAL, "no instance is given"));
        for (Address instance : instances) {
            result = call.apply(instance)
                    .onErrorResume(error -> Mono.just(Either.left(failure(instance, error))))
                    .blockOptional()
                    .orElse(result);
            if (result.isRight() || !result.getLeft().step().equals("tool.connect")) {
                return result;
            }
        }
        return result;
    }

    /**
     * Prepares a request.
     *
     * @param instance The instance.
     * @param request The request.
     * @return Receives the answer.
     */
    private HttpClient.ResponseReceiver<?> send(Address instance, ToolRequest request) {
        return HttpClient.newConnection()
                .remoteAddress(instance::toSocketAddress)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .responseTimeout(timeout)
                .headers(headers -> {
                    request.headers().forEach(headers::set);
                    if (!key.isEmpty()) {
                        headers.set("authorization", "Bearer " + key);
                    }
                    if (!request.contentType().isEmpty()) {
                        headers.set("content-type", request.contentType());
                    }
                    headers.set("content-length", request.body().length);
                })
                .request(HttpMethod.valueOf(request.method()))
                .uri(request.path())
                .send(ByteBufFlux.fromInbound(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(request.body()))));
    }

    /**
     * Reads an answer.
     *
     * @param instance The instance.
     * @param response The head of the answer.
     * @param body The body.
     * @return The answer, or the failure that it states.
     */
    private static Either<Failure, ToolAnswer> readAnswer(Address instance, HttpClientResponse response, byte[] body) {
        int status = response.status().code();
        return status < MIN_ERROR_STATUS
                ? Either.right(new ToolAnswer(status, body))
                : Either.left(statedFailure(body).orElseGet(() -> unstatedFailure(instance, status)));
    }

    /**
     * Reads the refusal of a streamed request.
     *
     * @param instance The instance.
     * @param response The head of the answer.
     * @param content The body.
     * @return The failure.
     */
    private static Flux<Either<Failure, Integer>> readRefusal(
            Address instance, HttpClientResponse response, ByteBufFlux content) {
        return content.aggregate()
                .map(ToolClient::bytes)
                .defaultIfEmpty(new byte[0])
                .map(body -> readAnswer(instance, response, body).map(ToolAnswer::status))
                .flux();
    }

    /**
     * Returns the bytes of a buffer.
     *
     * @param buffer The buffer.
     * @return Its bytes.
     */
    private static byte[] bytes(ByteBuf buffer) {
        byte[] result = new byte[buffer.readableBytes()];
        buffer.getBytes(buffer.readerIndex(), result);
        return result;
    }

    /**
     * Returns the failure that a body states.
     *
     * @param body The body.
     * @return The failure, if the body states one.
     */
    private static Optional<Failure> statedFailure(byte[] body) {
        return Json.read(ToolAnswer.STEP, body)
                .map(node -> node.path("error"))
                .filter(JsonNode::isObject)
                .map(either -> either.map(ToolClient::failure))
                .toJavaOptional()
                .flatMap(either -> either.toJavaOptional());
    }

    /**
     * Reads a failure.
     *
     * @param error The node that states it.
     * @return The failure.
     */
    private static Failure failure(JsonNode error) {
        Failure.Kind kind;
        try {
            kind = Failure.Kind.valueOf(error.path("kind").asText().toUpperCase(Locale.ROOT));
        } catch (IllegalArgumentException exception) {
            kind = Failure.Kind.INTERNAL;
        }
        return new Failure(
                kind,
                error.path("step").asText(),
                error.path("peer").asText(),
                error.path("message").asText(),
                error.path("run").asText().equals(Execution.NOT_RUN.label()) ? Execution.NOT_RUN : Execution.UNKNOWN);
    }

    /**
     * Returns the failure for a refusal that states none.
     *
     * @param instance The instance.
     * @param status The HTTP status.
     * @return The failure.
     */
    private static Failure unstatedFailure(Address instance, int status) {
        return Failure.unknown(
                Failure.Kind.INTERNAL, ToolAnswer.STEP, instance.toString(), "the instance answered status " + status);
    }

    /**
     * Returns the failure for an error that this client met.
     *
     * @param instance The instance.
     * @param error The error.
     * @return The failure.
     */
    private static Failure failure(Address instance, Throwable error) {
        return error instanceof ConnectException
                ? Failure.notRun(Failure.Kind.UNAVAILABLE, "tool.connect", instance.toString(), "no connection")
                : Failure.unknown(Failure.Kind.UNAVAILABLE, "tool.call", instance.toString(), error.toString());
    }
}
