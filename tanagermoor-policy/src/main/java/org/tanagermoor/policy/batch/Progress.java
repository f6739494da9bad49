package org.tanagermoor.policy.batch;

/**
 * An entry of the durable progress log of a job. A new steward replays the entries in order to restore the state of the
 * job.
 */
public sealed interface Progress {

    /** Returns the items to which the entry applies, at least one. */
    ItemSet items();

    /** Returns how many items get each outcome from this entry. */
    Outcomes outcomes();

    /**
     * The items have outcomes in a result object.
     *
     * @param items The items with an outcome.
     * @param object The name of the result object.
     * @param outcomes The number of items by outcome.
     */
    record Completed(ItemSet items, String object, Outcomes outcomes) implements Progress {}

    /**
     * The items are abandoned: they count as failed and are not run again.
     *
     * @param items The abandoned items.
     * @param reason Why the items are abandoned.
     */
    record Abandoned(ItemSet items, String reason) implements Progress {

        /** {@inheritDoc} */
        @Override
        public Outcomes outcomes() {
            return Outcomes.of(0, items.size(), 0);
        }
    }

    /**
     * A target or worker was lost while it ran the items, which are to be run again.
     *
     * @param items The items that were running.
     * @param cause Whether a target or a worker was lost.
     */
    record Lost(ItemSet items, LossCause cause) implements Progress {

        /** {@inheritDoc} */
        @Override
        public Outcomes outcomes() {
            return Outcomes.NONE;
        }
    }
}
