package org.tanagermoor.target.lease;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BiConsumer;
import org.tanagermoor.policy.configuration.Target;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/** A permit that this instance gave to one of its own requests. */
final class LocalLease implements TargetLease {

    private final Target target;

    private final Priority priority;

    /** Called at most once, when this permit is released. */
    private final BiConsumer<LocalLease, Result> releaseHandler;

    private final AtomicBoolean released = new AtomicBoolean();

    /** Completes when this permit is recalled. */
    private final Sinks.Empty<Void> recall = Sinks.empty();

    LocalLease(Target target, Priority priority, BiConsumer<LocalLease, Result> releaseHandler) {
        this.target = target;
        this.priority = priority;
        this.releaseHandler = releaseHandler;
    }

    /** {@inheritDoc} */
    @Override
    public Target target() {
        return target;
    }

    /** {@inheritDoc} */
    @Override
    public Mono<Void> recalled() {
        return recall.asMono();
    }

    /** {@inheritDoc} */
    @Override
    public void release(Result result) {
        if (released.compareAndSet(false, true)) {
            releaseHandler.accept(this, result);
        }
    }

    /** Returns the priority of the request that uses this permit. */
    Priority priority() {
        return priority;
    }

    /** Recalls this permit. */
    void recall() {
        recall.tryEmitEmpty();
    }
}
