package org.tanagermoor.daemon.status;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.reactivestreams.Publisher;
import org.tanagermoor.http.HttpEndpoints;
import org.tanagermoor.http.Json;
import org.tanagermoor.http.Responses;
import org.tanagermoor.kernel.event.EventLog;
import org.tanagermoor.kernel.event.EventRecord;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.kernel.plugin.Context;
import org.tanagermoor.kernel.plugin.Plugin;
import org.tanagermoor.kernel.setting.Setting;
import org.tanagermoor.kernel.time.TimeSource;
import org.tanagermoor.membership.Membership;
import org.tanagermoor.policy.configuration.Configuration;
import org.tanagermoor.policy.fleet.Member;
import org.tanagermoor.wire.link.PeerLink;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** The plug-in that registers the endpoints with which operators read the status, events and metrics of an instance. */
public final class StatusPlugin implements Plugin {

    /** The maximum number of events in one response. */
    private static final int MAX_EVENTS = 2_000;

    /** {@inheritDoc} */
    @Override
    public String name() {
        return "status";
    }

    /** {@inheritDoc} */
    @Override
    public Set<String> requires() {
        return Set.of("http", "wire", "membership");
    }

    /** {@inheritDoc} */
    @Override
    public List<Setting<?>> settings() {
        return List.of();
    }

    /** {@inheritDoc} */
    @Override
    public void start(Context context) {
        HttpEndpoints endpoints = context.service(HttpEndpoints.class);
        Membership membership = context.service(Membership.class);
        ProcessGauges.register(context.metrics(), context.service(PeerLink.class));
        endpoints.registerForOperators(
                "GET",
                "/operator/status",
                (request, response) -> Responses.json(response, 200, status(membership, context.time())));
        endpoints.registerForOperators(
                "GET", "/operator/events", (request, response) -> events(context.events(), request, response));
        endpoints.registerForOperators(
                "GET",
                "/operator/metrics",
                (request, response) -> Responses.json(response, 200, MetricsDocument.of(context.metrics())));
    }

    /** {@inheritDoc} */
    @Override
    public void stop() {
        // The endpoints stop with the HTTP server.
    }

    /**
     * Returns the standing and configuration version of this instance, and the members that it knows.
     */
    private static ObjectNode status(Membership membership, TimeSource time) {
        long now = time.nanos();
        Configuration configuration = membership.configuration();
        ObjectNode document = Json.mapper().createObjectNode();
        document.put("instance", membership.self().id().toString())
                .put("domain", membership.self().domain().value())
                .put("standing", membership.standing(now).name().toLowerCase(Locale.ROOT))
                .put("version", configuration.version())
                .put("preset", configuration.presetInForce())
                .put("view_version", configuration.view().version())
                .put("view_accepted", membership.viewAccepted(now));
        ArrayNode members = document.putArray("members");
        for (Member member : configuration.view().members().values()) {
            members.addObject()
                    .put("instance", member.id().toString())
                    .put("domain", member.domain().value())
                    .put("caller_address", member.callerAddress().toString())
                    .put("peer_address", member.peerAddress().toString())
                    .put("leaving", member.leaving())
                    .put("heard", membership.seenRecently(member.id(), now));
        }
        return document;
    }

    /**
     * Answers with the recent events after the sequence number in the query parameter {@code since}, oldest first.
     *
     * @return Completes when the response is written.
     */
    private static Publisher<Void> events(EventLog events, HttpServerRequest request, HttpServerResponse response) {
        List<String> since = new QueryStringDecoder(request.uri()).parameters().getOrDefault("since", List.of("0"));
        long sequence;
        try {
            sequence = Long.parseLong(since.get(0));
        } catch (NumberFormatException exception) {
            return Responses.refusal(
                    response,
                    Failure.notRun(
                            Failure.Kind.INVALID, "status.events", Failure.LOCAL, "since is not a whole number"));
        }
        ArrayNode document = Json.mapper().createArrayNode();
        events.since(sequence, MAX_EVENTS).forEach(event -> add(document, event));
        return Responses.json(response, 200, document);
    }

    private static void add(ArrayNode document, EventRecord event) {
        ObjectNode node = document.addObject()
                .put("sequence", event.sequence())
                .put("millis", event.timestamp().millis())
                .put("counter", event.timestamp().counter())
                .put("process", event.process())
                .put("code", event.type().code())
                .put("name", event.type().name())
                .put("text", event.type().text());
        ObjectNode fields = node.putObject("fields");
        event.fields().forEach(fields::put);
    }
}
