package org.tanagermoor.online.endpoint;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.vavr.control.Either;
import java.util.Optional;
import java.util.function.BiFunction;
import java.util.function.Function;
import org.tanagermoor.http.Bodies;
import org.tanagermoor.http.HttpEndpoints;
import org.tanagermoor.http.Json;
import org.tanagermoor.kernel.event.EventLog;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.kernel.time.TimeSource;
import org.tanagermoor.online.OnlineMetrics;
import org.tanagermoor.online.admission.ActiveCalls;
import org.tanagermoor.online.admission.Admission;
import org.tanagermoor.online.admission.Call;
import org.tanagermoor.online.admission.Failures;
import org.tanagermoor.online.attempt.Attempts;
import org.tanagermoor.online.attempt.BufferedAnswer;
import org.tanagermoor.online.attempt.CompletionAnswer;
import org.tanagermoor.online.attempt.Payload;
import org.tanagermoor.online.idempotency.IdempotencyGuard;
import org.tanagermoor.policy.configuration.Service;
import org.tanagermoor.policy.fleet.ServiceName;
import org.tanagermoor.target.client.AnswerPart;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** The endpoints at which callers use services: completions of model services and requests to plain services. */
public final class RequestEndpoint {

    /** The request header with the idempotency key. */
    private static final String IDEMPOTENCY_KEY = "idempotency-key";

    /** The HTTP methods that plain services accept. */
    private static final String[] PLAIN_METHODS = {"GET", "POST", "PUT", "PATCH", "DELETE"};

    private final Admission admission;

    private final ActiveCalls activeCalls;

    private final Attempts attempts;

    private final IdempotencyGuard guard;

    private final OnlineMetrics metrics;

    private final AnswerWriter writer;

    /** The maximum size of a request body in bytes. */
    private final int bodyLimit;

    /**
     * Creates endpoints, which serve once they are registered.
     *
     * @param admission Admits requests.
     * @param activeCalls Tracks the requests that are being served.
     * @param attempts Runs requests on targets.
     * @param guard Runs requests with an idempotency key at most once.
     * @param metrics Measures requests.
     * @param events The log of events.
     * @param time The source of the current time.
     * @param bodyLimit The maximum size of a request body in bytes.
     */
    public RequestEndpoint(
            Admission admission,
            ActiveCalls activeCalls,
            Attempts attempts,
            IdempotencyGuard guard,
            OnlineMetrics metrics,
            EventLog events,
            TimeSource time,
            int bodyLimit) {
        this.admission = admission;
        this.activeCalls = activeCalls;
        this.attempts = attempts;
        this.guard = guard;
        this.metrics = metrics;
        this.bodyLimit = bodyLimit;
        writer = new AnswerWriter(metrics, events, time);
    }

    /**
     * Registers the endpoints.
     *
     * @param endpoints The registry of the HTTP server.
     */
    public void register(HttpEndpoints endpoints) {
        endpoints.register("POST", "/v1/completions", tracked(this::completion));
        for (String method : PLAIN_METHODS) {
            endpoints.register(method, "/services/{service}/{path:.*}", tracked(this::plain));
        }
    }

    /**
     * Returns a handler that counts and tracks requests, and writes a refusal if one fails.
     *
     * @param handler Handles a request.
     */
    private HttpEndpoints.Handler tracked(BiFunction<HttpServerRequest, HttpServerResponse, Mono<Void>> handler) {
        return (request, response) -> {
            metrics.arrived();
            Mono<Void> answer = Mono.defer(() -> handler.apply(request, response));
            return activeCalls
                    .serve(answer.onErrorResume(error -> writer.refuse(response, error)))
                    .onErrorResume(
                            error -> response.hasSentHeaders() ? Mono.error(error) : writer.refuse(response, error));
        };
    }

    /** Serves a request for a completion: admits it, and converts the answer to a stream or a document. */
    private Mono<Void> completion(HttpServerRequest request, HttpServerResponse response) {
        return Failures.orError(admission.identify(request))
                .flatMap(identity -> body(request)
                        .flatMap(body -> Failures.orError(completion(request.requestHeaders(), body)))
                        .flatMap(completion -> Failures.orError(
                                        admission.authorize(identity, completion.model(), Service.Kind.MODEL))
                                .flatMap(call -> run(
                                        request,
                                        response,
                                        call,
                                        completion.payload(),
                                        parts -> completion.stream()
                                                ? CompletionAnswer.stream(call, parts)
                                                : CompletionAnswer.document(parts)))));
    }

    /**
     * Parses a request for a completion.
     *
     * @return The request; a failure if it is invalid or contains the caller's key.
     */
    private static Either<Failure, CompletionRequest> completion(HttpHeaders headers, byte[] body) {
        return Json.read("admission.body", body)
                .flatMap(CompletionRequest::read)
                .flatMap(completion ->
                        CallerKey.rejectExposed(headers, completion.payload()).map(payload -> completion));
    }

    /** Serves a request to a plain service. */
    private Mono<Void> plain(HttpServerRequest request, HttpServerResponse response) {
        ServiceName service = ServiceName.of(String.valueOf(request.param("service")));
        return Failures.orError(admission
                        .identify(request)
                        .flatMap(identity -> admission.authorize(identity, service, Service.Kind.PLAIN)))
                .flatMap(call -> body(request)
                        .flatMap(body -> Failures.orError(payload(request, body)))
                        .flatMap(payload -> run(request, response, call, payload, BufferedAnswer::buffer)));
    }

    /**
     * Returns the request for the target of a plain service.
     *
     * @return The request; a failure if its path is not allowed or it contains the caller's key.
     */
    private static Either<Failure, Payload> payload(HttpServerRequest request, byte[] body) {
        HttpHeaders headers = request.requestHeaders();
        String type = headers.get(HttpHeaderNames.CONTENT_TYPE, "");
        return ServicePath.of(request.uri())
                .map(path -> new Payload(request.method().name(), path, type, body, ""))
                .flatMap(payload -> CallerKey.rejectExposed(headers, payload));
    }

    /**
     * Charges the team for a request, runs it and writes its answer. An idempotency key matters only if the service
     * itself is not idempotent.
     *
     * @param consumer Transforms the answer of one attempt to what the caller receives.
     */
    private Mono<Void> run(
            HttpServerRequest request,
            HttpServerResponse response,
            Call call,
            Payload payload,
            Function<Flux<AnswerPart>, Flux<AnswerPart>> consumer) {
        Optional<String> key = Optional.ofNullable(request.requestHeaders().get(IDEMPOTENCY_KEY));
        Flux<AnswerPart> run = attempts.run(call, payload, consumer);
        Flux<AnswerPart> guardedRun =
                key.isPresent() && !call.service().idempotent() ? guard.run(call, key.get(), payload, run) : run;
        return admission
                .charge(call)
                .flatMap(Failures::orError)
                .flatMap(charged -> writer.write(response, activeCalls.track(charged, guardedRun)));
    }

    /** Reads the body of a request, or fails if it exceeds the limit. */
    private Mono<byte[]> body(HttpServerRequest request) {
        return Bodies.read(request, bodyLimit).flatMap(Failures::orError);
    }
}
