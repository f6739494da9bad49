package org.tanagermoor.store.client;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelOption;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.tanagermoor.http.Responses;
import org.tanagermoor.kernel.event.EventLog;
import org.tanagermoor.kernel.failure.Execution;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.kernel.setting.Address;
import org.tanagermoor.kernel.time.TimeSource;
import org.tanagermoor.store.PlatformEvent;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.netty.http.HttpProtocol;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;

/**
 * Calls the platform over HTTP. Each call has a deadline, and the number of calls in flight is limited. An idempotent
 * call is sent a second time, on a new connection, if the answer to the first attempt is lost or late; the answer that
 * arrives first is used.
 */
public final class PlatformClient implements AutoCloseable {

    /** The header with the id of a request. The response must repeat it, so that a crossed response is detected. */
    public static final String ID_HEADER = "x-request-id";

    /** The name of the gauge for the number of calls in flight. */
    public static final String IN_FLIGHT_METRIC = "platform.in_flight";

    /**
     * The maximum number of attempts of an idempotent call. The second one starts at the latest when only its share of
     * the deadline is left.
     */
    private static final int ATTEMPTS = 2;

    private final Address address;

    /** The time within which a call ends, measured from its start. */
    private final Duration deadline;

    /** The maximum number of calls in flight. */
    private final int maxInFlight;

    private final MetricRegistry metrics;

    private final EventLog events;

    private final TimeSource time;

    private final ConnectionPool pool;

    private final HttpClient client;

    /** The availability of the platform as the results of calls show it. */
    private final Availability availability;

    /** Limits the second attempts. */
    private final RetryBudget budget;

    private final AtomicInteger inFlight = new AtomicInteger();

    /** The number of attempts so far; the id of an attempt is its number. */
    private final AtomicLong attemptCount = new AtomicLong();

    private PlatformClient(
            Address address, CallLimits limits, MetricRegistry metrics, EventLog events, TimeSource time) {
        this.address = address;
        this.metrics = metrics;
        this.events = events;
        this.time = time;
        deadline = limits.deadline();
        maxInFlight = limits.inFlight();
        availability = new Availability(events);
        budget = new RetryBudget(maxInFlight);
        pool = new ConnectionPool(ATTEMPTS * maxInFlight, time);
        client = HttpClient.create(pool.provider())
                .remoteAddress(address::toSocketAddress)
                .protocol(HttpProtocol.HTTP11)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) deadline.toMillis())
                .disableRetry(true);
        metrics.gauge(IN_FLIGHT_METRIC, () -> (Gauge<Integer>) inFlight::get);
    }

    /**
     * Creates a client, which connects when it is first used.
     *
     * @param address The address of the platform.
     * @param metrics The registry for the meters of calls and the gauge of calls in flight.
     * @param events The log for changes of the availability and replaced connections.
     * @param time The source of the monotonic time.
     */
    public static PlatformClient of(
            Address address, CallLimits limits, MetricRegistry metrics, EventLog events, TimeSource time) {
        return new PlatformClient(address, limits, metrics, events, time);
    }

    /**
     * Sends a call, when the result is subscribed to.
     *
     * @return The answer, or a failure; the kind is {@link Failure.Kind#RATE_LIMITED} if too many calls are in flight.
     */
    public Mono<Either<Failure, Answer>> exchange(Call call) {
        return Mono.defer(() -> {
            if (inFlight.incrementAndGet() > maxInFlight) {
                inFlight.decrementAndGet();
                return Mono.just(Either.left(tooManyInFlight(call)));
            }
            return runAttempts(call).doOnNext(this::updateAvailability).doFinally(signal -> inFlight.decrementAndGet());
        });
    }

    /**
     * Returns a failure for an answer that cannot be parsed or belongs to another call. Its execution is unknown.
     *
     * @param detail A description of the error in the answer.
     */
    public Failure corrupt(Call call, String detail) {
        return Failure.unknown(Failure.Kind.CORRUPT, call.step(), address.toString(), detail);
    }

    /** Makes one attempt of a call, or up to two if it is idempotent, and returns the deciding result. */
    private Mono<Either<Failure, Answer>> runAttempts(Call call) {
        Mono<Either<Failure, Answer>> first = attempt(call, deadline);
        if (!call.idempotent()) {
            return first;
        }
        return Mono.defer(() -> {
            budget.deposit();
            Sinks.One<Either<Failure, Answer>> firstResult = Sinks.one();
            return Flux.merge(first.doOnNext(firstResult::tryEmitValue), secondAttempt(call, firstResult.asMono()))
                    .takeUntil(result -> result.isRight() || !answerLost(result.getLeft()))
                    .last();
        });
    }

    /**
     * Makes the second attempt of a call if the answer to the first one is lost or late and the retry budget allows it.
     *
     * @param first The result of the first attempt.
     * @return The result of the second attempt, or empty if there is none.
     */
    private Mono<Either<Failure, Answer>> secondAttempt(Call call, Mono<Either<Failure, Answer>> first) {
        Mono<Boolean> answerLost = first.filter(result -> result.isLeft() && answerLost(result.getLeft()))
                .map(result -> false)
                .switchIfEmpty(Mono.never());
        Mono<Boolean> late = Mono.delay(deadline.dividedBy(ATTEMPTS)).map(elapsed -> true);
        return Mono.firstWithValue(answerLost, late)
                .filter(firstIsLate -> budget.tryWithdraw())
                .flatMap(firstIsLate -> {
                    if (firstIsLate) {
                        replaceConnections(call);
                    }
                    return attempt(call, deadline.dividedBy(ATTEMPTS));
                });
    }

    /** Returns whether a failure means that the answer was lost, so that a second attempt may get one. */
    private static boolean answerLost(Failure failure) {
        return switch (failure.kind()) {
            case TIMEOUT, CORRUPT -> true;
            case UNAVAILABLE -> failure.execution() == Execution.UNKNOWN;
            default -> false;
        };
    }

    /** Sends a call once, and turns errors and a timeout into failures. */
    private Mono<Either<Failure, Answer>> attempt(Call call, Duration timeout) {
        return Mono.defer(() -> {
            AtomicBoolean sent = new AtomicBoolean();
            String id = Long.toString(attemptCount.incrementAndGet());
            metrics.meter(call.metric()).mark();
            return client.doOnRequest((request, connection) -> sent.set(true))
                    .headers(headers -> headers.set(ID_HEADER, id))
                    .request(call.method())
                    .uri(call.path())
                    .send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(call.body())))
                    .responseSingle((response, body) -> body.asByteArray()
                            .defaultIfEmpty(Call.NO_BODY)
                            .map(bytes -> result(call, id, response, bytes)))
                    .timeout(timeout)
                    .onErrorResume(error -> Mono.just(Either.left(failure(call, error, sent.get()))));
        });
    }

    /**
     * Turns a response into an answer, or into a failure if its id or status is not as expected.
     *
     * @param id The id that was sent with the request.
     * @param response The status and the headers of the response.
     */
    private Either<Failure, Answer> result(Call call, String id, HttpClientResponse response, byte[] body) {
        if (!id.equals(response.responseHeaders().get(ID_HEADER))) {
            return Either.left(corrupt(call, "the answer belongs to another request"));
        }
        int status = response.status().code();
        if (call.statuses().contains(status)) {
            return Either.right(new Answer(status, body));
        }
        String run = response.responseHeaders().get(Responses.RUN_HEADER);
        Execution execution = Execution.NOT_RUN.label().equals(run) ? Execution.NOT_RUN : Execution.UNKNOWN;
        String detail = "the platform answered with status " + status;
        return Either.left(new Failure(kind(status), call.step(), address.toString(), detail, execution));
    }

    /** Maps an HTTP status that is no answer to a kind of failure. */
    private static Failure.Kind kind(int status) {
        return switch (status) {
            case 400 -> Failure.Kind.INVALID;
            case 413 -> Failure.Kind.TOO_LARGE;
            case 429 -> Failure.Kind.RATE_LIMITED;
            case 504 -> Failure.Kind.TIMEOUT;
            default -> Failure.Kind.UNAVAILABLE;
        };
    }

    /**
     * Turns an error of the HTTP client into a failure, and replaces the connections after a timeout.
     *
     * @param sent Whether the request may have been sent, so that it may have been executed.
     */
    private Failure failure(Call call, Throwable error, boolean sent) {
        boolean late = error instanceof TimeoutException;
        Failure.Kind kind = late ? Failure.Kind.TIMEOUT : Failure.Kind.UNAVAILABLE;
        String detail = late ? "no answer came in time" : String.valueOf(error.getMessage());
        if (late) {
            replaceConnections(call);
        }
        return sent
                ? Failure.unknown(kind, call.step(), address.toString(), detail)
                : Failure.notRun(kind, call.step(), address.toString(), detail);
    }

    /**
     * Replaces all connections that are open now, and records this if the platform counts as available.
     *
     * @param call The call that was not answered in time.
     */
    private void replaceConnections(Call call) {
        boolean replaced = pool.replaceAll(time.nanos());
        if (replaced && availability.available()) {
            events.record(PlatformEvent.CONNECTIONS_REPLACED, "step", call.step(), "peer", address);
        }
    }

    /** Returns the failure of a call that would exceed the maximum number of calls in flight. */
    private Failure tooManyInFlight(Call call) {
        String detail = "more than " + maxInFlight + " calls are in flight";
        return Failure.notRun(Failure.Kind.RATE_LIMITED, call.step(), Failure.LOCAL, detail);
    }

    /** Updates the availability of the platform from the result of a call. */
    private void updateAvailability(Either<Failure, Answer> result) {
        result.peek(answer -> availability.recordAnswer()).peekLeft(availability::recordFailure);
    }

    /** Closes the connections and removes the gauge of calls in flight. */
    @Override
    public void close() {
        pool.close();
        metrics.remove(IN_FLIGHT_METRIC);
    }
}
