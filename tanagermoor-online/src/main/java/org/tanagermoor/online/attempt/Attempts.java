package org.tanagermoor.online.attempt;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;
import org.tanagermoor.kernel.event.EventLog;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.kernel.failure.FailureException;
import org.tanagermoor.kernel.time.TimeSource;
import org.tanagermoor.online.OnlineEvent;
import org.tanagermoor.online.OnlineMetrics;
import org.tanagermoor.online.admission.Admission;
import org.tanagermoor.online.admission.Call;
import org.tanagermoor.online.admission.Failures;
import org.tanagermoor.policy.configuration.Service;
import org.tanagermoor.policy.fleet.TargetId;
import org.tanagermoor.policy.retry.RetryDecision;
import org.tanagermoor.target.client.AnswerPart;
import org.tanagermoor.target.client.TargetClient;
import org.tanagermoor.target.client.TargetRequest;
import org.tanagermoor.target.lease.LeaseRequest;
import org.tanagermoor.target.lease.Priority;
import org.tanagermoor.target.lease.TargetLease;
import org.tanagermoor.target.lease.Targets;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Runs requests on targets. An attempt leases a place on a target and sends the request; after a failure, another
 * target is tried if the failure, the service and the retry budget allow it.
 */
public final class Attempts {

    /** The failure of an answer that ended without its last part. */
    private static final Failure INCOMPLETE =
            Failure.unknown(Failure.Kind.CORRUPT, "online.answer", Failure.LOCAL, "the answer ended too early");

    private final Targets targets;

    private final TargetClient client;

    /** Checks requests again, right before they are sent. */
    private final Admission admission;

    private final OnlineMetrics metrics;

    private final EventLog events;

    private final TimeSource time;

    private final Limits limits;

    private final RetryBudgets retryBudgets = new RetryBudgets();

    /**
     * Creates attempts with new retry budgets.
     *
     * @param targets Leases targets.
     * @param client Sends requests to targets.
     * @param admission Checks requests again, right before they are sent.
     * @param metrics Counts the retries.
     * @param events The log of events.
     * @param time The source of the current time.
     * @param limits The time limits.
     */
    public Attempts(
            Targets targets,
            TargetClient client,
            Admission admission,
            OnlineMetrics metrics,
            EventLog events,
            TimeSource time,
            Limits limits) {
        this.targets = targets;
        this.client = client;
        this.admission = admission;
        this.metrics = metrics;
        this.events = events;
        this.time = time;
        this.limits = limits;
    }

    /**
     * Runs a request, with further attempts if the first fails and a retry is allowed.
     *
     * @param call The request.
     * @param payload The request for the target.
     * @param consumer Transforms the answer of one attempt to what the caller receives. Before it emits a part that
     *     cannot be taken back, it marks the request as forwarded.
     * @return The transformed answer of the last attempt, or a failure whose execution is correct.
     */
    public Flux<AnswerPart> run(Call call, Payload payload, Function<Flux<AnswerPart>, Flux<AnswerPart>> consumer) {
        return Flux.defer(() -> {
            long now = time.nanos();
            retryBudgets.request(call.service().name(), now);
            Attempt first = new Attempt(call, payload, consumer, Set.of(), 1, Optional.empty());
            return untilAborted(call, attempt(first), now)
                    .onErrorMap(
                            error -> call.withKnownExecution(Failures.of(error)).asException());
        });
    }

    /**
     * Cancels a request when it is aborted or its deadline passes.
     *
     * @param now The current monotonic time in nanoseconds.
     * @return The parts, or the failure by which the request was aborted.
     */
    private static Flux<AnswerPart> untilAborted(Call call, Flux<AnswerPart> parts, long now) {
        AtomicBoolean ended = new AtomicBoolean();
        Mono<Failure> aborted = Mono.firstWithSignal(call.aborted(), expiry(call, now));
        AtomicReference<FailureException> abortReason = new AtomicReference<>(INCOMPLETE.asException());
        return parts.doOnNext(part -> ended.compareAndSet(false, part instanceof AnswerPart.End))
                .takeUntilOther(aborted.doOnNext(failure -> abortReason.set(failure.asException())))
                .concatWith(Flux.defer(() -> ended.get() ? Flux.empty() : Flux.error(abortReason::get)));
    }

    /**
     * Makes an attempt, and further ones if it fails and a retry is allowed.
     *
     * @return The answer as the consumer transforms it. If no lease is granted, the failure of the previous attempt is
     *     reported if there is one.
     */
    private Flux<AnswerPart> attempt(Attempt attempt) {
        return targets.lease(attempt.leaseRequest(leaseDeadline(attempt.call())))
                .doOnDiscard(Either.class, Attempts::releaseUnclaimed)
                .flatMapMany(result -> result.fold(
                        failure -> Flux.error(attempt.earlier().orElse(failure).asException()),
                        lease -> send(attempt, lease)));
    }

    /**
     * Returns the time until which a request waits for a permit (the grant of a place on a target). A request that
     * would wait longer is refused early rather than served late.
     *
     * @return The monotonic time in nanoseconds, at most the deadline of the request.
     */
    private long leaseDeadline(Call call) {
        long latest = time.nanos() + limits.queueWait().toNanos();
        return latest - call.deadline() < 0 ? latest : call.deadline();
    }

    /**
     * Sends a request to the target of a lease.
     *
     * @param lease The lease, which is released in every case.
     * @return The answer as the consumer transforms it.
     */
    private Flux<AnswerPart> send(Attempt attempt, TargetLease lease) {
        Call call = attempt.call();
        TargetObserver observer = new TargetObserver(targets, lease, time);
        Flux<AnswerPart> parts = client.send(lease.target(), request(attempt), () -> recheckBeforeSend(call))
                .doOnNext(observer::observe);
        return attempt.consumer()
                .apply(parts)
                .doOnComplete(() -> lease.release(TargetLease.Result.ANSWERED))
                .doOnError(error -> lease.release(result(Failures.of(error).kind())))
                .doOnCancel(() -> lease.release(TargetLease.Result.CANCELLED))
                .onErrorResume(error -> retried(attempt, lease.target().id(), error));
    }

    /**
     * Makes another attempt after one failed, if that is allowed.
     *
     * @param target The target on which the attempt failed.
     * @return The answer as the consumer transforms it, or the error if no retry is allowed.
     */
    private Flux<AnswerPart> retried(Attempt attempt, TargetId target, Throwable error) {
        Call call = attempt.call();
        Failure failure = Failures.of(error);
        boolean allowed =
                RetryDecision.allows(failure, call.service().idempotent(), call.isForwarded(), attempt.number());
        if (!allowed || !retryBudgets.tryRetry(call.service().name(), time.nanos())) {
            return Flux.error(error);
        }
        metrics.retried();
        events.record(
                OnlineEvent.RETRIED,
                "request",
                call.id(),
                "target",
                target,
                "kind",
                failure.kind(),
                "step",
                failure.step());
        return attempt(attempt.next(target, failure));
    }

    /**
     * Checks a request right before its first byte is sent, and marks it as sent if the check passes.
     *
     * @return Why the request must not be sent; empty if it may be.
     */
    private Optional<Failure> recheckBeforeSend(Call call) {
        Optional<Failure> failure = admission.recheck(call);
        if (failure.isEmpty()) {
            call.markSent();
        }
        return failure;
    }

    private TargetRequest request(Attempt attempt) {
        Call call = attempt.call();
        Payload payload = attempt.payload();
        return new TargetRequest(
                call.nextExchangeId(),
                payload.method(),
                payload.path(),
                payload.contentType(),
                payload.body(),
                silence(call));
    }

    /**
     * Returns the maximum silence of a target. A plain service may be silent until it answers. If the request is
     * idempotent, half of the remaining time is kept for another attempt.
     */
    private Duration silence(Call call) {
        if (call.service().kind() == Service.Kind.MODEL) {
            return limits.silence();
        }
        Duration remaining = Duration.ofNanos(Math.max(1, call.deadline() - time.nanos()));
        return call.service().idempotent() ? remaining.dividedBy(2).plusNanos(1) : remaining.plus(limits.silence());
    }

    /**
     * Emits a failure at the deadline of a request.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    private static Mono<Failure> expiry(Call call, long now) {
        return Mono.delay(Duration.ofNanos(Math.max(0, call.deadline() - now)))
                .map(ignored -> Failure.notRun(
                        Failure.Kind.TIMEOUT,
                        "online.deadline",
                        Failure.LOCAL,
                        "the deadline of the request has passed"));
    }

    /**
     * Releases a lease that was granted after its request was cancelled.
     *
     * @param result The discarded result, which may hold a lease.
     */
    private static void releaseUnclaimed(Either<?, ?> result) {
        if (result.isRight() && result.get() instanceof TargetLease lease) {
            lease.release(TargetLease.Result.CANCELLED);
        }
    }

    /**
     * Maps the failure of a request to the result that is reported to its lease. A failure that says nothing about the
     * target counts as a cancellation.
     */
    private static TargetLease.Result result(Failure.Kind kind) {
        return switch (kind) {
            case UNAVAILABLE -> TargetLease.Result.RESET;
            case OVERLOADED -> TargetLease.Result.REFUSED;
            case TIMEOUT, CORRUPT -> TargetLease.Result.BROKEN;
            case INVALID,
                    UNAUTHENTICATED,
                    FORBIDDEN,
                    NOT_FOUND,
                    CONFLICT,
                    TOO_LARGE,
                    RATE_LIMITED,
                    NO_STANDING,
                    CANCELLED,
                    INTERNAL -> TargetLease.Result.CANCELLED;
        };
    }

    /**
     * The time limits of attempts.
     *
     * @param silence The maximum silence of a target while it streams.
     * @param queueWait The maximum time for which a request waits for a permit.
     */
    public record Limits(Duration silence, Duration queueWait) {}

    /**
     * One attempt of a request.
     *
     * @param call The request.
     * @param payload The request for the target.
     * @param consumer Transforms the answer to what the caller receives.
     * @param excluded The targets on which earlier attempts failed.
     * @param number The number of the attempt, starting from 1.
     * @param earlier The failure of the previous attempt; empty for the first.
     */
    private record Attempt(
            Call call,
            Payload payload,
            Function<Flux<AnswerPart>, Flux<AnswerPart>> consumer,
            Set<TargetId> excluded,
            int number,
            Optional<Failure> earlier) {

        /**
         * Returns the attempt that follows this one on another target.
         *
         * @param target The target on which this attempt failed.
         * @param failure Why it failed.
         */
        Attempt next(TargetId target, Failure failure) {
            Set<TargetId> targets = new HashSet<>(excluded);
            targets.add(target);
            return new Attempt(call, payload, consumer, Set.copyOf(targets), number + 1, Optional.of(failure));
        }

        /**
         * Returns the request for a lease on a target that did not fail yet.
         *
         * @param waitDeadline The latest monotonic time in nanoseconds at which a lease is still useful.
         */
        LeaseRequest leaseRequest(long waitDeadline) {
            return new LeaseRequest(
                    call.service().name(),
                    call.team().id(),
                    call.team().weight(),
                    Priority.ONLINE,
                    payload.affinity(),
                    excluded,
                    waitDeadline);
        }
    }
}
