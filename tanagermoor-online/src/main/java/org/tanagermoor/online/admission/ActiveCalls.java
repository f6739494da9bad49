package org.tanagermoor.online.admission;

import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.tanagermoor.kernel.event.EventLog;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.online.OnlineEvent;
import org.tanagermoor.policy.configuration.Configuration;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Tracks the requests that this instance serves, so that a planned stop can wait for them and a withdrawn key ends
 * them. Safe for use by several threads.
 */
public final class ActiveCalls {

    private final EventLog events;

    private final Set<Call> admitted = ConcurrentHashMap.newKeySet();

    /** The number of requests that arrived and are not finished. Guarded by this. */
    private int running;

    /** Whether new requests are refused. Guarded by this. */
    private boolean closed;

    /**
     * Creates a tracker without requests.
     *
     * @param events The log of events.
     */
    public ActiveCalls(EventLog events) {
        this.events = events;
    }

    /**
     * Serves a request. Once this instance refuses requests, the result is a failure of kind {@link
     * Failure.Kind#UNAVAILABLE} instead.
     *
     * @param request Serves the request when subscribed to.
     * @return Completes when the request is served.
     */
    public Mono<Void> serve(Mono<Void> request) {
        return Mono.defer(() -> tryStart()
                ? request.doFinally(signal -> finish())
                : Mono.error(Failure.notRun(
                                Failure.Kind.UNAVAILABLE, "admission.stop", Failure.LOCAL, "this instance has stopped")
                        .asException()));
    }

    /**
     * Tracks an admitted request while it runs, so that it can be aborted when its key is withdrawn.
     *
     * @param <T> The type of the parts of the answer.
     * @param call The request.
     * @param parts Runs the request when subscribed to.
     * @return The parts, unchanged.
     */
    public <T> Flux<T> track(Call call, Flux<T> parts) {
        return Flux.defer(() -> {
            admitted.add(call);
            return parts.doFinally(signal -> admitted.remove(call));
        });
    }

    /**
     * Aborts the requests whose callers are not authorized any more.
     *
     * @param configuration The configuration that was adopted.
     */
    public void onConfigurationAdopted(Configuration configuration) {
        for (Call call : admitted) {
            Optional<Failure> failure = Admission.authorizationFailure(call, configuration);
            if (failure.isPresent()) {
                events.record(
                        OnlineEvent.KEY_WITHDRAWN,
                        "request",
                        call.id(),
                        "team",
                        call.team().id());
                call.abort(failure.get());
            }
        }
    }

    /** Refuses new requests from now on. Requests that run are not affected. */
    public synchronized void close() {
        closed = true;
    }

    /**
     * Waits until no request is being served.
     *
     * @param nanos The maximum time to wait in nanoseconds.
     * @return Whether no request is being served; {@code false} after a time-out.
     * @throws InterruptedException If the wait is interrupted.
     */
    public synchronized boolean awaitIdle(long nanos) throws InterruptedException {
        long waitDeadline = System.nanoTime() + nanos;
        long remaining = nanos;
        while (running > 0 && remaining > 0) {
            TimeUnit.NANOSECONDS.timedWait(this, remaining);
            remaining = waitDeadline - System.nanoTime();
        }
        return running == 0;
    }

    /**
     * Counts a request that arrived.
     *
     * @return {@code false} if requests are refused.
     */
    private synchronized boolean tryStart() {
        if (closed) {
            return false;
        }
        running++;
        return true;
    }

    /** Counts a request as finished. */
    private synchronized void finish() {
        running--;
        notifyAll();
    }
}
