package org.tanagermoor.policy.order;

/** The outcome of sending an order. */
public enum Outcome {

    /** The engine accepted the order. */
    TAKEN,

    /** The engine refused the fencing number. */
    REFUSED,

    /** The engine certainly did not receive the order. */
    NOT_SENT,

    /** The order may have taken effect, or may still do so. */
    UNKNOWN
}
