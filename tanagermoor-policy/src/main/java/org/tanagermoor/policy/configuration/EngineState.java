package org.tanagermoor.policy.configuration;

import io.vavr.collection.Set;
import io.vavr.collection.TreeSet;

/**
 * What a model engine has loaded, and its role: the part of the work that it does.
 *
 * @param model The name of the model.
 * @param version The version of the model.
 * @param adapters The names of the loaded adapters.
 * @param role The name of the role.
 */
public record EngineState(String model, String version, Set<String> adapters, String role) {

    /**
     * Returns the state of a model engine.
     *
     * @param version The version of the model.
     * @param adapters The names of the adapters, in any order.
     */
    public static EngineState of(String model, String version, Iterable<String> adapters, String role) {
        return new EngineState(model, version, TreeSet.ofAll(adapters), role);
    }

    /**
     * Returns this state with another model, which is loaded without adapters.
     *
     * @param value The name of the model.
     * @param valueVersion The version of the model.
     */
    public EngineState withModel(String value, String valueVersion) {
        return new EngineState(value, valueVersion, TreeSet.empty(), role);
    }

    /**
     * Returns this state with other adapters.
     *
     * @param value The names of the adapters.
     */
    public EngineState withAdapters(Set<String> value) {
        return new EngineState(model, version, value, role);
    }

    /**
     * Returns this state with another role.
     *
     * @param value The name of the role.
     */
    public EngineState withRole(String value) {
        return new EngineState(model, version, adapters, value);
    }
}
