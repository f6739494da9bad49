package org.tanagermoor.gateway.job;

import org.tanagermoor.gateway.dispatch.PlaceOutcome;

/**
 * The pause of an item after runs whose targets crashed as they began to answer it. A single item is not held back,
 * since a part of prompts is accused by the crashes of different requests; the pause doubles, so that it does not crash
 * one target after the other. Not thread-safe.
 */
final class CrashPause {

    /** Pause after the first crash in milliseconds. */
    static final long FIRST_MILLIS = 200;

    /** Maximum number of doublings, to a pause of 12.8 s. */
    private static final int MAX_DOUBLINGS = 6;

    /** Number of crashes since a run last made progress. */
    private int crashes;

    /**
     * Returns the time until the item may run again, in milliseconds; 0 if the run gives no reason for a pause.
     *
     * @param outcome How the run ended.
     * @param events The number of events that the run received.
     */
    long afterRun(PlaceOutcome outcome, long events) {
        if (outcome == PlaceOutcome.CRASHED) {
            long millis = FIRST_MILLIS << Math.min(crashes, MAX_DOUBLINGS);
            crashes++;
            return millis;
        }
        if (events > 0) {
            crashes = 0;
        }
        return 0;
    }
}
