package org.tanagermoor.batch.steward;

import org.tanagermoor.batch.proto.BatchAnswer;
import org.tanagermoor.kernel.failure.Failure;

/** The answers and failures that the steward returns. */
final class StewardAnswers {

    private StewardAnswers() {}

    /**
     * Returns the answer to a report or a cancellation.
     *
     * @param done Whether the report is recorded or the job has stopped.
     */
    static BatchAnswer done(boolean done) {
        return BatchAnswer.newBuilder().setDone(done).build();
    }

    /** Returns the failure of an instance that may not act as the steward of the job. */
    static Failure notSteward() {
        return Failure.notRun(
                Failure.Kind.NO_STANDING,
                "batch.steward",
                Failure.LOCAL,
                "this instance may not act as the steward of the job");
    }

    /** Returns the failure of a request for a job that is not taken over yet. */
    static Failure notLoaded() {
        return Failure.notRun(Failure.Kind.UNAVAILABLE, "batch.steward", Failure.LOCAL, "the job is not loaded yet");
    }

    /** Returns the failure of a takeover during which the row of the job was changed. */
    static Failure changed() {
        return Failure.notRun(
                Failure.Kind.CONFLICT, "batch.steward", Failure.LOCAL, "the job was changed during the takeover");
    }

    /** Returns the failure of a request that the ring of the duty had no room for. */
    static Failure overloaded() {
        return Failure.notRun(Failure.Kind.OVERLOADED, "batch.steward", Failure.LOCAL, "too many requests are waiting");
    }
}
