package org.tanagermoor.batch.worker;

import java.util.function.BooleanSupplier;
import org.tanagermoor.kernel.failure.Failure;
import reactor.core.publisher.Flux;

/** Decides right before an item starts whether it may start. After the gate is closed, no item starts. Thread-safe. */
final class StartGate {

    /** Returns whether an item may start now. */
    private final BooleanSupplier allowed;

    /** Whether this gate is closed. Guarded by this object. */
    private boolean closed;

    /**
     * Creates an open gate.
     *
     * @param allowed Returns whether an item may start now. Called right before each start.
     */
    StartGate(BooleanSupplier allowed) {
        this.allowed = allowed;
    }

    /** Closes this gate. Items that have already started are not affected. */
    synchronized void close() {
        closed = true;
    }

    /**
     * Guards the start of an item that runs when its stream is subscribed to.
     *
     * @param <T> The type of the elements.
     * @param stream The stream that starts the item on subscription.
     * @return A stream that fails, with certainty that the item did not run, if this gate does not let it start.
     */
    <T> Flux<T> guard(Flux<T> stream) {
        return Flux.from(subscriber -> {
            if (!start(() -> stream.subscribe(subscriber))) {
                Flux.<T>error(refused().asException()).subscribe(subscriber);
            }
        });
    }

    /**
     * Starts an item if this gate is open and the start is allowed.
     *
     * @param action Starts the item.
     * @return Whether the item was started.
     */
    private synchronized boolean start(Runnable action) {
        if (closed || !allowed.getAsBoolean()) {
            return false;
        }
        action.run();
        return true;
    }

    /** Returns the failure of an item that did not start. */
    private static Failure refused() {
        return Failure.notRun(Failure.Kind.CANCELLED, "batch.start", Failure.LOCAL, "the lease of the chunk has ended");
    }
}
