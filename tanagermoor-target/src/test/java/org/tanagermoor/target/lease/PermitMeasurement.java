package org.tanagermoor.target.lease;

import com.codahale.metrics.MetricRegistry;
import io.vavr.Tuple;
import io.vavr.collection.HashMap;
import io.vavr.control.Either;
import java.io.PrintStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.IntStream;
import org.tanagermoor.kernel.event.EventLog;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.kernel.plugin.Context;
import org.tanagermoor.kernel.setting.Address;
import org.tanagermoor.kernel.setting.Settings;
import org.tanagermoor.kernel.time.TimeSource;
import org.tanagermoor.membership.Membership;
import org.tanagermoor.policy.configuration.Configuration;
import org.tanagermoor.policy.configuration.Target;
import org.tanagermoor.policy.fleet.FailureDomain;
import org.tanagermoor.policy.fleet.InstanceId;
import org.tanagermoor.policy.fleet.Member;
import org.tanagermoor.policy.fleet.ServiceName;
import org.tanagermoor.policy.fleet.TargetId;
import org.tanagermoor.policy.fleet.TeamId;
import org.tanagermoor.policy.fleet.View;
import org.tanagermoor.wire.link.Channel;
import org.tanagermoor.wire.link.PeerHandler;
import org.tanagermoor.wire.link.PeerLink;
import org.tanagermoor.wire.link.TcpPeerLink;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Schedulers;

/**
 * Measures the messages, bytes and latency that permits of targets cost over real links within one process. This is not
 * a test; run it by hand with the seed as its argument. Requests arrive at random instances and run for half a second.
 */
public final class PermitMeasurement {

    private static final PrintStream OUT = System.out;

    private static final long WARM_UP_NANOS = TimeUnit.SECONDS.toNanos(4);

    private static final long RUN_NANOS = TimeUnit.SECONDS.toNanos(6);

    private static final long REQUEST_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(1);

    private static final long REQUEST_MILLIS = 500;

    private static final double REQUESTS_PER_SECOND = 60;

    private static final int DOMAINS = 3;

    private static final int CAPACITY = 38;

    private static final ServiceName SERVICE = ServiceName.of("echo");

    private static final TimeSource TIME = TimeSource.ForSystem.INSTANCE;

    private PermitMeasurement() {}

    public static void main(String[] arguments) {
        long seed = arguments.length > 0 ? Long.parseLong(arguments[0]) : 1;
        OUT.println("seed " + seed);
        OUT.println("instances targets messages_per_second_per_instance bytes_per_second_per_instance served refused"
                + " latency_p50_us latency_p99_us");
        int[][] cases = {{6, 12}, {6, 48}, {12, 48}, {12, 400}};
        for (int[] size : cases) {
            measure(size[0], size[1], seed);
        }
    }

    private static void measure(int size, int targets, long seed) {
        List<Instance> instances = new ArrayList<>();
        IntStream.range(0, size).forEach(index -> instances.add(new Instance(index)));
        Configuration configuration = configuration(instances, targets);
        instances.forEach(instance -> instance.membership.adopt(configuration));
        Load load = new Load(instances, new SplittableRandom(seed));
        load.run();
        load.report(targets);
        instances.forEach(Instance::close);
    }

    private static Configuration configuration(List<Instance> instances, int targets) {
        Configuration empty = Configuration.EMPTY;
        View view = View.of(
                1,
                instances.stream().map(instance -> instance.membership.self()).toList());
        return new Configuration(
                1,
                "change",
                empty.presetInForce(),
                empty.presets(),
                empty.teams(),
                empty.keys(),
                empty.services(),
                HashMap.ofEntries(IntStream.range(0, targets)
                        .mapToObj(PermitMeasurement::target)
                        .map(target -> Tuple.of(target.id(), target))
                        .toList()),
                empty.domainsOut(),
                view);
    }

    private static Target target(int index) {
        Address address = Address.of("127.0.0.1", 1);
        return new Target(
                TargetId.of("target-" + index), SERVICE, domain(index), address, CAPACITY, CAPACITY, 1, false);
    }

    private static FailureDomain domain(int index) {
        return FailureDomain.of("d" + index % DOMAINS);
    }

    /** Poisson arrivals with a fixed rate. */
    private static final class Load {

        private final List<Instance> instances;

        private final SplittableRandom random;

        private final AtomicLong served = new AtomicLong();

        private final AtomicLong refused = new AtomicLong();

        private final List<Long> latencies = new ArrayList<>();

        private long messages;

        private long bytes;

        private Load(List<Instance> instances, SplittableRandom random) {
            this.instances = instances;
            this.random = random;
        }

        private void run() {
            long next = TIME.nanos();
            long counted = next + WARM_UP_NANOS;
            long end = counted + RUN_NANOS;
            boolean counting = false;
            while (next < end) {
                while (TIME.nanos() < next) {
                    LockSupport.parkNanos(next - TIME.nanos());
                }
                if (!counting && next >= counted) {
                    counting = true;
                    messages = -messages();
                    bytes = -bytes();
                }
                send(counting);
                next += (long) (-Math.log(1 - random.nextDouble()) / (REQUESTS_PER_SECOND * instances.size()) * 1e9);
            }
            messages += messages();
            bytes += bytes();
            LockSupport.parkNanos(REQUEST_TIMEOUT_NANOS);
        }

        private void send(boolean counting) {
            long now = TIME.nanos();
            LeaseRequest request = new LeaseRequest(
                    SERVICE, TeamId.of("team"), 1, Priority.ONLINE, "", Set.of(), now + REQUEST_TIMEOUT_NANOS);
            instances
                    .get(random.nextInt(instances.size()))
                    .targets
                    .lease(request)
                    .subscribe(outcome -> processOutcome(outcome, counting, now));
        }

        private void processOutcome(Either<Failure, TargetLease> outcome, boolean counting, long sentAt) {
            outcome.peek(lease -> Schedulers.parallel()
                    .schedule(() -> lease.release(TargetLease.Result.ANSWERED), REQUEST_MILLIS, TimeUnit.MILLISECONDS));
            if (!counting) {
                return;
            }
            (outcome.isRight() ? served : refused).incrementAndGet();
            synchronized (latencies) {
                latencies.add(TIME.nanos() - sentAt);
            }
        }

        private long messages() {
            return instances.stream()
                    .mapToLong(instance -> instance.counted.calls.get())
                    .sum();
        }

        private long bytes() {
            return instances.stream()
                    .mapToLong(instance -> instance.link.bytes())
                    .sum();
        }

        private void report(int targets) {
            double seconds = RUN_NANOS / 1e9 * instances.size();
            List<Long> sorted;
            synchronized (latencies) {
                sorted = latencies.stream().sorted().toList();
            }
            OUT.printf(
                    "%d %d %.1f %.0f %d %d %d %d%n",
                    instances.size(),
                    targets,
                    messages / seconds,
                    bytes / seconds,
                    served.get(),
                    refused.get(),
                    sorted.get(sorted.size() / 2) / 1_000,
                    sorted.get(sorted.size() * 99 / 100) / 1_000);
        }
    }

    /** A link that counts its outgoing calls. */
    private record CountingLink(PeerLink link, AtomicLong calls) implements PeerLink {

        @Override
        public void handle(Channel channel, PeerHandler handler) {
            link.handle(channel, handler);
        }

        @Override
        public Mono<Either<Failure, byte[]>> call(
                Address address, long incarnation, Channel channel, byte[] request, Duration timeout) {
            calls.incrementAndGet();
            return link.call(address, incarnation, channel, request, timeout);
        }

        @Override
        public Address address() {
            return link.address();
        }

        @Override
        public long bytes() {
            return link.bytes();
        }
    }

    private static final class Instance {

        private final TcpPeerLink link;

        private final CountingLink counted;

        private final FakeMembership membership;

        private final LeasedTargets targets;

        private Instance(int number) {
            EventLog events = new EventLog.Disabled();
            InstanceId id = InstanceId.of("i" + number, number + 1L);
            link = TcpPeerLink.of(id, Address.of("127.0.0.1", 0), events, TIME);
            counted = new CountingLink(link, new AtomicLong());
            membership = new FakeMembership(Member.of(id, domain(number), link.address(), link.address()));
            Settings settings = Settings.parse(List.of(), List.of(), Map.of()).get();
            Context context = Context.of(settings, events, new MetricRegistry(), TIME);
            context.register(Membership.class, membership);
            context.register(PeerLink.class, counted);
            targets = LeasedTargets.of(context, Optional.empty());
        }

        private void close() {
            targets.close();
            link.close();
        }
    }
}
