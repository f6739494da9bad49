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

/** Calls instances over HTTP. Tries the next instance if a connection fails; sends no request twice. */
public final class ToolClient {

    private static final int CONNECT_TIMEOUT_MILLIS = 2_000;

    /** The lowest HTTP status that means a refusal or an error. */
    private static final int MIN_ERROR_STATUS = 400;

    /** The instances, in the order in which they are tried. */
    private final List<Address> instances;

    /** The key sent in the authorization header; empty for none. */
    private final String key;

    /** The maximum time between two parts of an answer. */
    private final Duration timeout;

    private ToolClient(List<Address> instances, String key, Duration timeout) {
        this.instances = instances;
        this.key = key;
        this.timeout = timeout;
    }

    /**
     * Returns a client.
     *
     * @param instances The instances, in the order in which they are tried.
     * @param key The key to send, or an empty text for none.
     * @param timeout The maximum time between two parts of an answer.
     */
    public static ToolClient of(List<Address> instances, String key, Duration timeout) {
        return new ToolClient(List.copyOf(instances), key, timeout);
    }

    /** Returns the instances, in the order in which they are tried. */
    public List<Address> instances() {
        return instances;
    }

    /** Returns a copy of this client that calls only one instance. */
    public ToolClient withInstance(Address instance) {
        return new ToolClient(List.of(instance), key, timeout);
    }

    /**
     * Sends a request and waits for the complete answer.
     *
     * @return The answer, or a failure that the instance reported or that this client encountered.
     */
    public Either<Failure, ToolAnswer> call(ToolRequest request) {
        return callFirstReachable(instance -> send(instance, request)
                .responseSingle((response, content) -> content.asByteArray()
                        .defaultIfEmpty(new byte[0])
                        .map(body -> readAnswer(instance, response, body))));
    }

    /**
     * Sends a request and passes on the answer in parts as they arrive.
     *
     * @param consumer Receives the parts, unless the request is refused.
     * @return The HTTP status, or a failure that the instance reported or that this client encountered.
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

    /** Calls the instances in order until a connection succeeds; returns that result, or else the last failure. */
    private <T> Either<Failure, T> callFirstReachable(
            java.util.function.Function<Address, Mono<Either<Failure, T>>> call) {
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

    /** Returns the answer, or the failure that it reports. */
    private static Either<Failure, ToolAnswer> readAnswer(Address instance, HttpClientResponse response, byte[] body) {
        int status = response.status().code();
        return status < MIN_ERROR_STATUS
                ? Either.right(new ToolAnswer(status, body))
                : Either.left(statedFailure(body).orElseGet(() -> unstatedFailure(instance, status)));
    }

    private static Flux<Either<Failure, Integer>> readRefusal(
            Address instance, HttpClientResponse response, ByteBufFlux content) {
        return content.aggregate()
                .map(ToolClient::bytes)
                .defaultIfEmpty(new byte[0])
                .map(body -> readAnswer(instance, response, body).map(ToolAnswer::status))
                .flux();
    }

    /** Copies the readable bytes of a buffer without consuming them. */
    private static byte[] bytes(ByteBuf buffer) {
        byte[] result = new byte[buffer.readableBytes()];
        buffer.getBytes(buffer.readerIndex(), result);
        return result;
    }

    /** Returns the failure that a body reports, if it reports one. */
    private static Optional<Failure> statedFailure(byte[] body) {
        return Json.read(ToolAnswer.STEP, body)
                .map(node -> node.path("error"))
                .filter(JsonNode::isObject)
                .map(either -> either.map(ToolClient::failure))
                .toJavaOptional()
                .flatMap(either -> either.toJavaOptional());
    }

    /** Reads a reported failure; an unknown kind becomes INTERNAL and an unknown run state UNKNOWN. */
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

    /** Returns the failure for an error status whose body reports none. */
    private static Failure unstatedFailure(Address instance, int status) {
        return Failure.unknown(
                Failure.Kind.INTERNAL, ToolAnswer.STEP, instance.toString(), "the instance answered status " + status);
    }

    /** Converts an error of the client; only a failed connection is known not to have run the request. */
    private static Failure failure(Address instance, Throwable error) {
        return error instanceof ConnectException
                ? Failure.notRun(Failure.Kind.UNAVAILABLE, "tool.connect", instance.toString(), "no connection")
                : Failure.unknown(Failure.Kind.UNAVAILABLE, "tool.call", instance.toString(), error.toString());
    }
}
