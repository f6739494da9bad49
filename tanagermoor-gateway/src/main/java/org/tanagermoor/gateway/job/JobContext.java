package org.tanagermoor.gateway.job;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.Map;
import org.tanagermoor.gateway.FleetState;
import org.tanagermoor.gateway.GatewayMetrics;
import org.tanagermoor.gateway.dispatch.DispatchClient;
import org.tanagermoor.gateway.forward.TargetConnections;
import org.tanagermoor.kernel.event.EventLog;
import org.tanagermoor.kernel.time.TimeSource;

/**
 * What jobs need.
 *
 * @param loop The event loop.
 * @param fleet The configuration and the targets.
 * @param dispatch Asks for places.
 * @param connections The connections to targets.
 * @param store Jobs and results in the store.
 * @param events The log.
 * @param metrics The metrics.
 * @param time The source of the present time.
 * @param domain The failure domain of this instance.
 * @param runs The items that ask for a place or have one, by permit.
 * @param pace How long items run.
 * @param retention The time after its acceptance for which a job that has ended can be read.
 */
public record JobContext(
        EventLoop loop,
        FleetState fleet,
        DispatchClient dispatch,
        TargetConnections connections,
        JobStore store,
        EventLog events,
        GatewayMetrics metrics,
        TimeSource time,
        String domain,
        Map<Long, ItemRun> runs,
        ItemPace pace,
        Duration retention) {}
