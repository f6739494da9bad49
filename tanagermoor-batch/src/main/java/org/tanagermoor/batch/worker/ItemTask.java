package org.tanagermoor.batch.worker;

import java.util.Optional;
import java.util.Set;
import org.tanagermoor.batch.item.Item;
import org.tanagermoor.policy.configuration.Service;
import org.tanagermoor.policy.fleet.ServiceName;
import org.tanagermoor.policy.fleet.TargetId;
import org.tanagermoor.policy.fleet.TeamId;
import reactor.core.publisher.Mono;

/**
 * One run of an item.
 *
 * @param exchange The identity of the exchange with the target. It is unique, except that a run that resumes the stream
 *     uses it again.
 * @param item The item to run.
 * @param repeatable Whether the item may run more than once.
 * @param service The name of the service whose targets run the item.
 * @param kind Whether the targets of the service are model engines or plain HTTP servers.
 * @param team The team that owns the job.
 * @param weight The weight of the team.
 * @param avoided The targets on which this run should not be placed.
 * @param gate Decides right before the start whether the item may still start.
 * @param cancelled Completes when the run has to be cancelled.
 * @param partial The partial answer of an earlier run that was cancelled, if any.
 */
record ItemTask(
        String exchange,
        Item item,
        boolean repeatable,
        ServiceName service,
        Service.Kind kind,
        TeamId team,
        double weight,
        Set<TargetId> avoided,
        StartGate gate,
        Mono<Void> cancelled,
        Optional<PartialAnswer> partial) {}
