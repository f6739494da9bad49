package org.tanagermoor.batch.worker;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.tanagermoor.kernel.failure.Failure;
import reactor.core.publisher.Flux;

/**
 * Decides right before an item starts whether it may start. After the gate is closed, no item starts. Thread-safe. No
 * lock is held while an item starts: the code that starts it is not known here, and may start items of other gates.
 */
final class StartGate {

    /** Returns whether an item may start now. */
    private final BooleanSupplier allowed;

    /** The number of items that each thread is starting. Guarded by this object. */
    private final Map<Thread, Integer> starting = new HashMap<>();

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

    /**
     * Closes this gate. Items that have already started are not affected. Waits until other threads have started the
     * items that they are about to start, so that none starts later; so no such start may wait for the caller.
     */
    synchronized void close() {
        closed = true;
        boolean interrupted = false;
        while (othersStart()) {
            try {
                wait();
            } catch (InterruptedException exception) {
                interrupted = true;
            }
        }
        if (interrupted) {
            Thread.currentThread().interrupt();
        }
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
    private boolean start(Runnable action) {
        if (!enter()) {
            return false;
        }
        try {
            if (!allowed.getAsBoolean()) {
                return false;
            }
            action.run();
            return true;
        } finally {
            leave();
        }
    }

    /** Notes that the current thread is about to start an item; returns {@code false} if this gate is closed. */
    private synchronized boolean enter() {
        if (!closed) {
            starting.merge(Thread.currentThread(), 1, Integer::sum);
        }
        return !closed;
    }

    /** Notes that the current thread has started an item, or was not allowed to. */
    private synchronized void leave() {
        starting.computeIfPresent(Thread.currentThread(), (thread, count) -> count == 1 ? null : count - 1);
        notifyAll();
    }

    /** Returns whether a thread other than the current one is starting an item. */
    private synchronized boolean othersStart() {
        return starting.keySet().stream().anyMatch(thread -> thread != Thread.currentThread());
    }

    /** Returns the failure of an item that did not start. */
    private static Failure refused() {
        return Failure.notRun(Failure.Kind.CANCELLED, "batch.start", Failure.LOCAL, "the lease of the chunk has ended");
    }
}
