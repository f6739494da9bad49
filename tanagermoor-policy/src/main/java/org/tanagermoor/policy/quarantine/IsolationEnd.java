package org.tanagermoor.policy.quarantine;

/** How the run of a suspect at a reserved target ended. */
public enum IsolationEnd {

    /** The target answered to the end, which shows that it bears the marks. */
    ANSWERED,

    /** The target crashed. */
    CRASHED,

    /** The run ended otherwise, or it is unknown how; the target may have failed. */
    FAILED,

    /** The target could not be reached, or did not run the request. */
    NOT_RUN,

    /** The request was withdrawn; nothing is learnt. */
    WITHDRAWN
}
