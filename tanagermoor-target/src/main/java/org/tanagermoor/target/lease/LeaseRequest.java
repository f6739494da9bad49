package org.tanagermoor.target.lease;

import java.util.Set;
import org.tanagermoor.policy.fleet.ServiceName;
import org.tanagermoor.policy.fleet.TargetId;
import org.tanagermoor.policy.fleet.TeamId;
import org.tanagermoor.policy.target.PermitDemand;

/**
 * A request for a permit of one of the targets of a service.
 *
 * @param service The service.
 * @param team The team; the queue shares permits fairly between teams.
 * @param weight The weight of the team in the queue.
 * @param priority The priority.
 * @param affinity A text, for example the beginning of the prompt; requests with the same text prefer the same target.
 *     Empty for none.
 * @param excluded The targets that must not be used, because an earlier attempt failed there.
 * @param deadline The latest monotonic time in nanoseconds at which a permit is of use.
 */
public record LeaseRequest(
        ServiceName service,
        TeamId team,
        double weight,
        Priority priority,
        String affinity,
        Set<TargetId> excluded,
        long deadline)
        implements PermitDemand {

    /** {@inheritDoc} */
    @Override
    public boolean batch() {
        return priority == Priority.BATCH;
    }

    /**
     * Returns a copy of this request with other excluded targets.
     *
     * @param newExcluded The targets that must not be used.
     */
    public LeaseRequest withExcluded(Set<TargetId> newExcluded) {
        return new LeaseRequest(service, team, weight, priority, affinity, Set.copyOf(newExcluded), deadline);
    }
}
