package org.tanagermoor.daemon.status;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadInfo;
import java.lang.management.ThreadMXBean;
import java.util.Map;
import java.util.TreeMap;
import org.tanagermoor.wire.link.PeerLink;

/** Gauges of the resources that the process uses: processor time, heap and bytes on the peer link. */
final class ProcessGauges {

    private ProcessGauges() {}

    /**
     * Registers the gauges.
     *
     * @param metrics The registry that receives the gauges.
     * @param link The link to other instances, whose bytes are counted.
     */
    static void register(MetricRegistry metrics, PeerLink link) {
        metrics.registerGauge("process.cpu.nanos", (Gauge<Long>) ProcessGauges::processorNanos);
        metrics.registerGauge("process.heap.bytes", (Gauge<Long>)
                () -> ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed());
        metrics.registerGauge("process.threads.cpu.nanos", (Gauge<Map<String, Long>>) ProcessGauges::threadNanos);
        metrics.registerGauge("link.bytes", (Gauge<Long>) link::bytes);
    }

    /**
     * Returns the processor time of this process.
     *
     * @return The processor time in nanoseconds, or a negative number if the platform does not provide it.
     */
    private static long processorNanos() {
        return ManagementFactory.getOperatingSystemMXBean() instanceof com.sun.management.OperatingSystemMXBean system
                ? system.getProcessCpuTime()
                : -1;
    }

    /**
     * Returns the processor time of the live threads, summed over threads of the same name.
     *
     * @return The processor time in nanoseconds by thread name.
     */
    private static Map<String, Long> threadNanos() {
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        Map<String, Long> result = new TreeMap<>();
        for (long id : threads.getAllThreadIds()) {
            ThreadInfo thread = threads.getThreadInfo(id);
            if (thread != null) {
                result.merge(thread.getThreadName(), threads.getThreadCpuTime(id), Long::sum);
            }
        }
        return result;
    }
}
