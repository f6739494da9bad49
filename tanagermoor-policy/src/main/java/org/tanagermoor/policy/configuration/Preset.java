package org.tanagermoor.policy.configuration;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import org.tanagermoor.policy.fleet.TargetId;

/**
 * A preset: a named set of values that control how the fleet shares capacity while the preset is in force.
 *
 * @param name The name, for example {@code ordinary}, {@code peak} or {@code maintenance}.
 * @param batchShare The largest fraction of each target's capacity that batch may use, from 0 to 1.
 * @param onlineReserve The fraction of each target's capacity that batch leaves free, from 0 to 1.
 * @param rateFactor The factor by which the rates of all teams are multiplied, above 0.
 * @param loadsPerMinute The number of loads from the weight store per minute that all instances together may start,
 *     above 0.
 * @param engines The wanted state of model engines by target. A target that is not named gets no orders.
 */
public record Preset(
        String name,
        double batchShare,
        double onlineReserve,
        double rateFactor,
        double loadsPerMinute,
        Map<TargetId, EngineState> engines) {

    /** The number of loads from the weight store per minute if a preset sets none. */
    public static final double DEFAULT_LOADS_PER_MINUTE = 2;

    /** The preset that is in force until an operator activates another. */
    public static final Preset ORDINARY = Preset.of("ordinary", 1.0, 0.125, 1.0);

    /**
     * Returns a preset that sets no wanted state of model engines.
     *
     * @param batchShare The largest fraction of each target's capacity that batch may use, from 0 to 1.
     * @param onlineReserve The fraction of each target's capacity that batch leaves free, from 0 to 1.
     * @param rateFactor The factor by which the rates of all teams are multiplied, above 0.
     */
    public static Preset of(String name, double batchShare, double onlineReserve, double rateFactor) {
        return new Preset(name, batchShare, onlineReserve, rateFactor, DEFAULT_LOADS_PER_MINUTE, HashMap.empty());
    }

    /**
     * Returns this preset with other wanted states of model engines.
     *
     * @param loads The number of loads from the weight store per minute that all instances together may start, above 0.
     * @param value The wanted state of model engines by target.
     */
    public Preset withEngines(double loads, Map<TargetId, EngineState> value) {
        return new Preset(name, batchShare, onlineReserve, rateFactor, loads, value);
    }
}
