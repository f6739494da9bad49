package org.tanagermoor.gateway.forward;

import org.tanagermoor.gateway.fleet.TargetEntry;

/** Observes what targets send beside the answers to the requests that they were sent. */
public interface TargetObserver {

    /** Called with a target if any of its answers states that it is leaving. */
    void leaving(TargetEntry target);

    /**
     * Called if a target has sent an answer that belongs to another request than the current one, or to none.
     *
     * @param target The target.
     * @param request The identity of the current request; empty if the connection was idle.
     * @param head The head of the answer, which is not passed on.
     */
    void answerSkipped(TargetEntry target, String request, TargetHead head);

    /** An observer that ignores everything. */
    enum Disabled implements TargetObserver {

        /** The only instance. */
        INSTANCE;

        /** {@inheritDoc} */
        @Override
        public void leaving(TargetEntry target) {
            // Ignored.
        }

        /** {@inheritDoc} */
        @Override
        public void answerSkipped(TargetEntry target, String request, TargetHead head) {
            // Ignored.
        }
    }
}
