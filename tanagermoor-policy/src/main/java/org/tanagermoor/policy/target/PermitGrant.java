package org.tanagermoor.policy.target;

import org.tanagermoor.policy.fleet.TargetId;

/**
 * The permits of one target that a steward lends to an instance. A grant replaces the previous one.
 *
 * @param target The target.
 * @param total The number of requests that may run at once.
 * @param batch The part of the total that batch requests may use.
 * @param capacity The current capacity of the target, shared by all instances.
 * @param othersUse The number of requests that other instances run, as far as the steward knows.
 * @param mark The current start mark of the target, or empty text if the steward knows none.
 * @param warmMillis The time since the target started as far as the steward knows, in milliseconds.
 */
public record PermitGrant(
        TargetId target, int total, int batch, int capacity, int othersUse, String mark, long warmMillis) {}
