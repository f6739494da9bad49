package org.tanagermoor.membership;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.OptionalLong;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.tanagermoor.policy.configuration.Change;
import org.tanagermoor.policy.fleet.FailureDomain;
import org.tanagermoor.policy.standing.Standing;

/**
 * Measures a fleet on loopback: the control traffic and processor time of an instance, and the time from a change until
 * it is in force. Not a test: run it manually with the number of members and the number of seconds.
 */
final class MembershipMeasurement {

    private static final int CHANGES = 100;

    private static final long PAUSE_MILLIS = 150;

    private MembershipMeasurement() {}

    public static void main(String[] arguments) throws InterruptedException {
        int size = Integer.parseInt(arguments[0]);
        int seconds = Integer.parseInt(arguments[1]);
        try (FleetFixture fleet = FleetFixture.of(size)) {
            Thread.sleep(Duration.ofSeconds(2));
            changes(fleet);
            quiet(fleet, seconds);
            outage(fleet, seconds);
        }
        System.exit(0);
    }

    private static void quiet(FleetFixture fleet, int seconds) throws InterruptedException {
        Sample before = Sample.of(fleet);
        Thread.sleep(Duration.ofSeconds(seconds));
        Sample.of(fleet).minus(before).print("quiet", fleet.nodes.size());
    }

    private static void outage(FleetFixture fleet, int seconds) throws InterruptedException {
        fleet.nodes.forEach(node -> node.store.down = true);
        Thread.sleep(Duration.ofSeconds(3));
        Sample before = Sample.of(fleet);
        int standing = 0;
        for (int index = 0; index < seconds * 10; index++) {
            Thread.sleep(Duration.ofMillis(100));
            for (FleetFixture.Node node : fleet.nodes) {
                standing += node.standing() == Standing.OUTAGE ? 1 : 0;
            }
        }
        Sample.of(fleet).minus(before).print("outage", fleet.nodes.size());
        System.out.printf(
                Locale.ROOT, "outage standing share %.4f%n", standing / (double) (seconds * 10 * fleet.nodes.size()));
    }

    private static void changes(FleetFixture fleet) throws InterruptedException {
        List<Double> inForce = new ArrayList<>();
        List<Double> accepted = new ArrayList<>();
        Sample before = Sample.of(fleet);
        for (int index = 0; index < CHANGES; index++) {
            FleetFixture.Node node = fleet.nodes.get(index % fleet.nodes.size());
            long next = node.version() + 1;
            List<CountDownLatch> latches =
                    fleet.nodes.stream().map(each -> each.adopted(next)).toList();
            long startedAt = System.nanoTime();
            long version = node.changes()
                    .record(new Change.TakeOut(FailureDomain.of("d" + index)), "m" + index, OptionalLong.empty())
                    .block(FleetFixture.AWAIT_TIMEOUT)
                    .get();
            for (CountDownLatch latch : latches) {
                latch.await(30, TimeUnit.SECONDS);
            }
            inForce.add((System.nanoTime() - startedAt) / 1e6);
            node.changes().accepted(version, FleetFixture.AWAIT_TIMEOUT).block();
            accepted.add((System.nanoTime() - startedAt) / 1e6);
            Thread.sleep(Duration.ofMillis(PAUSE_MILLIS));
        }
        Sample used = Sample.of(fleet).minus(before);
        used.print("changes", fleet.nodes.size());
        System.out.printf(Locale.ROOT, "changes/s %.2f%n", CHANGES / (used.nanos() / 1e9));
        print("adopted by all, ms", inForce);
        print("accepted, ms", accepted);
    }

    private static void print(String what, List<Double> values) {
        List<Double> sorted = values.stream().sorted(Comparator.naturalOrder()).toList();
        System.out.printf(
                Locale.ROOT,
                "%s: 50th %.1f, 99th %.1f, worst %.1f, of %d%n",
                what,
                sorted.get(sorted.size() / 2),
                sorted.get((int) (sorted.size() * 0.99) - 1),
                sorted.getLast(),
                sorted.size());
    }

    /** The totals of traffic, calls, reads and processor time up to a point in time. */
    private record Sample(long nanos, List<Long> bytes, long calls, long reads, long cpuNanos) {

        static Sample of(FleetFixture fleet) {
            ThreadMXBean threads = ManagementFactory.getThreadMXBean();
            long cpu = Arrays.stream(threads.getAllThreadIds())
                    .filter(id -> used(threads, id))
                    .map(threads::getThreadCpuTime)
                    .filter(time -> time > 0)
                    .sum();
            return new Sample(
                    System.nanoTime(),
                    fleet.nodes.stream().map(node -> node.link.bytes()).toList(),
                    fleet.nodes.stream()
                            .mapToLong(node -> node.link.calls.get())
                            .sum(),
                    fleet.nodes.stream()
                            .mapToLong(node -> node.store.reads.get())
                            .sum(),
                    cpu);
        }

        private static boolean used(ThreadMXBean threads, long id) {
            var info = threads.getThreadInfo(id);
            return info != null
                    && (info.getThreadName().startsWith("membership")
                            || info.getThreadName().startsWith("peer-link"));
        }

        Sample minus(Sample other) {
            List<Long> used = new ArrayList<>();
            for (int index = 0; index < bytes.size(); index++) {
                used.add(bytes.get(index) - other.bytes.get(index));
            }
            return new Sample(
                    nanos - other.nanos, used, calls - other.calls, reads - other.reads, cpuNanos - other.cpuNanos);
        }

        void print(String what, int size) {
            double seconds = nanos / 1e9;
            System.out.printf(
                    Locale.ROOT,
                    "%s: members %d, link bytes/s each %.0f (largest %.0f), questions/s each %.2f, "
                            + "store reads/s in total %.1f, processor of a core each %.4f%%%n",
                    what,
                    size,
                    bytes.stream().mapToLong(Long::longValue).sum() / seconds / size,
                    Collections.max(bytes) / seconds,
                    calls / seconds / size,
                    reads / seconds,
                    100.0 * cpuNanos / nanos / size);
        }
    }
}
