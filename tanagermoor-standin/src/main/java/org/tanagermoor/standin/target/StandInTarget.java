package org.tanagermoor.standin.target;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;
import org.reactivestreams.Publisher;
import org.tanagermoor.kernel.setting.Address;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.HttpProtocol;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** A stand-in target that listens for requests. */
public final class StandInTarget implements AutoCloseable {

    /** The path of completions. */
    private static final String COMPLETIONS = "/v1/completions";

    /** The path of counters. */
    private static final String COUNTER = "/counter/";

    /** The tokens of a completion where the request names no number. */
    private static final int TOKENS = 16;

    /** The status of a request that is malformed. */
    private static final int INVALID = 400;

    /** The status of what does not exist. */
    private static final int NOT_FOUND = 404;

    /** The status of a request of a foreign caller. */
    private static final int MISDIRECTED = 421;

    /** The status of a full target. */
    private static final int FULL = 503;

    /** The time for closing connections at a stop. */
    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(1);

    /** The part of the time to the first token that a cached prefix leaves. */
    private static final int CACHED_DIVISOR = 4;

    /** The options. */
    private final TargetOptions options;

    /** The record of all requests. */
    private final ExecutionLog log = new ExecutionLog();

    /** The faults that are still to strike. */
    private final Faults faults = new Faults();

    /** Lets faults strike. */
    private final FaultInjector injector = new FaultInjector(this::restart, this::leave);

    /** Writes the answers. */
    private final AnswerWriter writer = new AnswerWriter(injector);

    /** The engine. */
    private final Engine engine;

    /** The cache of prefixes. */
    private final PrefixCache cache;

    /** The control endpoints. */
    private final ControlEndpoints control;

    /** The orders that were taken. */
    private final EngineControl orders;

    /** The counters of the plain service by name. */
    private final Map<String, AtomicLong> counters = new ConcurrentHashMap<>();

    /** The server. */
    private final DisposableServer server;

    /**
     * Creates a target and starts to listen.
     *
     * @param options The options.
     */
    private StandInTarget(TargetOptions options) {
        this.options = options;
        engine = new Engine(options, log, System::nanoTime, this::fallen);
        cache = new PrefixCache(options.seed());
        control = new ControlEndpoints(options);
        orders = new EngineControl(options, System::nanoTime, engine::reload);
        server = HttpServer.create()
                .bindAddress(options.address()::toSocketAddress)
                .protocol(HttpProtocol.HTTP11)
                .doOnChannelInit((observer, channel, remote) -> injector.accepted(channel, faults))
                .handle(this::handle)
                .bindNow();
    }

    /**
     * Starts a target.
     *
     * @param options The options.
     * @return A target that listens.
     */
    public static StandInTarget start(TargetOptions options) {
        return new StandInTarget(options);
    }

    /**
     * Returns the address at which the target listens.
     *
     * @return The address.
     */
    public Address address() {
        InetSocketAddress bound = (InetSocketAddress) server.address();
        return Address.of(bound.getAddress().getHostAddress(), bound.getPort());
    }

    /**
     * Returns the faults that are still to strike.
     *
     * @return The faults.
     */
    public Faults faults() {
        return faults;
    }

    /**
     * Returns the record of all requests.
     *
     * @return The record.
     */
    public ExecutionLog log() {
        return log;
    }

    /** Turns cold without warning: what runs is lost, all connections are reset, and the start mark changes. */
    public void restart() {
        orders.restarted();
        engine.restart();
    }

    /**
     * Returns the orders that were taken.
     *
     * @return The orders, in order.
     */
    public List<JsonNode> orders() {
        return orders.orders();
    }

    /** {@inheritDoc} */
    @Override
    public void close() {
        leave();
        server.disposeNow(STOP_TIMEOUT);
    }

    /** Stops to listen and resets all connections. */
    private void leave() {
        server.channel().close();
        injector.leave();
    }

    /** Forgets what the memory held and resets all connections, as the engine fell over. */
    private void fallen() {
        cache.clear();
        injector.resetAll();
    }

    /**
     * Handles a request.
     *
     * @param request The request.
     * @param response The response.
     * @return Completes when the answer is written.
     */
    private Publisher<Void> handle(HttpServerRequest request, HttpServerResponse response) {
        response.header("x-start-mark", engine.startMark());
        response.header(AnswerWriter.ID, idOf(request));
        return request.receive()
                .aggregate()
                .asByteArray()
                .defaultIfEmpty(new byte[0])
                .flatMap(body -> isSilent(request) ? Mono.never() : route(request, response, body))
                .onErrorResume(IllegalArgumentException.class, error -> error(response, INVALID));
    }

    /**
     * Routes a request by its path.
     *
     * @param request The request.
     * @param response The response.
     * @param body The body.
     * @return Completes when the answer is written.
     */
    private Mono<Void> route(HttpServerRequest request, HttpServerResponse response, byte[] body) {
        QueryStringDecoder uri = new QueryStringDecoder(request.uri());
        String method = request.method().name();
        return switch (method + " " + uri.path()) {
            case "GET /record" -> answer(response, control.record(log, engine.startMark(), orders.orders()));
            case "PUT /faults" -> {
                faults.replace(ControlEndpoints.faults(ControlEndpoints.read(body)));
                yield answer(response, AnswerWriter.document());
            }
            case "GET /load" -> answer(response, control.load(engine.report()));
            case "GET /cache-events" ->
                answer(response, control.cacheEvents(cache.since(number(uri, "after"), System.nanoTime())));
            case "GET /engine" -> answer(response, orders.report(engine.present()));
            case "POST /orders" -> order(response, ControlEndpoints.read(body));
            default -> isForeign(request) ? error(response, MISDIRECTED) : serve(request, uri, response, body);
        };
    }

    /**
     * Serves a request that is not one of the control endpoints.
     *
     * @param request The request.
     * @param uri The address of the request.
     * @param response The response.
     * @param body The body.
     * @return Completes when the answer is written.
     */
    private Mono<Void> serve(
            HttpServerRequest request, QueryStringDecoder uri, HttpServerResponse response, byte[] body) {
        if (uri.path().startsWith(COMPLETIONS + "/")) {
            return known(request, uri, response);
        }
        boolean completes = request.method().name().equals("POST") && uri.path().equals(COMPLETIONS);
        return completes ? completion(request, response, body) : plain(request, response, body);
    }

    /**
     * Returns whether a request is not one of the only caller. A process that still calls the port of a target or a
     * store that has ended reaches the target that got the port next.
     *
     * @param request The request.
     * @return Whether it is to be neither recorded nor executed.
     */
    private boolean isForeign(HttpServerRequest request) {
        return !idOf(request).startsWith(options.caller());
    }

    /**
     * Resumes or cancels a completion.
     *
     * @param request The request.
     * @param uri The address of the request.
     * @param response The response.
     * @return Completes when the answer is written.
     */
    private Mono<Void> known(HttpServerRequest request, QueryStringDecoder uri, HttpServerResponse response) {
        String id = uri.path().substring(COMPLETIONS.length() + 1);
        if (request.method().name().equals("DELETE")) {
            return engine.cancel(id) ? answer(response, AnswerWriter.document()) : error(response, NOT_FOUND);
        }
        int from = (int) number(uri, "from");
        return engine.find(id)
                .map(generation -> generation.entry().state() == ExecutionLog.State.CANCELLED
                        ? goOn(request, response, generation, from)
                        : writer.stream(response, generation, from, null))
                .orElseGet(() -> error(response, NOT_FOUND));
    }

    /**
     * Goes on with a completion that was cancelled.
     *
     * @param request The request.
     * @param response The response.
     * @param cancelled The completion.
     * @param from The number of the first token.
     * @return Completes when the answer is written.
     */
    private Mono<Void> goOn(HttpServerRequest request, HttpServerResponse response, Generation cancelled, int from) {
        String path = new QueryStringDecoder(request.uri()).path();
        ExecutionLog.Entry entry = log.add(idOf(request), request.method().name(), path, headers(request), "");
        Duration first = options.firstToken().dividedBy(CACHED_DIVISOR);
        Optional<Generation> admitted = engine.admit(cancelled.resumed(entry, first, from));
        if (admitted.isEmpty()) {
            return refused(response);
        }
        return writer.stream(response, admitted.get(), from, null);
    }

    /**
     * Writes that the engine is full and did not run a request.
     *
     * @param response The response.
     * @return Completes when the answer is written.
     */
    private Mono<Void> refused(HttpServerResponse response) {
        response.header("x-run", "no");
        return error(response, FULL);
    }

    /**
     * Takes an order, unless a fault strikes it first.
     *
     * @param response The response.
     * @param order The order.
     * @return Completes when the answer is written.
     */
    private Mono<Void> order(HttpServerResponse response, JsonNode order) {
        Mono<Void> answer = Mono.defer(() -> writer.json(response, orders.order(order), AnswerWriter.document(), null));
        Optional<Fault> fault = faults.takeForRequest();
        if (fault.isEmpty()) {
            return answer;
        }
        Mono<Void> interruption = writer.interrupted(fault.get(), response).then();
        if (fault.get().stage() == Fault.Stage.RECEIVED) {
            return interruption.then(answer);
        }
        return Mono.fromSupplier(() -> orders.order(order))
                .flatMap(status -> interruption.then(writer.json(response, status, AnswerWriter.document(), null)));
    }

    /**
     * Runs a completion.
     *
     * @param request The request.
     * @param response The response.
     * @param body The body.
     * @return Completes when the answer is written.
     */
    private Mono<Void> completion(HttpServerRequest request, HttpServerResponse response, byte[] body) {
        JsonNode document = ControlEndpoints.read(body);
        if (!document.path("model").asText().equals(orders.model())) {
            return error(response, NOT_FOUND);
        }
        String prompt = document.path("prompt").asText();
        boolean stream = document.path("stream").asBoolean();
        Duration first = cache.use(prompt, System.nanoTime())
                ? options.firstToken().dividedBy(CACHED_DIVISOR)
                : options.firstToken();
        Work work = new Work(prompt, document.path("max_tokens").asInt(TOKENS), first);
        return execute(
                request,
                response,
                body,
                work,
                (generation, fault) -> stream
                        ? writer.stream(response, generation, 0, fault)
                        : generation.ended().then(writer.json(response, 200, whole(generation), fault)));
    }

    /**
     * Runs a call of a plain service.
     *
     * @param request The request.
     * @param response The response.
     * @param body The body.
     * @return Completes when the answer is written.
     */
    private Mono<Void> plain(HttpServerRequest request, HttpServerResponse response, byte[] body) {
        Work work = new Work("", 0, options.firstToken());
        String path = new QueryStringDecoder(request.uri()).path();
        Function<Generation, ObjectNode> result = path.startsWith(COUNTER)
                ? generation -> counted(request.method().name(), path)
                : generation -> AnswerWriter.document()
                        .put("method", request.method().name())
                        .put("path", request.uri())
                        .put("body", new String(body, StandardCharsets.UTF_8));
        return execute(
                request,
                response,
                body,
                work,
                (generation, fault) -> generation
                        .ended()
                        .then(Mono.defer(() -> writer.json(response, 200, result.apply(generation), fault))));
    }

    /**
     * Executes a request, unless a fault strikes it first or the engine refuses it.
     *
     * @param request The request.
     * @param response The response.
     * @param body The body.
     * @param work What is to be done.
     * @param answer Writes the answer.
     * @return Completes when the answer is written.
     */
    private Mono<Void> execute(
            HttpServerRequest request, HttpServerResponse response, byte[] body, Work work, Answer answer) {
        ExecutionLog.Entry entry = log.add(
                idOf(request),
                request.method().name(),
                new QueryStringDecoder(request.uri()).path(),
                headers(request),
                new String(body, StandardCharsets.UTF_8));
        Fault fault = faults.takeForRequest().orElse(null);
        Mono<Void> run = Mono.defer(() -> run(response, entry, work, answer, fault));
        if (fault == null || fault.stage() != Fault.Stage.RECEIVED) {
            return run;
        }
        return fault.kind() == Fault.Kind.CROSSED
                ? crossed(response)
                : writer.interrupted(fault, response).then(run);
    }

    /**
     * Runs a request and writes its answer.
     *
     * @param response The response.
     * @param entry The entry in the record.
     * @param work What is to be done.
     * @param answer Writes the answer.
     * @param fault The fault that strikes the request, or {@code null}.
     * @return Completes when the answer is written.
     */
    private Mono<Void> run(
            HttpServerResponse response, ExecutionLog.Entry entry, Work work, Answer answer, @Nullable Fault fault) {
        Optional<Generation> admitted = orders.ready()
                ? engine.admit(entry, work.prompt(), work.tokens(), work.firstToken())
                : Optional.empty();
        if (admitted.isEmpty()) {
            return refused(response);
        }
        Generation generation = admitted.get();
        if (fault == null || fault.stage() != Fault.Stage.EXECUTED) {
            return answer.write(generation, fault);
        }
        Mono<Void> struck = fault.kind() == Fault.Kind.CROSSED
                ? crossed(response)
                : writer.interrupted(fault, response).then(Mono.defer(() -> answer.write(generation, fault)));
        return generation.ended().then(struck);
    }

    /**
     * Writes an answer that belongs to another exchange.
     *
     * @param response The response.
     * @return Completes when the answer is written.
     */
    private Mono<Void> crossed(HttpServerResponse response) {
        String id = response.responseHeaders().get(AnswerWriter.ID, "");
        response.header(AnswerWriter.ID, "other-" + id);
        return writer.json(response, 200, AnswerWriter.document().put("id", "other-" + id), null);
    }

    /**
     * Counts a call and returns the state of its counter.
     *
     * @param method The method; only {@code POST} counts.
     * @param path The path with the name of the counter.
     * @return The state of the counter.
     */
    private ObjectNode counted(String method, String path) {
        AtomicLong counter = counters.computeIfAbsent(path, ignored -> new AtomicLong());
        long value = method.equals("POST") ? counter.incrementAndGet() : counter.get();
        return AnswerWriter.document()
                .put("counter", path.substring(COUNTER.length()))
                .put("value", value);
    }

    /**
     * Returns a completion as one document.
     *
     * @param generation The completion.
     * @return The document.
     */
    private static ObjectNode whole(Generation generation) {
        ObjectNode result = AnswerWriter.document().put("id", generation.entry().id());
        result.putArray("choices")
                .addObject()
                .put("index", 0)
                .put("text", generation.text())
                .put("finish_reason", "length");
        return result;
    }

    /**
     * Writes a document.
     *
     * @param response The response.
     * @param document The document.
     * @return Completes when the answer is written.
     */
    private Mono<Void> answer(HttpServerResponse response, ObjectNode document) {
        return writer.json(response, 200, document, null);
    }

    /**
     * Writes an error.
     *
     * @param response The response.
     * @param status The status.
     * @return Completes when the answer is written.
     */
    private Mono<Void> error(HttpServerResponse response, int status) {
        return writer.json(response, status, AnswerWriter.document().put("error", status), null);
    }

    /**
     * Returns whether the connection of a request is never answered.
     *
     * @param request The request.
     * @return Whether it is never answered.
     */
    private boolean isSilent(HttpServerRequest request) {
        boolean[] silent = new boolean[1];
        request.withConnection(connection -> silent[0] = injector.isSilent(connection.channel()));
        return silent[0];
    }

    /**
     * Returns the identity of an exchange.
     *
     * @param request The request.
     * @return The identity; empty if there is none.
     */
    private static String idOf(HttpServerRequest request) {
        return request.requestHeaders().get(AnswerWriter.ID, "");
    }

    /**
     * Returns a number from a query.
     *
     * @param uri The path with its query.
     * @param name The name.
     * @return The number, or 0 if it is not there.
     */
    private static long number(QueryStringDecoder uri, String name) {
        return Long.parseLong(uri.parameters().getOrDefault(name, List.of("0")).get(0));
    }

    /**
     * Returns the headers of a request.
     *
     * @param request The request.
     * @return The values by the name in lower case.
     */
    private static Map<String, String> headers(HttpServerRequest request) {
        Map<String, String> result = new HashMap<>();
        request.requestHeaders()
                .forEach(header -> result.put(header.getKey().toLowerCase(Locale.ROOT), header.getValue()));
        return result;
    }

    /**
     * What is to be done for a request.
     *
     * @param prompt The prompt.
     * @param tokens The number of tokens.
     * @param firstToken The time to the first token.
     */
    private record Work(String prompt, int tokens, Duration firstToken) {}

    /** Writes the answer of a request. */
    @FunctionalInterface
    private interface Answer {

        /**
         * Writes the answer.
         *
         * @param generation The request that runs.
         * @param fault The fault that strikes the answer, or {@code null}.
         * @return Completes when the answer is written.
         */
        Mono<Void> write(Generation generation, @Nullable Fault fault);
    }
}
