package org.tanagermoor.batch.worker;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.tanagermoor.batch.proto.ItemResult;
import org.tanagermoor.http.Json;
import org.tanagermoor.kernel.failure.Execution;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.kernel.failure.FailureException;
import org.tanagermoor.kernel.time.TimeSource;
import org.tanagermoor.policy.configuration.Service;
import org.tanagermoor.target.client.AnswerPart;
import org.tanagermoor.target.client.TargetClient;
import org.tanagermoor.target.client.TargetRequest;
import org.tanagermoor.target.lease.LeaseRequest;
import org.tanagermoor.target.lease.Priority;
import org.tanagermoor.target.lease.TargetLease;
import org.tanagermoor.target.lease.Targets;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Runs items on targets, with permits. */
final class ItemRunner {

    /** The longest time for waiting for a permit, in nanoseconds. */
    private static final long PERMIT_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** The longest time between two pieces of an answer. */
    private static final Duration SILENCE_TIMEOUT = Duration.ofSeconds(30);

    /** The characters of a prompt that decide which target is preferred. */
    private static final int AFFINITY_PREFIX_LENGTH = 64;

    /** The status of a target that has too much to do for the caller. */
    private static final int STATUS_TOO_MANY_REQUESTS = 429;

    /** The status of a target that is full. */
    private static final int STATUS_UNAVAILABLE = 503;

    /** The permits. */
    private final Targets targets;

    /** Sends requests. */
    private final TargetClient client;

    /** The source of the present time. */
    private final TimeSource time;

    /** The priority with which permits are asked for. */
    private final Priority priority;

    /**
     * Creates a runner.
     *
     * @param targets The permits.
     * @param client Sends requests.
     * @param time The source of the present time.
     * @param priority The priority with which permits are asked for.
     */
    ItemRunner(Targets targets, TargetClient client, TimeSource time, Priority priority) {
        this.targets = targets;
        this.client = client;
        this.time = time;
        this.priority = priority;
    }

    /**
     * Runs an item.
     *
     * @param task The run.
     * @return How it ended.
     */
    Mono<ItemEnd> run(ItemTask task) {
        LeaseRequest request = new LeaseRequest(
                task.service(),
                task.team(),
                task.weight(),
                priority,
                affinity(task),
                task.avoided(),
                time.nanos() + PERMIT_TIMEOUT_NANOS);
        ItemEnd notStarted = new ItemEnd.Returned(Optional.empty(), task.partial());
        return targets.lease(request)
                .flatMap(result -> result.fold(failure -> Mono.just(notStarted), lease -> send(task, lease)))
                .onErrorResume(error -> Mono.just(notStarted));
    }

    /**
     * Sends an item with a permit, and gives the permit back at the end. Goes on with the stream of an earlier run
     * where the permit is for its target.
     *
     * @param task The run.
     * @param lease The permit.
     * @return How the run ended.
     */
    private Mono<ItemEnd> send(ItemTask task, TargetLease lease) {
        Optional<PartialAnswer> resumable = task.partial()
                .filter(partial -> partial.target().equals(lease.target().id()));
        ItemAnswer collected = resumable.map(ItemAnswer::of).orElseGet(() -> ItemAnswer.of(task.exchange()));
        Flux<AnswerPart> parts = resumable
                .map(partial -> client.resume(lease.target(), request(task, partial.exchange()), partial.position()))
                .orElseGet(() -> client.send(lease.target(), request(task, task.exchange())));
        Mono<Ended> answer = task.gate()
                .guard(parts)
                .doOnNext(collected::add)
                .then(Mono.fromSupplier(() -> answered(task, lease, collected)))
                .onErrorResume(error -> Mono.just(
                        collected.resumedWithoutProgress() ? returned(Optional.empty()) : failed(task, lease, error)));
        Mono<Ended> stopped = task.repeatable()
                ? Mono.firstWithSignal(lease.recalled(), task.cancelled())
                        .then(Mono.fromSupplier(() ->
                                returned(collected.partial(lease.target().id()).or(task::partial))))
                : Mono.never();
        return Mono.firstWithSignal(answer, stopped).map(ended -> {
            lease.release(ended.result());
            return ended.end();
        });
    }

    /**
     * Returns the end of a run that was cancelled, or whose target does not know its stream any more.
     *
     * @param partial What there is of the answer.
     * @return How the run ended.
     */
    private static Ended returned(Optional<PartialAnswer> partial) {
        return new Ended(new ItemEnd.Returned(Optional.empty(), partial), TargetLease.Result.CANCELLED);
    }

    /**
     * Returns how a run ended whose answer is whole.
     *
     * @param task The run.
     * @param lease The permit.
     * @param answer The answer.
     * @return How the run ended.
     */
    private Ended answered(ItemTask task, TargetLease lease, ItemAnswer answer) {
        targets.observe(lease, answer.startMark(), -1);
        if (!answer.ended()) {
            return lost(task, "the answer was truncated", TargetLease.Result.BROKEN);
        }
        int status = answer.status();
        if (status < 300) {
            return new Ended(settled(ItemResult.Outcome.COMPLETED, answer, ""), TargetLease.Result.ANSWERED);
        }
        boolean overloaded = status == STATUS_UNAVAILABLE || status == STATUS_TOO_MANY_REQUESTS;
        if (overloaded && task.repeatable()) {
            return new Ended(
                    new ItemEnd.Returned(Optional.of(lease.target().id()), task.partial()), TargetLease.Result.REFUSED);
        }
        if (overloaded) {
            return lost(task, "the target answered with status " + status, TargetLease.Result.REFUSED);
        }
        String reason = "the target answered with status " + status;
        if (status >= 500 && task.repeatable()) {
            return new Ended(new ItemEnd.Rejected(lease.target().id(), reason), TargetLease.Result.ANSWERED);
        }
        return new Ended(settled(ItemResult.Outcome.FAILED, answer, reason), TargetLease.Result.ANSWERED);
    }

    /**
     * Returns how a run ended that was not answered.
     *
     * @param task The run.
     * @param lease The permit.
     * @param error The error.
     * @return How the run ended.
     */
    private static Ended failed(ItemTask task, TargetLease lease, Throwable error) {
        if (!(error instanceof FailureException failureException)) {
            return lost(task, String.valueOf(error), TargetLease.Result.BROKEN);
        }
        Failure failure = failureException.failure();
        if (failure.execution() == Execution.NOT_RUN) {
            boolean stopped = failure.kind() == Failure.Kind.CANCELLED;
            return stopped
                    ? returned(task.partial())
                    : new Ended(
                            new ItemEnd.Returned(Optional.of(lease.target().id()), task.partial()),
                            TargetLease.Result.RESET);
        }
        if (failure.kind() == Failure.Kind.OVERLOADED) {
            return new Ended(
                    new ItemEnd.Returned(Optional.of(lease.target().id()), task.partial()), TargetLease.Result.REFUSED);
        }
        if (failure.kind() == Failure.Kind.TOO_LARGE) {
            ItemResult tooLarge = ItemResult.newBuilder()
                    .setOutcome(ItemResult.Outcome.FAILED)
                    .setReason(failure.detail())
                    .build();
            return new Ended(new ItemEnd.Settled(tooLarge), TargetLease.Result.CANCELLED);
        }
        boolean reset = failure.kind() == Failure.Kind.UNAVAILABLE;
        return lost(task, failure.detail(), reset ? TargetLease.Result.RESET : TargetLease.Result.BROKEN);
    }

    /**
     * Returns how a run ended under which the target was lost.
     *
     * @param task The run.
     * @param reason What happened.
     * @param result How the permit is given back.
     * @return How the run ended: an item that may not be repeated has an unknown outcome.
     */
    private static Ended lost(ItemTask task, String reason, TargetLease.Result result) {
        if (task.repeatable()) {
            return new Ended(new ItemEnd.Lost(reason), result);
        }
        ItemResult unknown = ItemResult.newBuilder()
                .setOutcome(ItemResult.Outcome.UNKNOWN)
                .setReason(reason)
                .build();
        return new Ended(new ItemEnd.Settled(unknown), result);
    }

    /**
     * Returns the outcome of an answer.
     *
     * @param outcome The outcome.
     * @param answer The answer.
     * @param reason The reason; empty for none.
     * @return The outcome.
     */
    private static ItemEnd settled(ItemResult.Outcome outcome, ItemAnswer answer, String reason) {
        return new ItemEnd.Settled(ItemResult.newBuilder()
                .setOutcome(outcome)
                .setBody(ByteString.copyFrom(answer.document()))
                .setReason(reason)
                .build());
    }

    /**
     * Returns the request to the target.
     *
     * @param task The run.
     * @param exchange The identity of the exchange.
     * @return The request, for a model engine that of a stream, as only streams are resumed.
     */
    private static TargetRequest request(ItemTask task, String exchange) {
        JsonNode body = task.item().body();
        String path = task.item().path();
        if (task.kind() == Service.Kind.MODEL) {
            path = "/v1/completions";
            if (body instanceof ObjectNode object) {
                ObjectNode copy = object.deepCopy();
                copy.put("model", task.service().value());
                copy.put("stream", true);
                body = copy;
            }
        }
        return new TargetRequest(exchange, "POST", path, "application/json", Json.write(body), SILENCE_TIMEOUT);
    }

    /**
     * Returns the text that decides which target is preferred.
     *
     * @param task The run.
     * @return The begin of the prompt; empty for plain services.
     */
    private static String affinity(ItemTask task) {
        String prompt = task.item().body().path("prompt").asText("");
        return task.kind() == Service.Kind.PLAIN
                ? ""
                : prompt.substring(0, Math.min(prompt.length(), AFFINITY_PREFIX_LENGTH));
    }

    /**
     * The end of a run.
     *
     * @param end How the run ended.
     * @param result How the permit is given back.
     */
    private record Ended(ItemEnd end, TargetLease.Result result) {}
}
