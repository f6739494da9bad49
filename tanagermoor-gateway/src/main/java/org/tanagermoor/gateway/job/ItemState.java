package org.tanagermoor.gateway.job;

/** The states of an item on this instance. */
enum ItemState {

    /** The item can ask for a place. */
    IDLE,

    /** The item waits for a place. */
    ASKING,

    /** The item runs at a target. */
    RUNNING,

    /** The item waits before it becomes idle again. */
    PAUSED,

    /** The item waits until the job is handed over. */
    SUSPENDED,

    /** The item has a result, or is no longer needed on this instance. */
    DONE
}
