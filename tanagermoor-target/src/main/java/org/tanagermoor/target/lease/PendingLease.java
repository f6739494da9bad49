package org.tanagermoor.target.lease;

import io.vavr.control.Either;
import org.jspecify.annotations.Nullable;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.policy.target.Ticket;
import reactor.core.publisher.MonoSink;

/** A request that waits for a permit. Only the thread of the duty uses its ticket. */
final class PendingLease {

    private final LeaseRequest request;

    /** Receives the permit or the failure. */
    private final MonoSink<Either<Failure, TargetLease>> sink;

    /** The ticket of the request in the queue, or {@code null} before it is enqueued. */
    @Nullable
    private Ticket<PendingLease> ticket;

    /** Whether the caller cancelled the request. */
    private volatile boolean cancelled;

    PendingLease(LeaseRequest request, MonoSink<Either<Failure, TargetLease>> sink) {
        this.request = request;
        this.sink = sink;
    }

    LeaseRequest request() {
        return request;
    }

    /** Returns the ticket of the request in the queue, or {@code null} before it is enqueued. */
    @Nullable
    Ticket<PendingLease> ticket() {
        return ticket;
    }

    void ticket(Ticket<PendingLease> value) {
        ticket = value;
    }

    /** Records that the caller cancelled the request. */
    void cancel() {
        cancelled = true;
    }

    /** Returns whether the caller cancelled the request. */
    boolean cancelled() {
        return cancelled;
    }

    /** Completes the request with a permit. */
    void succeed(TargetLease lease) {
        sink.success(Either.right(lease));
    }

    /** Completes the request with a failure. */
    void fail(Failure failure) {
        sink.success(Either.left(failure));
    }
}
