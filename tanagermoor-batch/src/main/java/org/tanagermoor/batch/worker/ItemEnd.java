package org.tanagermoor.batch.worker;

import java.util.Optional;
import org.tanagermoor.batch.proto.ItemResult;
import org.tanagermoor.policy.fleet.TargetId;

/** How one run of an item ended. */
sealed interface ItemEnd {

    /**
     * The item has its final outcome.
     *
     * @param result The outcome, without the index and identity of the item.
     */
    record Settled(ItemResult result) implements ItemEnd {}

    /**
     * The target was lost while the item ran.
     *
     * @param reason The cause, in words.
     */
    record Lost(String reason) implements ItemEnd {}

    /**
     * The target answered with an error that may be temporary.
     *
     * @param target The target that answered.
     * @param reason The cause, in words.
     */
    record Rejected(TargetId target, String reason) implements ItemEnd {}

    /**
     * The item did not run, or its run was cancelled, for example because the permit was recalled.
     *
     * @param avoid The target that the next run should avoid, if any.
     * @param partial The partial answer from which the next run resumes, if any.
     */
    record Returned(Optional<TargetId> avoid, Optional<PartialAnswer> partial) implements ItemEnd {}
}
