package org.tanagermoor.standin.link;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.reactivestreams.Publisher;
import org.tanagermoor.http.Bodies;
import org.tanagermoor.http.Json;
import org.tanagermoor.http.Responses;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.kernel.setting.Address;
import org.tanagermoor.kernel.setting.Setting;
import org.tanagermoor.kernel.setting.Settings;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** Runs a relay, with an HTTP server that controls it, until the process is ended. */
public final class LinkMain {

    /** The address on which the relay listens. */
    private static final Setting<Address> ADDRESS =
            Setting.ofAddress("address", "the address on which to listen, as ip:port", "127.0.0.1:0");

    /** The address to which connections are forwarded. */
    private static final Setting<Address> FORWARD_ADDRESS =
            Setting.ofAddress("forward-address", "the address to which to forward, as ip:port", null);

    /** The address on which the relay is controlled. */
    private static final Setting<Address> CONTROL_ADDRESS =
            Setting.ofAddress("control-address", "the address of the control over HTTP, as ip:port", "127.0.0.1:0");

    /** The most bytes of a request. */
    private static final int BODY_MOST = 4_096;

    /** The exit status for wrong settings. */
    private static final int WRONG_SETTINGS = 2;

    /** The status of success. */
    private static final int OK = 200;

    /** There are no instances. */
    private LinkMain() {}

    /**
     * Runs the relay.
     *
     * @param arguments The flags.
     */
    public static void main(String[] arguments) {
        Either<List<String>, Settings> settings =
                Settings.parse(List.of(ADDRESS, FORWARD_ADDRESS, CONTROL_ADDRESS), List.of(arguments), Map.of());
        if (settings.isLeft()) {
            settings.getLeft().forEach(System.err::println);
            System.exit(WRONG_SETTINGS);
        }
        run(settings.get());
    }

    /**
     * Runs the relay.
     *
     * @param settings The settings.
     */
    private static void run(Settings settings) {
        try (LinkRelay relay = LinkRelay.start(settings.value(ADDRESS), settings.value(FORWARD_ADDRESS))) {
            DisposableServer control = HttpServer.create()
                    .bindAddress(settings.value(CONTROL_ADDRESS)::toSocketAddress)
                    .route(routes -> routes.put("/link", (request, response) -> control(relay, request, response)))
                    .bindNow();
            System.out.println("ready " + relay.address() + " control 127.0.0.1:" + control.port());
            relay.await();
        }
    }

    /**
     * Handles a request to change the relay.
     *
     * @param relay The relay.
     * @param request The request.
     * @param response The response.
     * @return Completes when the response is written.
     */
    private static Publisher<Void> control(LinkRelay relay, HttpServerRequest request, HttpServerResponse response) {
        return Bodies.readJson(request, BODY_MOST)
                .map(body -> body.flatMap(node -> change(relay, node)))
                .flatMap(result -> result.fold(
                        failure -> Responses.refusal(response, failure),
                        action -> Responses.json(
                                response, OK, Json.mapper().createObjectNode().put("action", action))));
    }

    /**
     * Changes the relay.
     *
     * @param relay The relay.
     * @param node The change.
     * @return The name of the change, or a failure.
     */
    static Either<Failure, String> change(LinkRelay relay, JsonNode node) {
        String action = node.path("action").asText();
        switch (action) {
            case "cut" -> relay.cut();
            case "refuse" -> relay.refuse();
            case "freeze" -> relay.freeze(true);
            case "freeze_all" -> relay.freeze(false);
            case "delay" -> relay.delay(Duration.ofMillis(node.path("delay_ms").asLong()));
            case "heal" -> relay.heal();
            default -> {
                String detail = "there is no action of this name: " + action;
                return Either.left(Failure.notRun(Failure.Kind.INVALID, "link.control", Failure.LOCAL, detail));
            }
        }
        return Either.right(action);
    }
}
