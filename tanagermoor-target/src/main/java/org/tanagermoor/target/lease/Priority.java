package org.tanagermoor.target.lease;

/** The priority of a request for a permit. */
public enum Priority {

    /** An online request, which takes precedence over batch. */
    ONLINE,

    /** An item of a batch job, which uses only the capacity that online requests leave. */
    BATCH
}
