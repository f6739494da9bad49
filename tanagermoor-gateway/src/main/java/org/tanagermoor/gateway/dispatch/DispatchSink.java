package org.tanagermoor.gateway.dispatch;

import org.tanagermoor.policy.quarantine.IsolatedRuns;
import org.tanagermoor.policy.quarantine.IsolationStep;
import org.tanagermoor.policy.quarantine.QuarantineEntry;

/** Receives what the dispatcher decides outside of a call of {@link Dispatcher#ask}. */
public interface DispatchSink {

    /** Called with the decision on a queued ask. */
    void decided(Ask ask, PlacementDecision decision);

    /** Called to ask the holder of a permit of an item of a job to return it. */
    void recall(String holder, long permit);

    /** Called with the new record of a part that is held back, tried or released. */
    void quarantineChanged(QuarantineEntry entry);

    /** Called when a trial of a part that is held back begins or ends, for the log. */
    default void trial(Trial trial) {}

    /**
     * Called when a target of a service is reserved for requests with a part that is held back, and when the
     * reservation ends.
     */
    void isolationChanged(String service, IsolationStep step);

    /** Called with what the run of a request at a reserved target has shown. */
    void isolatedRunEnded(String service, String run, IsolatedRuns.Verdict verdict);
}
