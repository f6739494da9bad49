package org.tanagermoor.policy.order;

import java.util.Optional;
import java.util.OptionalLong;
import org.tanagermoor.policy.configuration.EngineState;

/**
 * The conditions under which a steward decides on the next order to a target.
 *
 * @param wanted The state of the engine that the preset in force asks for, or empty if it does not mention the target.
 * @param checksFencing Whether the target refuses outdated fencing numbers.
 * @param view The version of the adopted view.
 * @param soleStewardSince The monotonic time in nanoseconds since which no other instance has had standing as the
 *     steward, or empty while another one may have it.
 */
public record OrderContext(
        Optional<EngineState> wanted, boolean checksFencing, long view, OptionalLong soleStewardSince) {}
