package org.tanagermoor.policy.order;

import java.util.Optional;
import java.util.OptionalLong;
import org.tanagermoor.policy.configuration.EngineState;

/**
 * What a steward knows when it decides on the next order to a target.
 *
 * @param wanted What the preset in force wants of the target, if it wants anything.
 * @param checksFencing Whether the target refuses old fencing numbers.
 * @param view The version of the adopted view.
 * @param since The monotonic time in nanoseconds since which no other instance has had standing as the steward, or
 *     nothing while another may.
 */
public record OrderContext(Optional<EngineState> wanted, boolean checksFencing, long view, OptionalLong since) {}
