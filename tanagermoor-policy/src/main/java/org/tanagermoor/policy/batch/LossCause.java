package org.tanagermoor.policy.batch;

/** What was lost while it ran a chunk. */
public enum LossCause {

    /** The target reset its connections, stopped answering or could not be reached. */
    TARGET(3, "the target was lost three times while it ran only this item of the job"),

    /** The lease of the worker lapsed without a report. */
    WORKER(10, "the worker was lost ten times while it ran only this item of the job");

    private final int limit;

    private final String reason;

    LossCause(int limit, String reason) {
        this.limit = limit;
        this.reason = reason;
    }

    /** Returns the number of losses after which an item that ran alone is abandoned, at least 1. */
    public int limit() {
        return limit;
    }

    /** Returns the reason that is recorded for an item that is abandoned after this cause. */
    public String reason() {
        return reason;
    }
}
