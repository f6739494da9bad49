package org.tanagermoor.policy.order;

import org.tanagermoor.policy.configuration.EngineState;

/**
 * The state that a model engine reports.
 *
 * @param state The loaded model and adapters, and the role of the engine.
 * @param ready Whether it can serve requests.
 * @param running The number of requests that it has accepted and not finished.
 * @param fence The largest fencing number that it has accepted, or 0 if it does not keep one.
 */
public record EngineReport(EngineState state, boolean ready, int running, long fence) {}
