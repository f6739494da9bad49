package org.tanagermoor.online.admission;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.tanagermoor.kernel.failure.Execution;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.policy.configuration.Service;
import org.tanagermoor.policy.configuration.Team;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/** A caller's request that was admitted, and how far it came. Safe for use by several threads. */
public final class Call {

    /** The identity. */
    private final String id;

    /** The team. */
    private final Team team;

    /** The SHA-256 of the key, if the request needs one. */
    private final Optional<String> key;

    /** The service. */
    private final Service service;

    /** The monotonic time in nanoseconds at which the caller stops to wait. */
    private final long deadline;

    /** The number of exchanges with targets. */
    private final AtomicInteger exchanges = new AtomicInteger();

    /** Completes when the request is aborted. */
    private final Sinks.One<Failure> aborted = Sinks.one();

    /** Whether a byte may have gone to a target. */
    private volatile boolean sent;

    /** Whether a byte of the answer went to the caller. */
    private volatile boolean forwarded;

    /**
     * Creates a request.
     *
     * @param id The identity.
     * @param team The team.
     * @param key The SHA-256 of the key, if the request needs one.
     * @param service The service.
     * @param deadline The monotonic time in nanoseconds at which the caller stops to wait.
     */
    public Call(String id, Team team, Optional<String> key, Service service, long deadline) {
        this.id = id;
        this.team = team;
        this.key = key;
        this.service = service;
        this.deadline = deadline;
    }

    /**
     * Returns the identity.
     *
     * @return The identity.
     */
    public String id() {
        return id;
    }

    /**
     * Returns the team.
     *
     * @return The team.
     */
    public Team team() {
        return team;
    }

    /**
     * Returns the SHA-256 of the key.
     *
     * @return The SHA-256 of the key, if the request needs one.
     */
    public Optional<String> key() {
        return key;
    }

    /**
     * Returns the service.
     *
     * @return The service.
     */
    public Service service() {
        return service;
    }

    /**
     * Returns the deadline.
     *
     * @return The monotonic time in nanoseconds at which the caller stops to wait.
     */
    public long deadline() {
        return deadline;
    }

    /**
     * Returns the identity of the next exchange with a target.
     *
     * @return An identity that no other exchange has.
     */
    public String nextExchangeId() {
        return id + "." + exchanges.incrementAndGet();
    }

    /** Notes that the next byte goes to a target. */
    public void markSent() {
        sent = true;
    }

    /**
     * Returns whether a byte may have gone to a target.
     *
     * @return Whether a byte may have gone to a target.
     */
    public boolean isSent() {
        return sent;
    }

    /** Notes that the next byte of the answer goes to the caller. */
    public void markForwarded() {
        forwarded = true;
    }

    /**
     * Returns whether a byte of the answer went to the caller.
     *
     * @return Whether a byte of the answer went to the caller.
     */
    public boolean isForwarded() {
        return forwarded;
    }

    /**
     * Returns a failure of this request, which is never said to be not run after a byte went to a target.
     *
     * @param failure The failure as it arose.
     * @return The failure.
     */
    public Failure withKnownExecution(Failure failure) {
        return sent ? failure.withExecution(Execution.UNKNOWN) : failure;
    }

    /**
     * Aborts the request, unless it was aborted before.
     *
     * @param failure Why it is aborted.
     */
    public void abort(Failure failure) {
        aborted.tryEmitValue(failure);
    }

    /**
     * Returns why the request was aborted, when it is.
     *
     * @return The failure; never completes if the request is not aborted.
     */
    public Mono<Failure> aborted() {
        return aborted.asMono();
    }
}
