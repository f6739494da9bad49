package org.tanagermoor.online.admission;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.tanagermoor.kernel.failure.Execution;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.policy.configuration.Service;
import org.tanagermoor.policy.configuration.Team;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/**
 * An admitted request of a caller and its progress: whether it was sent to a target, whether its answer has started,
 * and whether it was aborted. Safe for use by several threads.
 */
public final class Call {

    private final String id;

    private final Team team;

    /** The SHA-256 of the key; empty if the request was admitted without one. */
    private final Optional<String> key;

    private final Service service;

    /** The monotonic time in nanoseconds at which the caller stops waiting. */
    private final long deadline;

    /** The number of exchange ids that were assigned. */
    private final AtomicInteger exchanges = new AtomicInteger();

    /** Emits the reason when the request is aborted. */
    private final Sinks.One<Failure> aborted = Sinks.one();

    /** Whether a byte may have been sent to a target. */
    private volatile boolean sent;

    /** Whether a byte of the answer may have been sent to the caller. */
    private volatile boolean forwarded;

    /**
     * Creates a request that was not sent yet.
     *
     * @param id The request id, unique over all instances.
     * @param team The team to which the request is charged.
     * @param key The SHA-256 of the key; empty if the request was admitted without one.
     * @param service The service that the request uses.
     * @param deadline The monotonic time in nanoseconds at which the caller stops waiting.
     */
    public Call(String id, Team team, Optional<String> key, Service service, long deadline) {
        this.id = id;
        this.team = team;
        this.key = key;
        this.service = service;
        this.deadline = deadline;
    }

    /**
     * Returns the request id, which is unique over all instances.
     *
     * @return The request id.
     */
    public String id() {
        return id;
    }

    /**
     * Returns the team to which the request is charged.
     *
     * @return The team; a placeholder if the request was admitted without a key.
     */
    public Team team() {
        return team;
    }

    /**
     * Returns the SHA-256 of the key with which the request was admitted.
     *
     * @return The digest; empty if the request was admitted without a key.
     */
    public Optional<String> key() {
        return key;
    }

    /**
     * Returns the service that the request uses.
     *
     * @return The service as it was configured at admission.
     */
    public Service service() {
        return service;
    }

    /**
     * Returns the time at which the caller stops waiting.
     *
     * @return The monotonic time in nanoseconds.
     */
    public long deadline() {
        return deadline;
    }

    /**
     * Returns the id for the next exchange with a target.
     *
     * @return An id that no other exchange has.
     */
    public String nextExchangeId() {
        return id + "." + exchanges.incrementAndGet();
    }

    /** Records that the next byte goes to a target. Must be called before that byte is sent. */
    public void markSent() {
        sent = true;
    }

    /**
     * Returns whether the target may have received a part of the request.
     *
     * @return Whether a byte may have been sent to a target.
     */
    public boolean isSent() {
        return sent;
    }

    /** Records that the next byte of the answer goes to the caller. Must be called before that byte is sent. */
    public void markForwarded() {
        forwarded = true;
    }

    /**
     * Returns whether the caller may have received a part of the answer, after which no other attempt may be made.
     *
     * @return Whether a byte of the answer may have been sent to the caller.
     */
    public boolean isForwarded() {
        return forwarded;
    }

    /**
     * Corrects the execution of a failure: once a byte was sent to a target, no failure of this request may claim that
     * it was not run.
     *
     * @param failure The failure as it arose.
     * @return The failure, with an unknown execution if the request was sent.
     */
    public Failure withKnownExecution(Failure failure) {
        return sent ? failure.withExecution(Execution.UNKNOWN) : failure;
    }

    /**
     * Aborts the request, unless it was aborted before.
     *
     * @param failure Why the request is aborted.
     */
    public void abort(Failure failure) {
        aborted.tryEmitValue(failure);
    }

    /**
     * Returns a signal for the abort of this request.
     *
     * @return Emits why the request was aborted; never completes if it is not aborted.
     */
    public Mono<Failure> aborted() {
        return aborted.asMono();
    }
}
