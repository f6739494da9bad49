package org.tanagermoor.batch.http;

import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import java.util.function.BiFunction;
import org.reactivestreams.Publisher;
import org.tanagermoor.batch.accept.JobIntake;
import org.tanagermoor.batch.accept.JobRequest;
import org.tanagermoor.batch.peer.BatchPeers;
import org.tanagermoor.batch.proto.JobRow;
import org.tanagermoor.batch.store.AsyncResults;
import org.tanagermoor.batch.store.JobKey;
import org.tanagermoor.batch.store.JobRecord;
import org.tanagermoor.batch.store.JobStore;
import org.tanagermoor.http.HttpEndpoints;
import org.tanagermoor.http.Keys;
import org.tanagermoor.http.Responses;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.kernel.time.TimeSource;
import org.tanagermoor.membership.Membership;
import org.tanagermoor.policy.configuration.Service;
import org.tanagermoor.policy.configuration.Team;
import org.tanagermoor.policy.fleet.ServiceName;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** The endpoints of batch jobs. A team sees only its own jobs. */
public final class BatchEndpoints {

    /** The step that failures name. */
    private static final String STEP = "batch.request";

    /** The most jobs of an answer. */
    private static final int LIST_LIMIT = 1_000;

    /** The store. */
    private final JobStore store;

    /** Accepts jobs. */
    private final JobIntake intake;

    /** Cancels jobs. */
    private final JobCancel cancel;

    /** The instances. */
    private final BatchPeers peers;

    /** The membership. */
    private final Membership membership;

    /** The source of the present time. */
    private final TimeSource time;

    /**
     * Creates the endpoints.
     *
     * @param store The store.
     * @param intake Accepts jobs.
     * @param cancel Cancels jobs.
     * @param peers The instances.
     * @param membership The membership.
     * @param time The source of the present time.
     */
    public BatchEndpoints(
            JobStore store,
            JobIntake intake,
            JobCancel cancel,
            BatchPeers peers,
            Membership membership,
            TimeSource time) {
        this.store = store;
        this.intake = intake;
        this.cancel = cancel;
        this.peers = peers;
        this.membership = membership;
        this.time = time;
    }

    /**
     * Registers the endpoints.
     *
     * @param endpoints Where to register them.
     */
    public void register(HttpEndpoints endpoints) {
        endpoints.register("POST", "/v1/batches", (request, response) -> asTeam(request, response, this::accept));
        endpoints.register("GET", "/v1/batches", (request, response) -> asTeam(request, response, this::list));
        endpoints.register("GET", "/v1/batches/{job}", (request, response) -> asTeam(request, response, this::status));
        endpoints.register(
                "GET", "/v1/batches/{job}/results", (request, response) -> asTeam(request, response, this::results));
        endpoints.register(
                "POST", "/v1/batches/{job}/cancel", (request, response) -> asTeam(request, response, this::cancel));
    }

    /**
     * Handles a request for the team of its key.
     *
     * @param request The request.
     * @param response The response.
     * @param handler Handles the request.
     * @return Completes when the response is written.
     */
    private Publisher<Void> asTeam(
            HttpServerRequest request,
            HttpServerResponse response,
            BiFunction<Call, HttpServerResponse, Mono<Void>> handler) {
        if (!membership.standing(time.nanos()).serves()) {
            return refuse(response, Failure.Kind.NO_STANDING, "this instance takes no new work now");
        }
        Optional<Team> team =
                Keys.sha256(request).flatMap(key -> membership.configuration().teamOfKey(key));
        if (team.isEmpty()) {
            return refuse(response, Failure.Kind.UNAUTHENTICATED, "the key is missing or not known");
        }
        return handler.apply(new Call(request, team.get()), response);
    }

    /**
     * Accepts a job.
     *
     * @param call The request.
     * @param response The response.
     * @return Completes when the response is written.
     */
    private Mono<Void> accept(Call call, HttpServerResponse response) {
        Either<String, JobRequest> request = jobRequest(call);
        if (request.isLeft()) {
            return refuse(response, Failure.Kind.INVALID, request.getLeft());
        }
        Flux<byte[]> body = call.request().receive().map(ByteBufUtil::getBytes);
        return intake.accept(request.get(), body).flatMap(result -> {
            result.filter(JobRecord::active).forEach(job -> job.peek(found -> peers.notifySteward(found.key())));
            return result.fold(
                    failure -> Responses.refusal(response, failure),
                    job -> Responses.json(response, 201, JobStatus.accepted(job)));
        });
    }

    /**
     * Lists the jobs of the team.
     *
     * @param call The request.
     * @param response The response.
     * @return Completes when the response is written.
     */
    private Mono<Void> list(Call call, HttpServerResponse response) {
        String after = call.parameter("after").orElse("");
        return store.list(call.team().id().value(), after, LIST_LIMIT)
                .flatMap(result -> result.fold(
                        failure -> Responses.refusal(response, failure),
                        jobs -> Responses.json(
                                response,
                                200,
                                jobs.stream().map(JobStatus::accepted).toList())));
    }

    /**
     * Tells the status of a job.
     *
     * @param call The request.
     * @param response The response.
     * @return Completes when the response is written.
     */
    private Mono<Void> status(Call call, HttpServerResponse response) {
        return AsyncResults.then(find(call), this::status)
                .flatMap(result -> result.fold(
                        failure -> Responses.refusal(response, failure),
                        status -> Responses.json(response, 200, status)));
    }

    /**
     * Streams the results of a job.
     *
     * @param call The request.
     * @param response The response.
     * @return Completes when the response is written.
     */
    private Mono<Void> results(Call call, HttpServerResponse response) {
        Mono<Either<Failure, Flux<byte[]>>> lines = AsyncResults.then(
                find(call),
                job -> AsyncResults.then(
                        store.objects().layout(job),
                        layout -> store.progress()
                                .read(job)
                                .map(result -> result.map(log -> new ResultStream(store, job, layout).lines(log)))));
        return lines.flatMap(result -> result.fold(
                failure -> Responses.refusal(response, failure),
                stream -> response.status(200)
                        .header("content-type", "application/jsonl")
                        .sendByteArray(stream)
                        .then()));
    }

    /**
     * Cancels a job.
     *
     * @param call The request.
     * @param response The response.
     * @return Completes when the response is written.
     */
    private Mono<Void> cancel(Call call, HttpServerResponse response) {
        return AsyncResults.then(cancel.cancel(call.job()), this::status)
                .flatMap(result -> result.fold(
                        failure -> Responses.refusal(response, failure),
                        status -> Responses.json(response, 200, status)));
    }

    /**
     * Returns the status of a job.
     *
     * @param job The job.
     * @return The status, or a failure.
     */
    private Mono<Either<Failure, com.fasterxml.jackson.databind.node.ObjectNode>> status(JobRecord job) {
        if (job.row().getState() == JobRow.State.DONE) {
            return AsyncResults.right(JobStatus.status(job, JobStatus.outcomes(job.row())));
        }
        return store.progress()
                .read(job)
                .map(result -> result.map(log -> JobStatus.status(job, JobStatus.outcomes(log))));
    }

    /**
     * Finds the job of a request.
     *
     * @param call The request.
     * @return The job, or a failure.
     */
    private Mono<Either<Failure, JobRecord>> find(Call call) {
        return store.read(call.job())
                .map(result -> result.flatMap(job -> job.<Either<Failure, JobRecord>>map(Either::right)
                        .orElseGet(() -> Either.left(
                                Failure.notRun(Failure.Kind.NOT_FOUND, STEP, Failure.LOCAL, "there is no such job")))));
    }

    /**
     * Reads what is asked for.
     *
     * @param call The request.
     * @return The request, or what is wrong with it.
     */
    private Either<String, JobRequest> jobRequest(Call call) {
        Optional<String> key = call.parameter("job").filter(JobKey::isWellFormed);
        if (key.isEmpty()) {
            return Either.left("the parameter job must be 1 to 128 letters, digits, dots, underscores or hyphens");
        }
        Optional<Service> service = call.parameter("service")
                .flatMap(name -> membership
                        .configuration()
                        .services()
                        .get(ServiceName.of(name))
                        .toJavaOptional());
        if (service.isEmpty()) {
            return Either.left("the parameter service must name a service");
        }
        Optional<Long> due = call.parameter("due").flatMap(BatchEndpoints::millis);
        if (due.isEmpty()) {
            return Either.left("the parameter due must be a time in milliseconds since 1970");
        }
        JobKey job = JobKey.of(call.team().id().value(), key.get());
        return Either.right(new JobRequest(
                job, service.get().name(), due.get(), service.get().idempotent(), () -> authorized(call)));
    }

    /**
     * Returns whether the key of a request still is that of its team.
     *
     * @param call The request.
     * @return Whether it is.
     */
    private boolean authorized(Call call) {
        return Keys.sha256(call.request())
                .flatMap(key -> membership.configuration().teamOfKey(key))
                .filter(team -> team.id().equals(call.team().id()))
                .isPresent();
    }

    /**
     * Reads a time.
     *
     * @param text The text.
     * @return The time in milliseconds, if the text is one.
     */
    private static Optional<Long> millis(String text) {
        try {
            long value = Long.parseLong(text);
            return value > 0 ? Optional.of(value) : Optional.empty();
        } catch (NumberFormatException exception) {
            return Optional.empty();
        }
    }

    /**
     * Refuses a request that was not run.
     *
     * @param response The response.
     * @param kind The kind of failure.
     * @param detail Why.
     * @return Completes when the response is written.
     */
    private static Mono<Void> refuse(HttpServerResponse response, Failure.Kind kind, String detail) {
        return Responses.refusal(response, Failure.notRun(kind, STEP, Failure.LOCAL, detail));
    }

    /**
     * A request of a team.
     *
     * @param request The request.
     * @param team The team.
     */
    private record Call(HttpServerRequest request, Team team) {

        /**
         * Returns the key of the job that the path names.
         *
         * @return The key of the job.
         */
        private JobKey job() {
            String key = request.param("job");
            return JobKey.of(team.id().value(), key == null ? "" : key);
        }

        /**
         * Returns a parameter of the query.
         *
         * @param name The name.
         * @return The value, if there is one.
         */
        private Optional<String> parameter(String name) {
            List<String> values =
                    new QueryStringDecoder(request.uri()).parameters().get(name);
            return values == null ? Optional.empty() : values.stream().findFirst();
        }
    }
}
