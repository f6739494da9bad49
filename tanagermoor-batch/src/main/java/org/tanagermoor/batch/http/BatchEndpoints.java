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

/** The HTTP endpoints of batch jobs. A team can access only its own jobs. */
public final class BatchEndpoints {

    /** Name of the step in failures. */
    private static final String STEP = "batch.request";

    /** Maximum number of jobs in one answer to a list request. */
    private static final int MAX_LISTED_JOBS = 1_000;

    private final JobStore store;

    private final JobIntake intake;

    private final JobCancel cancel;

    private final BatchPeers peers;

    private final Membership membership;

    private final TimeSource time;

    /**
     * Creates the endpoints; {@link #register} makes them reachable.
     *
     * @param store Reads and writes jobs and their results.
     * @param intake Checks and stores new jobs.
     * @param cancel Cancels jobs.
     * @param peers Sends requests to the other instances.
     * @param membership Provides the configuration and the standing of this instance.
     * @param time The source of the current time.
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
     * Registers the endpoints below {@code /v1/batches}.
     *
     * @param endpoints The HTTP server at which they are registered.
     */
    public void register(HttpEndpoints endpoints) {
        endpoints.register("POST", "/v1/batches", (request, response) -> authenticate(request, response, this::accept));
        endpoints.register("GET", "/v1/batches", (request, response) -> authenticate(request, response, this::list));
        endpoints.register(
                "GET", "/v1/batches/{job}", (request, response) -> authenticate(request, response, this::status));
        endpoints.register(
                "GET",
                "/v1/batches/{job}/results",
                (request, response) -> authenticate(request, response, this::results));
        endpoints.register(
                "POST",
                "/v1/batches/{job}/cancel",
                (request, response) -> authenticate(request, response, this::cancel));
    }

    /**
     * Identifies the team by the key of a request and passes the request on. Refuses it if the key is unknown, or while
     * this instance may not serve.
     *
     * @param handler Handles the request of a known team.
     * @return Completes when the response has been written.
     */
    private Publisher<Void> authenticate(
            HttpServerRequest request,
            HttpServerResponse response,
            BiFunction<Call, HttpServerResponse, Mono<Void>> handler) {
        if (!membership.standing(time.nanos()).serves()) {
            return refuse(response, Failure.Kind.NO_STANDING, "this instance takes no new work now");
        }
        Optional<Team> team =
                Keys.sha256(request).flatMap(key -> membership.configuration().teamOfKey(key));
        if (team.isEmpty()) {
            return refuse(response, Failure.Kind.UNAUTHENTICATED, "the key is missing or unknown");
        }
        return handler.apply(new Call(request, team.get()), response);
    }

    /**
     * Handles the submission of a job, and notifies its steward once it is stored.
     *
     * @return Completes when the response has been written.
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
     * Lists the jobs of the team whose keys follow the one in the parameter {@code after}.
     *
     * @return Completes when the response has been written.
     */
    private Mono<Void> list(Call call, HttpServerResponse response) {
        String after = call.parameter("after").orElse("");
        return store.list(call.team().id().value(), after, MAX_LISTED_JOBS)
                .flatMap(result -> result.fold(
                        failure -> Responses.refusal(response, failure),
                        jobs -> Responses.json(
                                response,
                                200,
                                jobs.stream().map(JobStatus::accepted).toList())));
    }

    /**
     * Answers with the status of a job.
     *
     * @return Completes when the response has been written.
     */
    private Mono<Void> status(Call call, HttpServerResponse response) {
        return AsyncResults.then(find(call), this::status)
                .flatMap(result -> result.fold(
                        failure -> Responses.refusal(response, failure),
                        status -> Responses.json(response, 200, status)));
    }

    /**
     * Answers with the stream of a job's results.
     *
     * @return Completes when the response has been written.
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
     * Cancels a job and answers with its status.
     *
     * @return Completes when the response has been written.
     */
    private Mono<Void> cancel(Call call, HttpServerResponse response) {
        return AsyncResults.then(cancel.cancel(call.job()), this::status)
                .flatMap(result -> result.fold(
                        failure -> Responses.refusal(response, failure),
                        status -> Responses.json(response, 200, status)));
    }

    /**
     * Returns the status of a job, whose outcomes are in its row once it is done and else in its progress log.
     *
     * @return The status as JSON, or a failure.
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
     * Reads the job that a request names.
     *
     * @return The job, or a failure.
     */
    private Mono<Either<Failure, JobRecord>> find(Call call) {
        return store.read(call.job())
                .map(result -> result.flatMap(job -> job.<Either<Failure, JobRecord>>map(Either::right)
                        .orElseGet(() -> Either.left(
                                Failure.notRun(Failure.Kind.NOT_FOUND, STEP, Failure.LOCAL, "there is no such job")))));
    }

    /**
     * Parses the parameters of a submission.
     *
     * @return The request for a job, or a description of the error in the parameters.
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

    /** Returns whether the key of a request still belongs to its team. The key can be withdrawn during an upload. */
    private boolean authorized(Call call) {
        return Keys.sha256(call.request())
                .flatMap(key -> membership.configuration().teamOfKey(key))
                .filter(team -> team.id().equals(call.team().id()))
                .isPresent();
    }

    /**
     * Parses a time in milliseconds.
     *
     * @return The time in milliseconds; empty unless the text is a positive integer.
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
     * @return Completes when the response has been written.
     */
    private static Mono<Void> refuse(HttpServerResponse response, Failure.Kind kind, String detail) {
        return Responses.refusal(response, Failure.notRun(kind, STEP, Failure.LOCAL, detail));
    }

    /**
     * A request whose team has been identified by its key.
     *
     * @param team The team.
     */
    private record Call(HttpServerRequest request, Team team) {

        /** Returns the key of the job that the path names, among the jobs of the team. */
        private JobKey job() {
            String key = request.param("job");
            return JobKey.of(team.id().value(), key == null ? "" : key);
        }

        /** Returns the first value of a query parameter. */
        private Optional<String> parameter(String name) {
            List<String> values =
                    new QueryStringDecoder(request.uri()).parameters().get(name);
            return values == null ? Optional.empty() : values.stream().findFirst();
        }
    }
}
