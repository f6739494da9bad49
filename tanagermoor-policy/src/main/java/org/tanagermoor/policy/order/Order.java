package org.tanagermoor.policy.order;

import java.util.Optional;
import org.tanagermoor.policy.configuration.EngineState;

/** A command to a model engine. Orders are idempotent: a repeated order has no second effect. */
public sealed interface Order {

    /**
     * Returns the next order that brings an engine closer to its desired state.
     *
     * @param current The current state of the engine.
     * @param wanted The desired state.
     * @return The order, or empty if the engine is in the desired state.
     */
    static Optional<Order> next(EngineState current, EngineState wanted) {
        boolean model =
                current.model().equals(wanted.model()) && current.version().equals(wanted.version());
        if (!model) {
            return Optional.of(new LoadModel(wanted.model(), wanted.version()));
        }
        Optional<String> surplus =
                current.adapters().diff(wanted.adapters()).headOption().toJavaOptional();
        Optional<String> missing =
                wanted.adapters().diff(current.adapters()).headOption().toJavaOptional();
        return surplus.<Order>map(UnloadAdapter::new)
                .or(() -> missing.map(LoadAdapter::new))
                .or(() -> current.role().equals(wanted.role())
                        ? Optional.empty()
                        : Optional.of(new ChangeRole(wanted.role())));
    }

    /**
     * Returns the state of an engine after it has carried out this order.
     *
     * @param current The state before.
     * @return The state after.
     */
    EngineState applied(EngineState current);

    /**
     * Returns whether the engine loads from the weight store for this order.
     *
     * @return Whether it loads from the weight store.
     */
    boolean loads();

    /**
     * Returns whether the engine cannot serve requests while it carries out this order.
     *
     * @return Whether its requests must end first.
     */
    boolean interrupts();

    /**
     * Replaces the loaded model, and unloads all adapters.
     *
     * @param model The name of the model.
     * @param version The version of the model.
     */
    record LoadModel(String model, String version) implements Order {

        /** {@inheritDoc} */
        @Override
        public EngineState applied(EngineState current) {
            boolean same = current.model().equals(model) && current.version().equals(version);
            return same ? current : current.withModel(model, version);
        }

        /** {@inheritDoc} */
        @Override
        public boolean loads() {
            return true;
        }

        /** {@inheritDoc} */
        @Override
        public boolean interrupts() {
            return true;
        }
    }

    /**
     * Adds an adapter to the loaded model.
     *
     * @param adapter The name of the adapter.
     */
    record LoadAdapter(String adapter) implements Order {

        /** {@inheritDoc} */
        @Override
        public EngineState applied(EngineState current) {
            return current.withAdapters(current.adapters().add(adapter));
        }

        /** {@inheritDoc} */
        @Override
        public boolean loads() {
            return true;
        }

        /** {@inheritDoc} */
        @Override
        public boolean interrupts() {
            return false;
        }
    }

    /**
     * Removes an adapter from the loaded model.
     *
     * @param adapter The name of the adapter.
     */
    record UnloadAdapter(String adapter) implements Order {

        /** {@inheritDoc} */
        @Override
        public EngineState applied(EngineState current) {
            return current.withAdapters(current.adapters().remove(adapter));
        }

        /** {@inheritDoc} */
        @Override
        public boolean loads() {
            return false;
        }

        /** {@inheritDoc} */
        @Override
        public boolean interrupts() {
            return false;
        }
    }

    /**
     * Changes the role of the engine.
     *
     * @param role The new role.
     */
    record ChangeRole(String role) implements Order {

        /** {@inheritDoc} */
        @Override
        public EngineState applied(EngineState current) {
            return current.withRole(role);
        }

        /** {@inheritDoc} */
        @Override
        public boolean loads() {
            return false;
        }

        /** {@inheritDoc} */
        @Override
        public boolean interrupts() {
            return true;
        }
    }
}
