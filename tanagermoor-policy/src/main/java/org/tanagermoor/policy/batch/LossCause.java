package org.tanagermoor.policy.batch;

/** What was lost while it ran a chunk. */
public enum LossCause {

    /** The target reset its connections, went silent or could not be reached. */
    TARGET(3, "the target was lost three times while it ran only this item of the job"),

    /** The lease of the worker lapsed without a report. */
    WORKER(10, "the worker was lost ten times while it ran only this item of the job");

    /** The losses under an item that is alone after which it is given up. */
    private final int limit;

    /** The reason that is recorded for an item that is given up. */
    private final String reason;

    /**
     * Creates a cause.
     *
     * @param limit The losses under an item that is alone after which it is given up.
     * @param reason The reason that is recorded.
     */
    LossCause(int limit, String reason) {
        this.limit = limit;
        this.reason = reason;
    }

    /**
     * Returns the losses under an item that is alone after which it is given up.
     *
     * @return The limit, at least 1.
     */
    public int limit() {
        return limit;
    }

    /** Returns the reason that is recorded for an item that is given up. */
    public String reason() {
        return reason;
    }
}
