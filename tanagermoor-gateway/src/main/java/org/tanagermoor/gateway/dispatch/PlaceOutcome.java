package org.tanagermoor.gateway.dispatch;

import java.util.Optional;
import org.tanagermoor.policy.prompt.Prompt;
import org.tanagermoor.policy.quarantine.IsolationEnd;

/** How the use of a place ended. */
public enum PlaceOutcome {

    /** No request was sent to the target. */
    UNUSED,

    /** The answer was received to its end. */
    SERVED,

    /** The target could not be reached. */
    UNREACHABLE,

    /** The target reported that it did not run the request. */
    FULL,

    /** The exchange broke off after the request was sent. */
    FAILED,

    /** The connection ended when the target had just begun to answer, as if the target had crashed. */
    CRASHED,

    /** The connection ended later in an answer that cannot be resumed. */
    BROKEN_OFF,

    /** This side ended the exchange before its answer was complete, for no fault of the target. */
    ABANDONED;

    /**
     * The maximum number of events after which a run may be the cause of its target's crash: an engine that cannot bear
     * a prompt crashes when it reads it or makes the first event.
     */
    private static final int MAX_CRASH_EVENTS = 1;

    /**
     * Returns the outcome of a run whose connection ended before its answer was complete. A target that crashes on a
     * prompt has begun to answer; a connection that is reset before says nothing about the prompt.
     *
     * @param accepted Whether the head of a success that the target has signed was received in this run.
     * @param events The number of events that the target sent in this run.
     * @param resumable Whether another run can go on after these events, and thus has made progress.
     */
    public static PlaceOutcome ofEarlyEnd(boolean accepted, long events, boolean resumable) {
        if (!accepted) {
            return FAILED;
        }
        if (events <= MAX_CRASH_EVENTS) {
            return CRASHED;
        }
        return resumable ? FAILED : BROKEN_OFF;
    }

    /**
     * Returns what may have caused this outcome: the whole prompt of a run whose target had just begun to answer, or
     * only the content of its request if the target had answered for some time.
     *
     * @param prompt The prompt of the run.
     * @return The prompt with the marks that may be the cause; empty if there are none.
     */
    Optional<Prompt> suspected(Prompt prompt) {
        return switch (this) {
            case CRASHED -> Optional.of(prompt);
            case BROKEN_OFF -> Optional.of(prompt.contentOnly());
            case UNUSED, SERVED, UNREACHABLE, FULL, FAILED, ABANDONED -> Optional.empty();
        };
    }

    /**
     * Returns whether the target may have run the request.
     *
     * @param answer How the target answered.
     */
    boolean mayHaveRun(RunAnswer answer) {
        return switch (this) {
            case UNREACHABLE, FULL -> false;
            case UNUSED -> answer.sent();
            case SERVED, FAILED, CRASHED, BROKEN_OFF, ABANDONED -> true;
        };
    }

    /**
     * Returns what the end of a run at a reserved target says about its prompt.
     *
     * @param answer How the target answered.
     */
    IsolationEnd isolationEnd(RunAnswer answer) {
        return switch (this) {
            case SERVED -> IsolationEnd.ANSWERED;
            case CRASHED, BROKEN_OFF -> IsolationEnd.CRASHED;
            case UNREACHABLE, FULL -> IsolationEnd.NOT_RUN;
            case UNUSED, ABANDONED -> answer.sent() ? IsolationEnd.FAILED : IsolationEnd.WITHDRAWN;
            case FAILED -> IsolationEnd.FAILED;
        };
    }

    /** Returns whether the target treated the request as it should. */
    boolean success() {
        return this == SERVED || this == ABANDONED;
    }

    /** Returns whether the target failed the request after it may have started to run it. */
    public boolean failure() {
        return this == FAILED || this == CRASHED || this == BROKEN_OFF;
    }
}
