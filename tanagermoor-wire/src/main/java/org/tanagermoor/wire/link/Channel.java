package org.tanagermoor.wire.link;

/** The channels of the link. Each one has its own messages and its own handler. */
public enum Channel {

    /** Freshness, heartbeats and the pull of changes between members. */
    MEMBERSHIP(1),

    /** Shares of rate budgets, which stewards lend. */
    BUDGET(2),

    /** Permits of targets and cold signs, which report that a target is cold. */
    TARGET(3),

    /** Chunks of batch jobs. */
    BATCH(4),

    /** Events for the time line. */
    TIMELINE(5),

    /** Requests for places at targets, and permits that are returned. */
    DISPATCH(6),

    /** Recalls: requests for the return of permits. */
    RECALL(7),

    /** Heartbeats and the progress of tables that are followed. */
    SIGNS(8),

    /** Copies of tables that are followed. */
    TABLES(9),

    /** Requests that tests of the link send. */
    ECHO(15);

    /** The exclusive upper bound of the numbers of channels, which start at 0. */
    static final int MAX_CHANNELS = 16;

    private final int number;

    Channel(int number) {
        this.number = number;
    }

    /** Returns the number that identifies the channel on the wire. */
    public int number() {
        return number;
    }
}
