package org.tanagermoor.store.client;

import java.util.concurrent.atomic.AtomicReference;
import org.tanagermoor.kernel.event.EventLog;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.store.PlatformEvent;

/**
 * Tracks from the results of calls whether the platform is available, unavailable or limits the rate of calls, and
 * records an event at each change of that state.
 */
final class Availability {

    private final EventLog events;

    /** One of {@code AVAILABLE}, {@code UNAVAILABLE} and {@code RATE_LIMITED}: the event of the last change. */
    private final AtomicReference<PlatformEvent> state = new AtomicReference<>(PlatformEvent.AVAILABLE);

    /** Starts in the state that the platform is available. */
    Availability(EventLog events) {
        this.events = events;
    }

    /** Returns whether the platform is neither unavailable nor limiting the rate of calls, as far as results show. */
    boolean available() {
        return state.get() == PlatformEvent.AVAILABLE;
    }

    /** Enters the available state, because a call was answered. */
    void recordAnswer() {
        if (transitionTo(PlatformEvent.AVAILABLE)) {
            events.record(PlatformEvent.AVAILABLE);
        }
    }

    /** Enters the state that a failure indicates, if it indicates one. */
    void recordFailure(Failure failure) {
        switch (failure.kind()) {
            case UNAVAILABLE, TIMEOUT, CORRUPT -> record(PlatformEvent.UNAVAILABLE, failure);
            case RATE_LIMITED -> record(PlatformEvent.RATE_LIMITED, failure);
            default -> {
                // The platform answered; the call itself was invalid.
            }
        }
    }

    /** Enters a state because of a failure, and records an event if the state has changed. */
    private void record(PlatformEvent newState, Failure failure) {
        if (transitionTo(newState)) {
            events.record(newState, "step", failure.step(), "peer", failure.peer(), "detail", failure.detail());
        }
    }

    /** Enters a state and returns whether it differs from the previous one. */
    private boolean transitionTo(PlatformEvent newState) {
        return state.getAndSet(newState) != newState;
    }
}
