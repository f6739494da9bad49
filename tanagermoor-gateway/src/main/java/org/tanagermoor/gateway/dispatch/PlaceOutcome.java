package org.tanagermoor.gateway.dispatch;

/** How the use of a place ended. */
public enum PlaceOutcome {

    /** No request was sent to the target. */
    UNUSED,

    /** The target answered. */
    SERVED,

    /** The target could not be reached. */
    UNREACHABLE,

    /** The target reported that it did not run the request. */
    FULL,

    /** The exchange broke off after the request was sent. */
    FAILED
}
