package org.tanagermoor.standin.target;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;
import org.tanagermoor.policy.configuration.EngineState;

/** The orders that a stand-in target took, and what it has loaded because of them. Safe for use by several threads. */
final class EngineControl {

    /** The status of an order that was taken. */
    private static final int OK = 200;

    /** The status of an order that was refused. */
    private static final int CONFLICT = 409;

    /** The options. */
    private final TargetOptions options;

    /** The source of the present monotonic time in nanoseconds. */
    private final LongSupplier time;

    /** Loses what runs when a model is loaded or the role changes. */
    private final Runnable reload;

    /** The orders that were taken, in order. Guarded by this object. */
    private final List<JsonNode> orders = new ArrayList<>();

    /** The largest fencing number that was seen. Guarded by this object. */
    private long fence;

    /** What is loaded. Guarded by this object. */
    private EngineState state;

    /** The monotonic time from which requests are served, in nanoseconds. Guarded by this object. */
    private long readyAt;

    /**
     * Creates an engine that is ready.
     *
     * @param options The options.
     * @param time The source of the present monotonic time in nanoseconds.
     * @param reload Loses what runs when a model is loaded or the role changes.
     */
    EngineControl(TargetOptions options, LongSupplier time, Runnable reload) {
        this.options = options;
        this.time = time;
        this.reload = reload;
        state = start();
        readyAt = time.getAsLong();
    }

    /**
     * Takes an order.
     *
     * @param order The order.
     * @return The status.
     */
    synchronized int order(JsonNode order) {
        long number = order.path("fence").asLong();
        if (options.checksFencing() && number < fence) {
            return CONFLICT;
        }
        EngineState next = applied(order);
        fence = Math.max(fence, number);
        orders.add(order);
        boolean interrupted = !next.withAdapters(state.adapters()).equals(state);
        state = next;
        if (interrupted) {
            readyAt = time.getAsLong() + options.load().toNanos();
            reload.run();
        }
        return OK;
    }

    /** Loads again what a start loads. The fencing number and the record of orders are kept. */
    synchronized void restarted() {
        state = start();
        readyAt = time.getAsLong() + options.load().toNanos();
    }

    /**
     * Returns whether requests are served.
     *
     * @return Whether requests are served.
     */
    synchronized boolean ready() {
        return time.getAsLong() - readyAt >= 0;
    }

    /**
     * Returns the model that is loaded.
     *
     * @return The name of the model.
     */
    synchronized String model() {
        return state.model();
    }

    /**
     * Returns the orders that were taken.
     *
     * @return The orders, in order.
     */
    synchronized List<JsonNode> orders() {
        return List.copyOf(orders);
    }

    /**
     * Returns the report of the engine.
     *
     * @param load The load.
     * @return The document.
     */
    synchronized ObjectNode report(Engine.Load load) {
        ObjectNode result = AnswerWriter.document()
                .put("model", state.model())
                .put("version", state.version())
                .put("role", state.role())
                .put("ready", ready())
                .put("running", load.running() + load.waiting())
                .put("fence", options.checksFencing() ? fence : 0);
        ArrayNode adapters = result.putArray("adapters");
        state.adapters().forEach(adapters::add);
        return result;
    }

    /**
     * Returns what is loaded after an order.
     *
     * @param order The order.
     * @return What is loaded.
     * @throws IllegalArgumentException If there is no such order.
     */
    private EngineState applied(JsonNode order) {
        String adapter = order.path("adapter").asText();
        return switch (order.path("order").asText()) {
            case "load" ->
                loaded(order.path("model").asText(), order.path("version").asText());
            case "load-adapter" -> state.withAdapters(state.adapters().add(adapter));
            case "unload-adapter" -> state.withAdapters(state.adapters().remove(adapter));
            case "role" -> state.withRole(order.path("role").asText());
            default -> throw new IllegalArgumentException("there is no such order: " + order);
        };
    }

    /**
     * Returns what is loaded after a model was loaded.
     *
     * @param model The name of the model.
     * @param version The version.
     * @return What is loaded; unchanged if it is the same model.
     */
    private EngineState loaded(String model, String version) {
        boolean same = state.model().equals(model) && state.version().equals(version);
        return same ? state : state.withModel(model, version);
    }

    /**
     * Returns what a start loads.
     *
     * @return What a start loads.
     */
    private EngineState start() {
        return EngineState.of(options.model(), "1", List.of(), "whole");
    }
}
