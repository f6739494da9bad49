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

/** Runs requests on targets: leases one, sends the request, and tries another target where that is allowed. */
public final class Attempts {

    /** The failure of an answer that ended too early. */
    private static final Failure INCOMPLETE =
            Failure.unknown(Failure.Kind.CORRUPT, "online.answer", Failure.LOCAL, "the answer ended too early");

    /** The targets. */
    private final Targets targets;

    /** Sends requests to targets. */
    private final TargetClient client;

    /** Checks requests right before they go out. */
    private final Admission admission;

    /** The metrics. */
    private final OnlineMetrics metrics;

    /** The log of events. */
    private final EventLog events;

    /** The source of the present time. */
    private final TimeSource time;

    /** The limits of time. */
    private final Limits limits;

    /** The retry budgets. */
    private final RetryBudgets retryBudgets = new RetryBudgets();

    /**
     * Creates attempts.
     *
     * @param targets The targets.
     * @param client Sends requests to targets.
     * @param admission Checks requests right before they go out.
     * @param metrics The metrics.
     * @param events The log of events.
     * @param time The source of the present time.
     * @param limits The limits of time.
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
     * Runs a request.
     *
     * @param call The request.
     * @param payload What goes to the target.
     * @param consumer Takes the parts of one attempt; what it emits reaches the caller. Before it emits what cannot be
     *     taken back, it marks the request as forwarded.
     * @return What the consumer emits for the attempt that counts, or a failure whose execution is true.
     */
    public Flux<AnswerPart> run(Call call, Payload payload, Function<Flux<AnswerPart>, Flux<AnswerPart>> consumer) {
        return Flux.defer(() -> {
            long now = time.nanos();
            retryBudgets.request(call.service().name(), now);
            Attempt first = new Attempt(call, payload, consumer, Set.of(), 1, Optional.empty());
            return untilAborted(call, attempt(first), now)
                    .onErrorMap(error -> call.withKnownExecution(Failures.of(error)).asException());
        });
    }

    /**
     * Cancels a request when it is aborted or its deadline passes.
     *
     * @param call The request.
     * @param parts Runs the request.
     * @param now The present monotonic time in nanoseconds.
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
     * Makes an attempt, and others after it where that is allowed.
     *
     * @param attempt The attempt.
     * @return What the consumer emits.
     */
    private Flux<AnswerPart> attempt(Attempt attempt) {
        return targets.lease(attempt.leaseRequest(leaseDeadline(attempt.call())))
                .doOnDiscard(Either.class, Attempts::releaseUnclaimed)
                .flatMapMany(result -> result.fold(
                        failure -> Flux.error(attempt.earlier().orElse(failure).asException()),
                        lease -> send(attempt, lease)));
    }

    /**
     * Returns until when a request waits for a permit. What would wait for longer is refused soon rather than served
     * late.
     *
     * @param call The request.
     * @return The monotonic time in nanoseconds, at most the deadline of the request.
     */
    private long leaseDeadline(Call call) {
        long latest = time.nanos() + limits.queueWait().toNanos();
        return latest - call.deadline() < 0 ? latest : call.deadline();
    }

    /**
     * Sends a request to the target of a lease.
     *
     * @param attempt The attempt.
     * @param lease The lease, which is released in any case.
     * @return What the consumer emits.
     */
    private Flux<AnswerPart> send(Attempt attempt, TargetLease lease) {
        Call call = attempt.call();
        TargetObserver observer = new TargetObserver(targets, lease, time);
        Flux<AnswerPart> parts =
                client.send(lease.target(), request(attempt), () -> recheckBeforeSend(call)).doOnNext(observer::observe);
        return attempt.consumer()
                .apply(parts)
                .doOnComplete(() -> lease.release(TargetLease.Result.ANSWERED))
                .doOnError(error -> lease.release(result(Failures.of(error).kind())))
                .doOnCancel(() -> lease.release(TargetLease.Result.CANCELLED))
                .onErrorResume(error -> retried(attempt, lease.target().id(), error));
    }

    /**
     * Makes another attempt after one failed, where that is allowed.
     *
     * @param attempt The attempt that failed.
     * @param target The target on which it failed.
     * @param error The error.
     * @return What the consumer emits, or the error.
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
     * Checks a request right before its first byte goes out.
     *
     * @param call The request.
     * @return Why it may not go out, if it may not.
     */
    private Optional<Failure> recheckBeforeSend(Call call) {
        Optional<Failure> failure = admission.recheck(call);
        if (failure.isEmpty()) {
            call.markSent();
        }
        return failure;
    }

    /**
     * Returns the request for a target.
     *
     * @param attempt The attempt.
     * @return The request.
     */
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
     * Returns the longest silence of a target. Plain services may be silent until they answer; where the request may be
     * repeated, half of the time is left for another attempt.
     *
     * @param call The request.
     * @return The longest silence.
     */
    private Duration silence(Call call) {
        if (call.service().kind() == Service.Kind.MODEL) {
            return limits.silence();
        }
        Duration remaining = Duration.ofNanos(Math.max(1, call.deadline() - time.nanos()));
        return call.service().idempotent() ? remaining.dividedBy(2).plusNanos(1) : remaining.plus(limits.silence());
    }

    /**
     * Returns a failure at the deadline of a request.
     *
     * @param call The request.
     * @param now The present monotonic time in nanoseconds.
     * @return The failure.
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
     * Releases a lease that nobody took.
     *
     * @param result The result that holds the lease.
     */
    private static void releaseUnclaimed(Either<?, ?> result) {
        if (result.isRight() && result.get() instanceof TargetLease lease) {
            lease.release(TargetLease.Result.CANCELLED);
        }
    }

    /**
     * Returns how a request ended at a target.
     *
     * @param kind The kind of failure.
     * @return The result.
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
     * The limits of time.
     *
     * @param silence The longest silence of a target while it streams.
     * @param queueWait The longest time for which a request waits for a permit.
     */
    public record Limits(Duration silence, Duration queueWait) {}

    /**
     * An attempt of a request.
     *
     * @param call The request.
     * @param payload What goes to the target.
     * @param consumer Takes the parts.
     * @param excluded The targets on which earlier attempts failed.
     * @param number The number of the attempt from 1.
     * @param earlier How the attempt before failed, if there was one.
     */
    private record Attempt(
            Call call,
            Payload payload,
            Function<Flux<AnswerPart>, Flux<AnswerPart>> consumer,
            Set<TargetId> excluded,
            int number,
            Optional<Failure> earlier) {

        /**
         * Returns the attempt that follows this one.
         *
         * @param target The target on which this one failed.
         * @param failure How it failed.
         * @return The next attempt.
         */
        Attempt next(TargetId target, Failure failure) {
            Set<TargetId> targets = new HashSet<>(excluded);
            targets.add(target);
            return new Attempt(call, payload, consumer, Set.copyOf(targets), number + 1, Optional.of(failure));
        }

        /**
         * Returns the request for a lease.
         *
         * @param waitDeadline The latest monotonic time in nanoseconds at which a lease is of use.
         * @return The request for a lease.
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
