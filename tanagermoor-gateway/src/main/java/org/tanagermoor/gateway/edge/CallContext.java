package org.tanagermoor.gateway.edge;

import io.netty.channel.EventLoop;
import org.tanagermoor.gateway.FleetState;
import org.tanagermoor.gateway.GatewayMetrics;
import org.tanagermoor.gateway.dispatch.DispatchClient;
import org.tanagermoor.gateway.forward.TargetConnections;
import org.tanagermoor.gateway.quarantine.PartQuarantine;
import org.tanagermoor.kernel.event.EventLog;
import org.tanagermoor.kernel.time.TimeSource;

/**
 * The components and settings that all calls of an instance share.
 *
 * @param loop The event loop that runs all calls.
 * @param fleet The configuration and the targets.
 * @param dispatch Asks for places.
 * @param connections The connections to targets.
 * @param protocol Encodes the answers to callers.
 * @param events The event log.
 * @param metrics The metrics of the gateway.
 * @param time The source of the current time.
 * @param deadlines The deadlines that callers of each route have sent.
 * @param quarantine The parts of prompts that are held back.
 * @param domain The failure domain of this instance.
 */
public record CallContext(
        EventLoop loop,
        FleetState fleet,
        DispatchClient dispatch,
        TargetConnections connections,
        CallerProtocol protocol,
        EventLog events,
        GatewayMetrics metrics,
        TimeSource time,
        CallerDeadlines deadlines,
        PartQuarantine quarantine,
        String domain) {}
