package org.tanagermoor.policy.configuration;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import org.tanagermoor.policy.fleet.TargetId;

/**
 * A preset: how the fleet behaves while it is in force.
 *
 * @param name The name, for example {@code ordinary}, {@code peak} or {@code maintenance}.
 * @param batchShare The largest part of each target's capacity that batch may use, from 0 to 1.
 * @param onlineReserve The part of each target's capacity that batch leaves free, from 0 to 1.
 * @param rateFactor The factor by which the rates of all teams are multiplied, above 0.
 * @param loadsPerMinute The loads from the weight store that all instances together begin in a minute, above 0.
 * @param engines What is wanted of model engines. A target that is not named is given no orders.
 */
public record Preset(
        String name,
        double batchShare,
        double onlineReserve,
        double rateFactor,
        double loadsPerMinute,
        Map<TargetId, EngineState> engines) {

    /** The loads from the weight store in a minute where none are said. */
    public static final double DEFAULT_LOADS_PER_MINUTE = 2;

    /** The preset that is in force before an operator makes another. */
    public static final Preset ORDINARY = Preset.of("ordinary", 1.0, 0.125, 1.0);

    /**
     * Returns a preset that wants nothing of model engines.
     *
     * @param batchShare The largest part of each target's capacity that batch may use.
     * @param onlineReserve The part of each target's capacity that batch leaves free.
     * @param rateFactor The factor by which the rates of all teams are multiplied.
     */
    public static Preset of(String name, double batchShare, double onlineReserve, double rateFactor) {
        return new Preset(name, batchShare, onlineReserve, rateFactor, DEFAULT_LOADS_PER_MINUTE, HashMap.empty());
    }

    /**
     * Returns this preset with other wishes for model engines.
     *
     * @param loads The loads from the weight store that all instances together begin in a minute.
     * @param value What is wanted of model engines.
     */
    public Preset withEngines(double loads, Map<TargetId, EngineState> value) {
        return new Preset(name, batchShare, onlineReserve, rateFactor, loads, value);
    }
}
