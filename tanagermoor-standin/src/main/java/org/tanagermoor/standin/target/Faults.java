package org.tanagermoor.standin.target;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** The faults that are still to strike. Safe for use by several threads. */
public final class Faults {

    /** The faults in the order in which they strike. Guarded by itself. */
    private final List<Fault> pending = new ArrayList<>();

    /**
     * Replaces the faults.
     *
     * @param faults The faults in the order in which they strike.
     */
    public void replace(List<Fault> faults) {
        synchronized (pending) {
            pending.clear();
            pending.addAll(faults);
        }
    }

    /**
     * Takes the fault that strikes a connection that was just accepted.
     *
     * @return The fault, if there is one.
     */
    Optional<Fault> takeForConnection() {
        return take(true);
    }

    /**
     * Takes the fault that strikes a request.
     *
     * @return The fault, if there is one.
     */
    Optional<Fault> takeForRequest() {
        return take(false);
    }

    /**
     * Takes the first fault, if it strikes at this step.
     *
     * @param connection Whether a connection was accepted.
     * @return The fault, if there is one.
     */
    private Optional<Fault> take(boolean connection) {
        synchronized (pending) {
            if (pending.isEmpty() || (pending.get(0).stage() == Fault.Stage.CONNECT) != connection) {
                return Optional.empty();
            }
            Fault fault = pending.remove(0);
            if (fault.count() > 1) {
                pending.add(0, fault.withCount(fault.count() - 1));
            }
            return Optional.of(fault);
        }
    }
}
