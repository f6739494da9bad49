package org.tanagermoor.gateway.forward;

import java.util.OptionalDouble;
import org.tanagermoor.gateway.fleet.TargetEntry;

/** Observes what targets send beside the answers to the requests that they were sent. */
public interface TargetObserver {

    /** Called with a target if any of its answers states that it is leaving. */
    void leaving(TargetEntry target);

    /**
     * Called with what an answer says about the request limit of its target, if it names one, or if the answer is
     * proved to be that of the target to the current request.
     *
     * @param target The target.
     * @param perSecond The requests per second that it takes from all instances together; empty if it names no limit.
     */
    void requestLimit(TargetEntry target, OptionalDouble perSecond);

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
        public void requestLimit(TargetEntry target, OptionalDouble perSecond) {
            // Ignored.
        }

        /** {@inheritDoc} */
        @Override
        public void answerSkipped(TargetEntry target, String request, TargetHead head) {
            // Ignored.
        }
    }
}
