package org.tanagermoor.batch.steward;

import org.tanagermoor.batch.proto.BatchAnswer;
import org.tanagermoor.kernel.failure.Failure;

/** Answers of the steward. */
final class StewardAnswers {

    /** There are no instances. */
    private StewardAnswers() {}

    /**
     * Returns the answer to a report or a cancel.
     *
     * @param done Whether the report is recorded or the job has stopped.
     * @return The answer.
     */
    static BatchAnswer done(boolean done) {
        return BatchAnswer.newBuilder().setDone(done).build();
    }

    /**
     * Returns the failure of an instance that may not act as the steward.
     *
     * @return The failure.
     */
    static Failure notSteward() {
        return Failure.notRun(
                Failure.Kind.NO_STANDING, "batch.steward", Failure.LOCAL, "this instance is not the steward now");
    }

    /**
     * Returns the failure of a job that is not loaded.
     *
     * @return The failure.
     */
    static Failure notLoaded() {
        return Failure.notRun(Failure.Kind.UNAVAILABLE, "batch.steward", Failure.LOCAL, "the job is not loaded yet");
    }

    /**
     * Returns the failure of a takeover that met another write.
     *
     * @return The failure.
     */
    static Failure changed() {
        return Failure.notRun(Failure.Kind.CONFLICT, "batch.steward", Failure.LOCAL, "the job was changed meanwhile");
    }

    /**
     * Returns the failure of a duty that has too much to do.
     *
     * @return The failure.
     */
    static Failure overloaded() {
        return Failure.notRun(Failure.Kind.OVERLOADED, "batch.steward", Failure.LOCAL, "too many requests wait");
    }
}
