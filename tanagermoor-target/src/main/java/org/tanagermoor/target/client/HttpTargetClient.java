package org.tanagermoor.target.client;

import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import java.time.Duration;
import java.util.Optional;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.kernel.plugin.Context;
import org.tanagermoor.policy.configuration.Target;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.HttpProtocol;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;

/**
 * Sends requests to targets over HTTP with pooled connections. Parts of an answer are buffered in memory for a slow
 * caller, so that a slow caller is not mistaken for a silent target; the buffer is bounded by the length of the answer.
 */
public final class HttpTargetClient implements TargetClient {

    /** The path of completions, which model engines can resume and cancel by the identity of the exchange. */
    private static final String COMPLETIONS = "/v1/completions";

    /** The maximum number of connections to one target. */
    private static final int MAX_CONNECTIONS = 4_096;

    /** The time after which an idle connection is closed, before a device on the network path forgets it. */
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(5);

    /** The maximum lifetime of a connection. */
    private static final Duration MAX_CONNECTION_LIFETIME = Duration.ofMinutes(5);

    /** The maximum time to wait for a connection of the pool. */
    private static final Duration ACQUIRE_TIMEOUT = Duration.ofSeconds(1);

    /** The maximum time for connecting, in milliseconds. */
    private static final int CONNECT_TIMEOUT_MILLIS = 500;

    /** The maximum time for cancelling a request. */
    private static final Duration CANCEL_TIMEOUT = Duration.ofSeconds(2);

    /** The maximum number of consecutive attempts to resume a stream that bring no token. */
    private static final int MAX_FRUITLESS_RESUMPTIONS = 3;

    private final HttpClient client;

    private HttpTargetClient(HttpClient client) {
        this.client = client;
    }

    /** Creates a client without open connections. */
    public static HttpTargetClient of(Context context) {
        ConnectionProvider provider = ConnectionProvider.builder("targets")
                .maxConnections(MAX_CONNECTIONS)
                .maxIdleTime(IDLE_TIMEOUT)
                .maxLifeTime(MAX_CONNECTION_LIFETIME)
                .pendingAcquireTimeout(ACQUIRE_TIMEOUT)
                .evictInBackground(IDLE_TIMEOUT)
                .build();
        return new HttpTargetClient(HttpClient.create(provider)
                .protocol(HttpProtocol.HTTP11)
                .disableRetry(true)
                .followRedirect(false)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .option(ChannelOption.TCP_NODELAY, true));
    }

    /** {@inheritDoc} */
    @Override
    public Flux<AnswerPart> send(Target target, TargetRequest request) {
        return send(target, request, Optional::empty);
    }

    /** {@inheritDoc} */
    @Override
    public Flux<AnswerPart> send(Target target, TargetRequest request, SendCheck check) {
        return Flux.defer(() -> {
            Exchange exchange = new Exchange(target, request);
            return sendFirst(target, request, exchange, check)
                    .onErrorResume(error -> resumed(target, request, exchange, error, 0))
                    .onErrorMap(error -> exchange.failure(error).asException())
                    .doFinally(signal -> cancelUnlessComplete(target, request, exchange))
                    .onBackpressureBuffer();
        });
    }

    /** {@inheritDoc} */
    @Override
    public Flux<AnswerPart> resume(Target target, TargetRequest request, StreamPosition position) {
        return Flux.defer(() -> {
            Exchange exchange = Exchange.resumeAt(target, request, position);
            return requestRest(target, request, exchange, 0)
                    .onErrorMap(error -> exchange.failure(error).asException())
                    .doFinally(signal -> cancelUnlessComplete(target, request, exchange))
                    .onBackpressureBuffer();
        });
    }

    /**
     * Sends the request and returns its answer as far as the first connection delivers it.
     *
     * @param exchange The state of the request.
     * @param check The last check before the first byte of the request is sent.
     */
    private Flux<AnswerPart> sendFirst(Target target, TargetRequest request, Exchange exchange, SendCheck check) {
        return client.headers(headers -> {
                    headers.set(Exchange.ID_HEADER, request.id());
                    if (!request.contentType().isEmpty()) {
                        headers.set(HttpHeaderNames.CONTENT_TYPE, request.contentType());
                    }
                    headers.set(HttpHeaderNames.CONTENT_LENGTH, request.body().length);
                })
                .request(HttpMethod.valueOf(request.method()))
                .uri(uri(target, request.path()))
                .send((outgoing, outbound) -> {
                    Optional<Failure> refusal = check.refusal();
                    if (refusal.isPresent()) {
                        return Mono.error(refusal.get().asException());
                    }
                    exchange.markSent();
                    return outbound.sendByteArray(Mono.just(request.body()));
                })
                .response((response, content) -> Flux.defer(() -> {
                    AnswerPart head = exchange.head(response);
                    return Flux.concat(
                            Flux.just(head),
                            content.map(exchange::body).concatMapIterable(parts -> parts),
                            Flux.defer(() -> exchange.isComplete() ? Flux.empty() : Flux.just(exchange.end())));
                }))
                .timeout(request.silence())
                .takeUntil(part -> part instanceof AnswerPart.End);
    }

    /**
     * Resumes a stream after an error, if possible.
     *
     * @param exchange The state of the request.
     * @param error The error that ended the previous connection.
     * @param fruitless The number of consecutive attempts so far that brought no token.
     * @return The remaining parts, or the error if the stream cannot be resumed.
     */
    private Flux<AnswerPart> resumed(
            Target target, TargetRequest request, Exchange exchange, Throwable error, int fruitless) {
        boolean resumable = exchange.isResumable() && request.path().equals(COMPLETIONS);
        if (!resumable || fruitless >= MAX_FRUITLESS_RESUMPTIONS) {
            return Flux.error(error);
        }
        return requestRest(target, request, exchange, fruitless);
    }

    /**
     * Requests the rest of a stream on a new connection.
     *
     * @param exchange The state of the request.
     * @param fruitless The number of consecutive attempts so far that brought no token.
     * @return The remaining parts, or the last error if the stream cannot be resumed.
     */
    private Flux<AnswerPart> requestRest(Target target, TargetRequest request, Exchange exchange, int fruitless) {
        int from = exchange.next();
        String path = COMPLETIONS + "/" + request.id() + "?from=" + from;
        return client.headers(headers -> headers.set(Exchange.ID_HEADER, request.id()))
                .get()
                .uri(uri(target, path))
                .response((response, content) -> Flux.defer(() -> {
                    exchange.resumed(response);
                    return Flux.concat(
                            content.map(exchange::body).concatMapIterable(parts -> parts),
                            Flux.defer(() -> exchange.isComplete() ? Flux.empty() : Flux.just(exchange.end())));
                }))
                .timeout(request.silence())
                .takeUntil(part -> part instanceof AnswerPart.End)
                .onErrorResume(
                        next -> resumed(target, request, exchange, next, exchange.next() > from ? 0 : fruitless + 1));
    }

    /**
     * Cancels a completion at the target, unless its answer is complete or its request was never sent. Errors are
     * ignored.
     */
    private void cancelUnlessComplete(Target target, TargetRequest request, Exchange exchange) {
        if (!exchange.isSent() || exchange.isComplete() || !request.path().equals(COMPLETIONS)) {
            return;
        }
        client.headers(headers -> headers.set(Exchange.ID_HEADER, request.id()))
                .delete()
                .uri(uri(target, COMPLETIONS + "/" + request.id()))
                .response()
                .timeout(CANCEL_TIMEOUT)
                .subscribe(ignored -> {}, error -> {});
    }

    private static String uri(Target target, String path) {
        return "http://" + target.address() + path;
    }
}
