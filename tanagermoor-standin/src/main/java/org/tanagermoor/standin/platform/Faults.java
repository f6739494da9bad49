package org.tanagermoor.standin.platform;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** The faults that are switched on. Safe for use by several threads. */
public final class Faults {

    /** The faults by operation. */
    private final Map<Operation, Fault> faults = new ConcurrentHashMap<>();

    /** Creates a state without faults. */
    Faults() {}

    /**
     * Switches the faults of an operation, in place of those before.
     *
     * @param operation The operation.
     * @param fault The faults.
     */
    public void set(Operation operation, Fault fault) {
        faults.put(operation, fault);
    }

    /**
     * Switches the faults of all operations, in place of those before.
     *
     * @param fault The faults.
     */
    public void setAll(Fault fault) {
        for (Operation operation : Operation.values()) {
            faults.put(operation, fault);
        }
    }

    /** Switches all faults off. */
    public void clear() {
        faults.clear();
    }

    /**
     * Returns the faults that a call meets, and counts the call.
     *
     * @param operation The operation.
     * @return The faults.
     */
    Fault take(Operation operation) {
        Fault[] met = {Fault.NONE};
        faults.computeIfPresent(operation, (key, fault) -> {
            met[0] = fault;
            return fault.next();
        });
        return met[0];
    }
}
