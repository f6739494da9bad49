package org.tanagermoor.control;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.UUID;
import java.util.function.BiFunction;
import java.util.function.Function;
import java.util.regex.Pattern;
import org.tanagermoor.http.Bodies;
import org.tanagermoor.http.HttpEndpoints;
import org.tanagermoor.http.Json;
import org.tanagermoor.http.Responses;
import org.tanagermoor.kernel.event.EventLog;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.membership.Changes;
import org.tanagermoor.membership.Membership;
import org.tanagermoor.policy.configuration.Change;
import org.tanagermoor.policy.configuration.Configuration;
import org.tanagermoor.policy.fleet.FailureDomain;
import org.tanagermoor.policy.fleet.ServiceName;
import org.tanagermoor.policy.fleet.TargetId;
import org.tanagermoor.policy.fleet.TeamId;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** The HTTP endpoints with which operators read the configuration, change it and follow their changes. */
final class OperatorEndpoints {

    /** The header with the id of a change, by which its state can be read later. */
    static final String CHANGE_ID_HEADER = "x-change-id";

    /** The header with the version of the configuration on which a change must be based. */
    static final String IF_MATCH_HEADER = "if-match";

    /** The step of the failures that are returned. */
    private static final String STEP = "control.change";

    /** The maximum time to wait for the acceptance of a change before the answer says that it is only recorded. */
    private static final Duration ACCEPTANCE_TIMEOUT = Duration.ofSeconds(4);

    /** The maximum time to check whether a version is known to be accepted. */
    private static final Duration CHECK_TIMEOUT = Duration.ofMillis(250);

    /** The maximum size of a body in bytes. */
    private static final int MAX_BODY_BYTES = 65_536;

    /** The valid ids of changes. */
    private static final Pattern CHANGE_ID = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._~-]{0,127}");

    private final Membership membership;

    private final Changes changes;

    private final EventLog events;

    OperatorEndpoints(Membership membership, Changes changes, EventLog events) {
        this.membership = membership;
        this.changes = changes;
        this.events = events;
    }

    /**
     * Registers all endpoints of this class.
     */
    void register(HttpEndpoints endpoints) {
        show(endpoints, "configuration", ConfigurationBodies::all);
        show(endpoints, "presets", ConfigurationBodies::presets);
        show(endpoints, "domains", ConfigurationBodies::domains);
        show(endpoints, "teams", ConfigurationBodies::teams);
        show(endpoints, "services", ConfigurationBodies::services);
        show(endpoints, "targets", ConfigurationBodies::targets);
        put(endpoints, "PUT", "presets/{name}", ChangeBodies::preset);
        put(endpoints, "PUT", "teams/{name}", ChangeBodies::team);
        put(endpoints, "POST", "teams/{name}/keys", ChangeBodies::key);
        put(endpoints, "PUT", "services/{name}", ChangeBodies::service);
        put(endpoints, "PUT", "targets/{name}", ChangeBodies::target);
        withoutBody(endpoints, "POST", "presets/{name}/activate", Change.ActivatePreset::new);
        withoutBody(endpoints, "POST", "domains/{name}/out", name -> new Change.TakeOut(FailureDomain.of(name)));
        withoutBody(endpoints, "POST", "domains/{name}/back", name -> new Change.BringBack(FailureDomain.of(name)));
        withoutBody(endpoints, "DELETE", "teams/{name}", name -> new Change.RemoveTeam(TeamId.of(name)));
        withoutBody(endpoints, "DELETE", "keys/{name}", Change.WithdrawKey::new);
        withoutBody(endpoints, "DELETE", "services/{name}", name -> new Change.RemoveService(ServiceName.of(name)));
        withoutBody(endpoints, "DELETE", "targets/{name}", name -> new Change.RemoveTarget(TargetId.of(name)));
        endpoints.registerForOperators("GET", "/operator/changes/{id}", this::find);
    }

    /**
     * Registers an endpoint that returns a part of the current configuration.
     *
     * @param path The path below {@code /operator/}.
     * @param body Converts the part to JSON.
     */
    private void show(HttpEndpoints endpoints, String path, Function<Configuration, ObjectNode> body) {
        endpoints.registerForOperators(
                "GET",
                "/operator/" + path,
                (request, response) -> Responses.json(response, 200, body.apply(membership.configuration())));
    }

    /**
     * Registers an endpoint that records a change, which it reads from the body.
     *
     * @param path The path below {@code /operator/}, with a parameter {@code name}.
     * @param body Parses the change from the parameter {@code name} and the body.
     */
    private void put(
            HttpEndpoints endpoints,
            String method,
            String path,
            BiFunction<String, JsonNode, Either<Failure, Change>> body) {
        endpoints.registerForOperators(
                method,
                "/operator/" + path,
                (request, response) -> Bodies.readJson(request, MAX_BODY_BYTES)
                        .map(parsed -> parsed.flatMap(node -> body.apply(name(request), node)))
                        .flatMap(change -> record(change, request, response)));
    }

    /**
     * Registers an endpoint that records a change, which needs no body.
     *
     * @param path The path below {@code /operator/}, with a parameter {@code name}.
     * @param change Makes the change from the part.
     */
    private void withoutBody(HttpEndpoints endpoints, String method, String path, Function<String, Change> change) {
        endpoints.registerForOperators(
                method,
                "/operator/" + path,
                (request, response) -> record(Either.right(change.apply(name(request))), request, response));
    }

    /**
     * Records a change and answers when it is accepted, or when its acceptance takes too long.
     *
     * @param change The change, or why its body is invalid.
     * @return Completes when the response is written.
     */
    private Mono<Void> record(Either<Failure, Change> change, HttpServerRequest request, HttpServerResponse response) {
        Either<Failure, String> id = changeId(request);
        Either<Failure, OptionalLong> ifVersion = ifVersion(request);
        Optional<Failure> failure = io.vavr.collection.List.of(change, id, ifVersion)
                .flatMap(part -> part.swap().toOption())
                .headOption()
                .toJavaOptional();
        if (failure.isPresent()) {
            return refuse(response, failure.get());
        }
        return changes.record(change.get(), id.get(), ifVersion.get())
                .flatMap(result -> result.isLeft()
                        ? refuse(response, result.getLeft())
                        : changes.accepted(result.get(), ACCEPTANCE_TIMEOUT)
                                .flatMap(accepted -> answer(response, id.get(), result.get(), accepted)));
    }

    /**
     * Answers a request whose change is recorded: with status 200 if it is accepted, else with 202.
     *
     * @param id The id of the change.
     * @param version The version of the configuration that the change created.
     * @param accepted Whether the change is known to be accepted.
     * @return Completes when the response is written.
     */
    private Mono<Void> answer(HttpServerResponse response, String id, long version, boolean accepted) {
        events.record(
                accepted ? ControlEvent.CHANGE_ACCEPTED : ControlEvent.CHANGE_RECORDED,
                "change",
                id,
                "version",
                version);
        return Responses.json(response, accepted ? 200 : 202, state(id, version, accepted));
    }

    /**
     * Records and answers the refusal of a change.
     *
     * @param failure The reason of the refusal.
     * @return Completes when the response is written.
     */
    private Mono<Void> refuse(HttpServerResponse response, Failure failure) {
        events.record(ControlEvent.CHANGE_REFUSED, "why", failure);
        return Responses.refusal(response, failure);
    }

    /**
     * Answers with the state of a recent change, or with 404 if no change with the id is found.
     *
     * @return Completes when the response is written.
     */
    private Mono<Void> find(HttpServerRequest request, HttpServerResponse response) {
        String id = parameter(request, "id");
        return changes.find(id).flatMap(result -> {
            if (result.isLeft()) {
                return Responses.refusal(response, result.getLeft());
            }
            if (result.get().isEmpty()) {
                return Responses.refusal(
                        response, failure(Failure.Kind.NOT_FOUND, "no recent change has this id: " + id));
            }
            long version = result.get().get();
            return changes.accepted(version, CHECK_TIMEOUT)
                    .flatMap(accepted -> Responses.json(response, accepted ? 200 : 202, state(id, version, accepted)));
        });
    }

    /**
     * Returns the JSON body that describes the state of a change.
     *
     * @param id The id of the change.
     * @param version The version of the configuration that the change created.
     * @param accepted Whether the change is known to be accepted.
     */
    private static ObjectNode state(String id, long version, boolean accepted) {
        return Json.mapper()
                .createObjectNode()
                .put("state", accepted ? "accepted" : "recorded")
                .put("version", version)
                .put("change", id);
    }

    /**
     * Returns the id of the change in a request.
     *
     * @return The id from the header, a new one if there is no header, or a failure if the header is invalid.
     */
    private static Either<Failure, String> changeId(HttpServerRequest request) {
        String id = request.requestHeaders().get(CHANGE_ID_HEADER);
        if (id == null) {
            return Either.right(UUID.randomUUID().toString());
        }
        return CHANGE_ID.matcher(id).matches()
                ? Either.right(id)
                : Either.left(failure(
                        Failure.Kind.INVALID,
                        CHANGE_ID_HEADER + " must be 1 to 128 letters, digits, dots, dashes, tildes and underscores"));
    }

    /**
     * Returns the version on which the change in a request must be based.
     *
     * @return The version from the header, empty if there is no header, or a failure if the header is invalid.
     */
    private static Either<Failure, OptionalLong> ifVersion(HttpServerRequest request) {
        String text = request.requestHeaders().get(IF_MATCH_HEADER);
        if (text == null) {
            return Either.right(OptionalLong.empty());
        }
        try {
            return Either.right(
                    OptionalLong.of(Long.parseLong(text.replace("\"", "").trim())));
        } catch (NumberFormatException exception) {
            return Either.left(failure(Failure.Kind.INVALID, IF_MATCH_HEADER + " must be a version"));
        }
    }

    /** Returns the path parameter {@code name} of a request. */
    private static String name(HttpServerRequest request) {
        return parameter(request, "name");
    }

    /** Returns a path parameter of a request; empty if the path has none of this name. */
    private static String parameter(HttpServerRequest request, String name) {
        String value = request.param(name);
        return value == null ? "" : value;
    }

    /**
     * Returns a failure of a request that was certainly not executed.
     *
     * @param detail A sentence for the operator.
     */
    private static Failure failure(Failure.Kind kind, String detail) {
        return Failure.notRun(kind, STEP, Failure.LOCAL, detail);
    }
}
