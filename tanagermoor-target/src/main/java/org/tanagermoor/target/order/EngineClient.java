package org.tanagermoor.target.order;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.ChannelOption;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import org.tanagermoor.kernel.event.EventLog;
import org.tanagermoor.policy.configuration.EngineState;
import org.tanagermoor.policy.configuration.Target;
import org.tanagermoor.policy.order.EngineReport;
import org.tanagermoor.policy.order.Fence;
import org.tanagermoor.policy.order.Order;
import org.tanagermoor.policy.order.Outcome;
import org.tanagermoor.target.TargetEvent;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;
import reactor.netty.resources.ConnectionProvider;

/**
 * Reads the state of model engines and sends orders to them. Each call uses its own connection and is never repeated.
 */
final class EngineClient {

    /** The maximum time for connecting, in milliseconds. */
    private static final int CONNECTION_TIMEOUT_MILLIS = 1_000;

    /** The maximum time to wait for an answer. */
    private static final Duration TIMEOUT = Duration.ofSeconds(2);

    /** The status of a report, and of an order that the engine accepted. */
    private static final int OK = 200;

    /** The status of an order that was refused because of an outdated fencing number. */
    private static final int CONFLICT = 409;

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final HttpClient client = HttpClient.create(ConnectionProvider.newConnection())
            .disableRetry(true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECTION_TIMEOUT_MILLIS)
            .responseTimeout(TIMEOUT);

    private final EventLog events;

    EngineClient(EventLog events) {
        this.events = events;
    }

    /**
     * Reads the state of an engine.
     *
     * @return The report, or empty if the engine returned none that is usable. Exceptions are logged.
     */
    Mono<EngineReport> read(Target target) {
        return client.remoteAddress(target.address()::toSocketAddress)
                .get()
                .uri("/engine")
                .responseSingle((response, body) -> response.status().code() == OK ? body.asByteArray() : Mono.empty())
                .timeout(TIMEOUT)
                .flatMap(bytes -> Mono.fromCallable(() -> report(bytes)))
                .doOnError(error ->
                        events.record(TargetEvent.ENGINE_UNKNOWN, "target", target.id(), "reason", error.toString()))
                .onErrorComplete();
    }

    /**
     * Sends an order.
     *
     * @param fence The fencing number of the order.
     * @param maySend Decides whether the order may still be sent; called once the connection is open.
     * @return How the order ended.
     */
    Mono<Outcome> send(Target target, Order order, Fence fence, BooleanSupplier maySend) {
        AtomicBoolean sent = new AtomicBoolean();
        byte[] body = body(order, fence).toString().getBytes(StandardCharsets.UTF_8);
        return client.remoteAddress(target.address()::toSocketAddress)
                .headers(headers -> headers.set("content-type", "application/json"))
                .post()
                .uri("/orders")
                .send((request, outbound) -> {
                    if (!maySend.getAsBoolean()) {
                        return Mono.error(new IOException("this instance may be behind"));
                    }
                    sent.set(true);
                    return outbound.sendByteArray(Mono.just(body));
                })
                .response()
                .timeout(TIMEOUT.plusMillis(CONNECTION_TIMEOUT_MILLIS))
                .map(EngineClient::outcome)
                .onErrorResume(error -> Mono.just(sent.get() ? Outcome.UNKNOWN : Outcome.NOT_SENT));
    }

    /** Returns how an order ended, according to the status of its answer. */
    private static Outcome outcome(HttpClientResponse response) {
        return switch (response.status().code()) {
            case OK -> Outcome.TAKEN;
            case CONFLICT -> Outcome.REFUSED;
            default -> Outcome.UNKNOWN;
        };
    }

    /** Encodes an order as JSON. */
    private static ObjectNode body(Order order, Fence fence) {
        ObjectNode node = MAPPER.createObjectNode().put("fence", fence.number());
        return switch (order) {
            case Order.LoadModel load ->
                node.put("order", "load").put("model", load.model()).put("version", load.version());
            case Order.LoadAdapter load -> node.put("order", "load-adapter").put("adapter", load.adapter());
            case Order.UnloadAdapter unload ->
                node.put("order", "unload-adapter").put("adapter", unload.adapter());
            case Order.ChangeRole change -> node.put("order", "role").put("role", change.role());
        };
    }

    /**
     * Parses the JSON report of an engine.
     *
     * @throws IOException If the bytes are not a report.
     */
    private static EngineReport report(byte[] bytes) throws IOException {
        JsonNode node = MAPPER.readTree(bytes);
        if (!node.path("model").isTextual() || !node.path("ready").isBoolean()) {
            throw new IOException("the report has no model or does not say whether the engine is ready");
        }
        List<String> adapters = new ArrayList<>();
        node.path("adapters").forEach(adapter -> adapters.add(adapter.asText()));
        EngineState state = EngineState.of(
                node.path("model").asText(),
                node.path("version").asText(),
                adapters,
                node.path("role").asText());
        return new EngineReport(
                state,
                node.path("ready").asBoolean(),
                node.path("running").asInt(),
                node.path("fence").asLong());
    }
}
