package org.tanagermoor.policy.target;

import java.util.Set;
import org.tanagermoor.policy.fleet.ServiceName;
import org.tanagermoor.policy.fleet.TargetId;
import org.tanagermoor.policy.fleet.TeamId;

/** The requirements of a request that waits for a permit. */
public interface PermitDemand {

    /**
     * Returns the service that the request is for.
     *
     * @return The service.
     */
    ServiceName service();

    /**
     * Returns the team that sent the request.
     *
     * @return The team.
     */
    TeamId team();

    /**
     * Returns the weight of the team in the fair queue relative to other teams.
     *
     * @return The weight, above 0.
     */
    double weight();

    /**
     * Returns whether the request belongs to a batch job.
     *
     * @return Whether it belongs to a batch job.
     */
    boolean batch();

    /**
     * Returns the key that requests with the same cached prompt prefix share.
     *
     * @return The key, or empty text if there is none.
     */
    String affinity();

    /**
     * Returns the targets that the request must not use.
     *
     * @return The targets, or an empty set.
     */
    Set<TargetId> excluded();

    /**
     * Returns the latest time at which a permit is useful.
     *
     * @return The monotonic time in nanoseconds.
     */
    long deadline();
}
