package org.tanagermoor.gateway.job;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.Map;
import java.util.function.LongSupplier;
import java.util.function.ToIntFunction;
import org.tanagermoor.gateway.FleetState;
import org.tanagermoor.gateway.GatewayMetrics;
import org.tanagermoor.gateway.dispatch.DispatchClient;
import org.tanagermoor.gateway.duty.Duties;
import org.tanagermoor.gateway.follow.StoreClock;
import org.tanagermoor.gateway.forward.TargetConnections;
import org.tanagermoor.gateway.quarantine.PartQuarantine;
import org.tanagermoor.kernel.event.EventLog;
import org.tanagermoor.kernel.time.TimeSource;

/**
 * The dependencies that all jobs on an instance share.
 *
 * @param loop The event loop to which the state of jobs is confined.
 * @param fleet The current configuration and the known targets.
 * @param dispatch Asks the dispatcher for places at targets.
 * @param connections The connections to the targets.
 * @param store Stores jobs and their results.
 * @param events The event log.
 * @param metrics The metrics of the gateway.
 * @param time The source of the current time.
 * @param quarantine The parts of prompts that are held back.
 * @param domain The failure domain of this instance.
 * @param runs The items that wait for a place or have one, by permit.
 * @param pace Estimates how long items run.
 * @param answerBytes Tells how many bytes an output takes in an answer to a reader.
 * @param duties Runs the steps of jobs so that an error does not end their repetition.
 * @param retention The time after its acceptance during which an ended job can be read.
 * @param storeClock The clock of the store, by which the age of jobs is measured.
 * @param configurationReadAt Tells the monotonic time in nanoseconds up to which all changes of the configuration are
 *     known.
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
        PartQuarantine quarantine,
        String domain,
        Map<Long, ItemRun> runs,
        ItemPace pace,
        ToIntFunction<String> answerBytes,
        Duties duties,
        Duration retention,
        StoreClock storeClock,
        LongSupplier configurationReadAt) {

    /**
     * Maximum number of bytes of the outputs in one answer to a reader: answers hold 1 MB, with a margin for what
     * surrounds the outputs.
     */
    static final int MAX_ANSWER_BYTES = 980_000;
}
