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

/** Runs items on targets. Each run waits for a permit, which gives it a place on one target. */
final class ItemRunner {

    /** Maximum time to wait for a permit, in nanoseconds. */
    private static final long PERMIT_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Maximum time between two pieces of an answer. */
    private static final Duration SILENCE_TIMEOUT = Duration.ofSeconds(30);

    /** Number of characters at the start of a prompt that determine the preferred target. */
    private static final int AFFINITY_PREFIX_LENGTH = 64;

    /** HTTP status of a target that limits the rate of the caller. */
    private static final int STATUS_TOO_MANY_REQUESTS = 429;

    /** HTTP status of a target without free capacity. */
    private static final int STATUS_UNAVAILABLE = 503;

    private final Targets targets;

    private final TargetClient client;

    private final TimeSource time;

    /** Priority of the requests for permits. */
    private final Priority priority;

    /**
     * Creates a runner that obtains permits with the given priority.
     *
     * @param targets Grants permits for targets.
     * @param client Sends requests to targets.
     * @param time The source of the current time.
     * @param priority The priority of the requests for permits.
     */
    ItemRunner(Targets targets, TargetClient client, TimeSource time, Priority priority) {
        this.targets = targets;
        this.client = client;
        this.time = time;
        this.priority = priority;
    }

    /**
     * Runs an item as soon as a permit is granted. If none is granted in time, the item is returned to be run later.
     *
     * @return How the run ended.
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
     * Sends an item to the target of a permit and releases the permit when the run ends. Resumes the stream of an
     * earlier run if the permit is for its target.
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
     * Returns the end of a run that was cancelled, or whose target no longer knows the stream to resume.
     *
     * @param partial The partial answer, if any.
     */
    private static Ended returned(Optional<PartialAnswer> partial) {
        return new Ended(new ItemEnd.Returned(Optional.empty(), partial), TargetLease.Result.CANCELLED);
    }

    /** Returns how a run ended whose stream of parts completed. The answer itself can still be truncated. */
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

    /** Returns how a run ended whose request failed. */
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
     * Returns how a run ended whose target was lost while it ran.
     *
     * @param reason The cause, in words.
     * @param result The result with which the permit is released.
     * @return How the run ended: an item that must not be repeated gets an unknown outcome.
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
     * Returns the end of a run whose answer decides the outcome of the item.
     *
     * @param reason The reason of a failed outcome; empty for none.
     */
    private static ItemEnd settled(ItemResult.Outcome outcome, ItemAnswer answer, String reason) {
        return new ItemEnd.Settled(ItemResult.newBuilder()
                .setOutcome(outcome)
                .setBody(ByteString.copyFrom(answer.document()))
                .setReason(reason)
                .build());
    }

    /**
     * Returns the request that sends an item to a target.
     *
     * @return The request; for a model engine it asks for a stream, as only streams can be resumed.
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
     * Returns the text that determines which target is preferred.
     *
     * @return The first characters of the prompt; empty for plain services.
     */
    private static String affinity(ItemTask task) {
        String prompt = task.item().body().path("prompt").asText("");
        return task.kind() == Service.Kind.PLAIN
                ? ""
                : prompt.substring(0, Math.min(prompt.length(), AFFINITY_PREFIX_LENGTH));
    }

    /**
     * The end of a run, with the result for its permit.
     *
     * @param end How the run ended.
     * @param result The result with which the permit is released.
     */
    private record Ended(ItemEnd end, TargetLease.Result result) {}
}
