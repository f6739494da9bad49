package org.tanagermoor.online.endpoint;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.time.Duration;
import java.util.List;
import org.tanagermoor.http.HttpEndpoints;
import org.tanagermoor.http.Json;
import org.tanagermoor.http.Responses;
import org.tanagermoor.membership.Membership;
import org.tanagermoor.online.admission.Admission;
import org.tanagermoor.online.admission.Identity;
import org.tanagermoor.policy.configuration.Configuration;
import org.tanagermoor.policy.directory.DirectorySelection;
import org.tanagermoor.policy.fleet.Member;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** The endpoint that tells callers which instances to use. */
public final class DirectoryEndpoint {

    private final Membership membership;

    private final Admission admission;

    /** The time for which callers may use a directory that they fetched. */
    private final Duration timeToLive;

    /**
     * Creates an endpoint, which serves once it is registered.
     *
     * @param membership The membership of this instance.
     * @param admission Identifies callers.
     * @param timeToLive The time for which callers may use a directory that they fetched.
     */
    public DirectoryEndpoint(Membership membership, Admission admission, Duration timeToLive) {
        this.membership = membership;
        this.admission = admission;
        this.timeToLive = timeToLive;
    }

    /**
     * Registers the endpoint.
     *
     * @param endpoints The registry of the HTTP server.
     */
    public void register(HttpEndpoints endpoints) {
        endpoints.register("GET", "/v1/directory", this::handle);
    }

    /** Answers a request. An instance without standing refuses, because it may not know which instances leave. */
    private Mono<Void> handle(HttpServerRequest request, HttpServerResponse response) {
        return admission
                .identify(request)
                .fold(
                        failure -> Responses.refusal(response, failure),
                        identity -> Responses.json(response, 200, directory(request, identity)));
    }

    /** Returns the directory for a caller, ordered for the failure domain that the query names. */
    private ObjectNode directory(HttpServerRequest request, Identity identity) {
        Configuration configuration = membership.configuration();
        String domain = new QueryStringDecoder(request.uri())
                .parameters()
                .getOrDefault("domain", List.of(""))
                .get(0);
        ObjectNode result = Json.mapper()
                .createObjectNode()
                .put("version", configuration.version())
                .put("ttl_ms", timeToLive.toMillis());
        ArrayNode instances = result.putArray("instances");
        for (Member member : DirectorySelection.select(configuration, identity.team(), domain)) {
            instances
                    .addObject()
                    .put("address", member.callerAddress().toString())
                    .put("domain", member.domain().value());
        }
        return result;
    }
}
