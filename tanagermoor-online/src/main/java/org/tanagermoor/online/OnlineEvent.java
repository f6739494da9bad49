package org.tanagermoor.online;

import java.lang.System.Logger.Level;
import org.tanagermoor.kernel.event.EventType;

/** The events of online requests and of the planned stop. */
public enum OnlineEvent implements EventType {

    /** An attempt failed in a way that allows another one on a different target. */
    RETRIED(1701, Level.DEBUG, "a request is tried again on another target"),

    /** The caller got a failure, and the target may have executed the request. */
    FAILED(1702, Level.INFO, "a request failed after it may have been executed"),

    /** A running request was aborted, because its caller is not authorized any more. */
    KEY_WITHDRAWN(1703, Level.INFO, "a running request was ended as its key was withdrawn"),

    /** Updating the row of an idempotency key failed, so a resend may get a conflict. */
    OUTCOME_UNRECORDED(1704, Level.WARNING, "the outcome of a request with an idempotency key could not be recorded"),

    /** The membership was told that this instance leaves. */
    LEAVING(1705, Level.INFO, "a planned stop was announced"),

    /** The directories of callers no longer contain this instance; new requests are refused from now on. */
    LEFT_DIRECTORY(1706, Level.INFO, "no caller is sent here any more"),

    /** The planned stop ended with no request running. */
    DRAINED(1707, Level.INFO, "all requests are finished"),

    /** The planned stop ended while requests were still running. */
    DRAIN_TIMEOUT(1708, Level.WARNING, "requests were still running at the end of the time for a planned stop"),

    /** A request failed with an error that carries no failure. */
    DEFECT(1709, Level.ERROR, "a request met a defect");

    private final Entry entry;

    /**
     * Creates an event type.
     *
     * @param text What happened, as logged.
     */
    OnlineEvent(int number, Level level, String text) {
        entry = new Entry(number, level, text);
    }

    /** {@inheritDoc} */
    @Override
    public Entry entry() {
        return entry;
    }
}
