package org.tanagermoor.gateway.fleet;

import org.tanagermoor.policy.rollout.RolloutOrder;

/**
 * An order for a roll-out as it stands in the control store.
 *
 * @param order The order.
 * @param revision The revision of its row, which tells orders with the same content apart.
 */
public record RolloutEntry(RolloutOrder order, long revision) {}
