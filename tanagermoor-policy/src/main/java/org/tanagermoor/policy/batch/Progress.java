package org.tanagermoor.policy.batch;

/** An entry of the durable progress of a job. The entries in order give the state of the job to a new steward. */
public sealed interface Progress {

    /**
     * Returns the items that the entry is about.
     *
     * @return The items, at least one.
     */
    ItemSet items();

    /** Returns the numbers of items that the entry gives an outcome. */
    Outcomes outcomes();

    /**
     * The items have outcomes in a result object.
     *
     * @param items The items.
     * @param object The name of the result object.
     * @param outcomes The numbers of items by outcome.
     */
    record Completed(ItemSet items, String object, Outcomes outcomes) implements Progress {}

    /**
     * The items are given up.
     *
     * @param items The items.
     * @param reason Why.
     */
    record Abandoned(ItemSet items, String reason) implements Progress {

        /** {@inheritDoc} */
        @Override
        public Outcomes outcomes() {
            return Outcomes.of(0, items.size(), 0);
        }
    }

    /**
     * A target or worker was lost under the items, which are to be run again.
     *
     * @param items The items.
     * @param cause What was lost.
     */
    record Lost(ItemSet items, LossCause cause) implements Progress {

        /** {@inheritDoc} */
        @Override
        public Outcomes outcomes() {
            return Outcomes.NONE;
        }
    }
}
