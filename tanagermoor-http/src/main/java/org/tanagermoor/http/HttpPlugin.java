package org.tanagermoor.http;

import java.security.MessageDigest;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;
import org.reactivestreams.Publisher;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.kernel.plugin.Context;
import org.tanagermoor.kernel.plugin.Plugin;
import org.tanagermoor.kernel.setting.Address;
import org.tanagermoor.kernel.setting.Setting;
import reactor.netty.DisposableServer;
import reactor.netty.http.HttpProtocol;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** Runs the HTTP server for callers and operators. */
public final class HttpPlugin implements Plugin, HttpEndpoints {

    /** The name by which other plug-ins require this one. */
    public static final String NAME = "http";

    /** The address on which the server listens for callers and operators. */
    public static final Setting<Address> ADDRESS =
            Setting.ofAddress("caller-address", "the address for callers and operators, as ip:port", "127.0.0.1:8080");

    /** The SHA-256 of the operators' key. An instance is configured with this digest only, never with the key. */
    public static final Setting<String> OPERATOR_KEY = Setting.ofText(
            "operator-key-sha256", "the SHA-256 of the operators' key, as 64 lower-case hexadecimal digits", null);

    /** The time after which the server closes an idle connection. */
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(60);

    /** The maximum time for running requests to finish when the server stops. */
    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(30);

    private final List<Endpoint> endpoints = new CopyOnWriteArrayList<>();

    private String operatorKeySha256 = "";

    /** {@code null} before the start. */
    @Nullable
    private DisposableServer server;

    /** {@inheritDoc} */
    @Override
    public String name() {
        return NAME;
    }

    /** {@inheritDoc} */
    @Override
    public Set<String> requires() {
        return Set.of();
    }

    /** {@inheritDoc} */
    @Override
    public List<Setting<?>> settings() {
        return List.of(ADDRESS, OPERATOR_KEY);
    }

    /** {@inheritDoc} */
    @Override
    public void start(Context context) {
        operatorKeySha256 = context.settings().value(OPERATOR_KEY);
        Address address = context.settings().value(ADDRESS);
        server = HttpServer.create()
                .bindAddress(address::toSocketAddress)
                .protocol(HttpProtocol.HTTP11)
                .idleTimeout(IDLE_TIMEOUT)
                .handle(this::handle)
                .bindNow();
        context.register(HttpEndpoints.class, this);
    }

    /** {@inheritDoc} */
    @Override
    public void stop() {
        if (server != null) {
            server.disposeNow(STOP_TIMEOUT);
        }
    }

    /** {@inheritDoc} */
    @Override
    public void register(String method, String template, Handler handler) {
        endpoints.add(new Endpoint(method, PathTemplate.of(template), request -> true, handler));
    }

    /** {@inheritDoc} */
    @Override
    public void registerForOperators(String method, String template, Handler handler) {
        endpoints.add(new Endpoint(method, PathTemplate.of(template), this::isOperator, handler));
    }

    /**
     * Returns the address on which the server listens, which tells the port if the setting leaves it to the system.
     *
     * @return The address.
     * @throws IllegalStateException If the server was not started.
     */
    public Address address() {
        if (server == null) {
            throw new IllegalStateException("The server was not started");
        }
        return Address.of(server.host(), server.port());
    }

    /** Dispatches a request to the first endpoint that has its path and method. */
    private Publisher<Void> handle(HttpServerRequest request, HttpServerResponse response) {
        String path = PathTemplate.pathOf(request.uri());
        boolean pathMatched = false;
        for (Endpoint endpoint : endpoints) {
            if (!endpoint.template().matches(path)) {
                continue;
            }
            pathMatched = true;
            if (endpoint.method().equals(request.method().name())) {
                return callAuthorized(endpoint, path, request, response);
            }
        }
        String detail = pathMatched ? "the method is not allowed here" : "no such path: " + path;
        return Responses.refusal(response, Failure.notRun(Failure.Kind.NOT_FOUND, "http.route", Failure.LOCAL, detail));
    }

    /** Calls the handler of an endpoint, or refuses the request if the caller lacks the operators' key. */
    private static Publisher<Void> callAuthorized(
            Endpoint endpoint, String path, HttpServerRequest request, HttpServerResponse response) {
        if (!endpoint.allowed().test(request)) {
            return Responses.refusal(
                    response,
                    Failure.notRun(
                            Failure.Kind.UNAUTHENTICATED,
                            "http.operator",
                            Failure.LOCAL,
                            "the operators' key is needed"));
        }
        return endpoint.handler()
                .handle(request.paramsResolver(ignored -> endpoint.template().parameters(path)), response);
    }

    /** Returns whether a request carries the operators' key. The comparison takes constant time. */
    private boolean isOperator(HttpServerRequest request) {
        Optional<String> key = Keys.sha256(request);
        return key.isPresent() && MessageDigest.isEqual(bytes(key.get()), bytes(operatorKeySha256));
    }

    private static byte[] bytes(String text) {
        return text.getBytes(java.nio.charset.StandardCharsets.UTF_8);
    }

    /**
     * A registered endpoint.
     *
     * @param allowed Tells whether the caller is authorized.
     */
    private record Endpoint(
            String method, PathTemplate template, Predicate<HttpServerRequest> allowed, Handler handler) {}
}
