package org.tanagermoor.target.order;

import org.tanagermoor.policy.configuration.Configuration;
import org.tanagermoor.policy.fleet.TargetId;
import org.tanagermoor.policy.order.EngineReport;
import org.tanagermoor.policy.order.Fence;
import org.tanagermoor.policy.order.Outcome;

/** A message in the queue of {@link OrderDuty}. */
sealed interface OrderMessage {

    /** This instance adopted a configuration. */
    record Adopt(Configuration configuration) implements OrderMessage {}

    /**
     * An engine reported its state.
     *
     * @param number The number of the read that requested the report.
     */
    record Reported(TargetId target, long number, EngineReport report) implements OrderMessage {}

    /**
     * An order was answered, or could not be sent.
     *
     * @param outcome How the order ended.
     */
    record Ended(TargetId target, Fence fence, Outcome outcome) implements OrderMessage {}

    /**
     * The budget of loads from the weight store answered.
     *
     * @param taken Whether it allowed the load.
     */
    record LoadTaken(TargetId target, boolean taken) implements OrderMessage {}
}
