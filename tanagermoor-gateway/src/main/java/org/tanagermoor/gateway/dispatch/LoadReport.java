package org.tanagermoor.gateway.dispatch;

import org.tanagermoor.gateway.forward.TargetLoad;

/**
 * A load that a target stated.
 *
 * @param load The load.
 * @param receivedAt The monotonic time in nanoseconds at which an instance received it.
 */
public record LoadReport(TargetLoad load, long receivedAt) {}
