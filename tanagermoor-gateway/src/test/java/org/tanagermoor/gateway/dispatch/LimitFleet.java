package org.tanagermoor.gateway.dispatch;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoop;
import io.netty.channel.embedded.EmbeddedChannel;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.tanagermoor.gateway.GatewayMetrics;
import org.tanagermoor.gateway.duty.Duties;
import org.tanagermoor.gateway.fleet.TargetEntry;
import org.tanagermoor.gateway.member.Instance;
import org.tanagermoor.gateway.member.Liveness;
import org.tanagermoor.kernel.event.EventLog;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.kernel.setting.Address;
import org.tanagermoor.kernel.time.TimeSource;
import org.tanagermoor.policy.fleet.InstanceId;
import org.tanagermoor.policy.quarantine.Quarantine;
import org.tanagermoor.store.table.TableService;
import org.tanagermoor.wire.link.Channel;
import org.tanagermoor.wire.link.PeerHandler;
import org.tanagermoor.wire.link.PeerLink;
import reactor.core.publisher.Mono;

/**
 * Instances that send requests to targets of one service, some of which name request limits in their answers, on one
 * event loop with a simulated clock. Messages between instances are late or lost.
 */
final class LimitFleet {

    private static final String SERVICE = "s";

    private static final int STEP_MILLIS = 5;

    /** The time after which the requests of an instance count that has got an answer with a limit, in milliseconds. */
    private static final long KNOWN_MILLIS = 500;

    /** The time that a request occupies its place, in milliseconds. */
    private static final long RUN_MILLIS = 150;

    private final EmbeddedChannel channel = new EmbeddedChannel();

    private final Random random;

    private final Map<Address, Node> nodes = new LinkedHashMap<>();

    private final Map<String, Target> targets = new LinkedHashMap<>();

    private final TableService tables = TableService.InMemory.of();

    /** The current time in nanoseconds. */
    private long now = TimeUnit.SECONDS.toNanos(100);

    /** The simulated clock. */
    private final TimeSource time = new TimeSource() {
        /** {@inheritDoc} */
        @Override
        public long nanos() {
            return now;
        }

        /** {@inheritDoc} */
        @Override
        public long wallMillis() {
            return TimeUnit.NANOSECONDS.toMillis(now);
        }
    };

    /** The share of the messages between instances that are lost, from 0 to 1. */
    private double lostShare;

    /** Whether items of jobs are asked for as well. */
    private boolean items;

    private long refusals;

    LimitFleet(long seed, int size, int targetCount) {
        random = new Random(seed);
        for (int index = 0; index < targetCount; index++) {
            targets.put("t" + index, new Target());
        }
        for (int index = 0; index < size; index++) {
            Node node = new Node("n" + index, index + 1);
            nodes.put(node.address(), node);
        }
        nodes.values().forEach(Node::learnTargets);
        advance(5_000, 0);
    }

    /** Sets the share of the messages between instances that are lost. */
    void lostShare(double value) {
        lostShare = value;
    }

    /** Sets whether each tenth request is an item of a job. */
    void items() {
        items = true;
    }

    /** Sets the limit that a target names from now on; empty for none. */
    void limit(int target, OptionalDouble perSecond) {
        Target changed = targets.get("t" + target);
        changed.limit = perSecond;
    }

    /** Sets which instances reach each other: those of the same group. */
    void group(int node, int group) {
        node(node).group = group;
    }

    /** Ends the dispatcher of all instances. */
    void killDispatcher() {
        Instance dispatcher = nodes.values().iterator().next().liveness.dispatcher(now);
        nodes.remove(dispatcher.peer());
    }

    /** Starts a target again, without a limit. */
    void restart(int target) {
        Target restarted = targets.get("t" + target);
        restarted.limit = OptionalDouble.empty();
        restarted.startedAtMillis++;
        nodes.values().forEach(Node::learnTargets);
    }

    /** Returns the number of different dispatchers of the instances. */
    long dispatchers() {
        return nodes.values().stream()
                .map(node -> node.liveness.dispatcher(now).id())
                .distinct()
                .count();
    }

    /** Returns the current time in milliseconds. */
    long millis() {
        return TimeUnit.NANOSECONDS.toMillis(now);
    }

    /** Returns the number of requests that were refused. */
    long refusals() {
        return refusals;
    }

    /** Returns the number of items of jobs that were sent to targets. */
    long sentItems() {
        return nodes.values().stream().mapToLong(node -> node.items).sum();
    }

    /** Returns the number of requests that a target got in a span of time. */
    long sent(int target, long fromMillis, long toMillis) {
        return count(targets.get("t" + target).arrivals, fromMillis, toMillis);
    }

    /**
     * Returns the largest number of requests that a target got in a window within a span of time, from instances that
     * had got an answer with its limit and have not ended.
     */
    long mostSent(int target, long windowMillis, long fromMillis, long toMillis) {
        List<Long> counted = targets.get("t" + target).counted.entrySet().stream()
                .filter(entry -> nodes.containsKey(entry.getKey()))
                .flatMap(entry -> entry.getValue().stream())
                .toList();
        long most = 0;
        for (long from = fromMillis; from + windowMillis <= toMillis; from += STEP_MILLIS) {
            most = Math.max(most, count(counted, from, from + windowMillis));
        }
        return most;
    }

    private static long count(List<Long> times, long fromMillis, long toMillis) {
        return times.stream().filter(at -> at >= fromMillis && at < toMillis).count();
    }

    /** Lets time pass in which requests arrive at random instances. */
    void advance(long millis, double perSecond) {
        double mean = perSecond * STEP_MILLIS / 1_000;
        for (long passed = 0; passed < millis; passed += STEP_MILLIS) {
            now += TimeUnit.MILLISECONDS.toNanos(STEP_MILLIS);
            channel.advanceTimeBy(STEP_MILLIS, TimeUnit.MILLISECONDS);
            boolean periodic = millis() % 250 == 0;
            for (Node node : List.copyOf(nodes.values())) {
                node.periodic(periodic);
            }
            List<Node> all = List.copyOf(nodes.values());
            for (int request = arrivals(mean); request > 0; request--) {
                all.get(random.nextInt(all.size())).ask(items && random.nextInt(10) == 0);
            }
            channel.runPendingTasks();
        }
    }

    /** Returns a number of arrivals with a mean. */
    private int arrivals(double mean) {
        int count = 0;
        for (double left = -Math.log(1 - random.nextDouble()); left < mean; count++) {
            left -= Math.log(1 - random.nextDouble());
        }
        return count;
    }

    private Node node(int index) {
        return nodes.values().stream()
                .filter(node -> node.instance.id().name().equals("n" + index))
                .findFirst()
                .orElseThrow();
    }

    private static Failure lost(Address address) {
        return Failure.unknown(Failure.Kind.TIMEOUT, "link.call", address.toString(), "no answer");
    }

    /** A target that may name a limit. */
    private static final class Target {

        private OptionalDouble limit = OptionalDouble.empty();

        private long startedAtMillis = 1;

        /** The times at which requests arrived, in milliseconds. */
        private final List<Long> arrivals = new ArrayList<>();

        /** The same of instances that had got an answer with a limit, by the address of the instance. */
        private final Map<Address, List<Long>> counted = new HashMap<>();
    }

    /** An instance whose messages reach those of its group. */
    private final class Node implements PeerLink {

        private final Map<Channel, PeerHandler> handlers = new HashMap<>();

        private final Instance instance;

        private final Liveness liveness;

        private final DispatchServer server;

        private final DispatchClient client;

        private final ShareTable shareTable;

        private int group;

        /** When this instance first got an answer that named a limit, in milliseconds, by target. */
        private final Map<String, Long> knownSince = new HashMap<>();

        private long items;

        Node(String name, int port) {
            Address address = Address.of("127.0.0.1", port);
            instance = new Instance(InstanceId.of(name, 1), address, address, "lisbon", 0, 1);
            liveness = Liveness.of(instance);
            EventLoop loop = channel.eventLoop();
            server = DispatchServer.of(loop, this, liveness, time, TeamRates.of(), Quarantine.of());
            client = DispatchClient.of(loop, this, liveness, server, new EventLog.Disabled(), time);
            Duties duties =
                    Duties.of(loop, new EventLog.Disabled(), GatewayMetrics.of(new MetricRegistry()), time, () -> {});
            shareTable = ShareTable.of(tables, duties, server, name, new EventLog.Disabled(), time);
        }

        void learnTargets() {
            List<TargetEntry> entries = targets.entrySet().stream()
                    .map(entry -> entry(entry.getKey(), entry.getValue()))
                    .toList();
            server.dispatcher().targets(entries, service -> 0, now);
        }

        private TargetEntry entry(String id, Target target) {
            return new TargetEntry(
                    id, SERVICE, Address.of("127.0.0.1", 99), "lisbon", 16, false, 0, target.startedAtMillis);
        }

        void periodic(boolean tick) {
            if (tick) {
                nodes.values().stream()
                        .filter(other -> other != this && other.group == group)
                        .forEach(other -> liveness.observe(new Liveness.Heartbeat(other.instance, 0, false), now));
                client.tick(now);
                server.tick(now);
                shareTable.tick(now);
            }
            if (millis() % 100 == 0) {
                client.renewLoan();
            }
            if (millis() % 2_000 == 0) {
                client.reportAll();
            }
        }

        void ask(boolean item) {
            long permit = client.nextPermit();
            long wait = TimeUnit.MILLISECONDS.toNanos(item ? 10_000 : 240);
            client.ask(
                    new Ask(
                            client.self(),
                            permit,
                            SERVICE,
                            "",
                            "lisbon",
                            0,
                            wait,
                            wait,
                            Work.NONE,
                            item,
                            false,
                            Set.of()),
                    decision -> {
                        if (decision instanceof PlacementDecision.Granted granted) {
                            items += item ? 1 : 0;
                            send(permit, granted.target());
                        } else {
                            refusals++;
                        }
                    });
        }

        /** Sends a request; the head of the answer states the limit of the moment at which it was received. */
        private void send(long permit, String id) {
            Target target = targets.get(id);
            if (millis() - knownSince.getOrDefault(id, Long.MAX_VALUE / 2) >= KNOWN_MILLIS) {
                target.counted
                        .computeIfAbsent(address(), node -> new ArrayList<>())
                        .add(millis());
            }
            target.arrivals.add(millis());
            TargetEntry entry = entry(id, target);
            OptionalDouble stated = target.limit;
            channel.eventLoop()
                    .schedule(() -> answered(id, entry, stated), 5L + random.nextInt(30), TimeUnit.MILLISECONDS);
            channel.eventLoop()
                    .schedule(() -> client.release(permit, PlaceOutcome.SERVED), RUN_MILLIS, TimeUnit.MILLISECONDS);
        }

        private void answered(String id, TargetEntry entry, OptionalDouble stated) {
            if (stated.isPresent()) {
                knownSince.putIfAbsent(id, millis());
            }
            client.requestLimit(entry, stated);
        }

        /** {@inheritDoc} */
        @Override
        public void handle(Channel to, PeerHandler handler) {
            handlers.put(to, handler);
        }

        /** {@inheritDoc} */
        @Override
        public Mono<Either<Failure, byte[]>> call(
                Address address, long incarnation, Channel to, byte[] request, Duration timeout) {
            return Mono.create(sink -> {
                channel.eventLoop()
                        .schedule(
                                () -> sink.success(Either.left(lost(address))),
                                timeout.toMillis(),
                                TimeUnit.MILLISECONDS);
                deliver(
                        address,
                        () -> nodes.get(address)
                                .handlers
                                .get(to)
                                .handle(instance.id(), request)
                                .subscribe(answer -> deliver(address, () -> sink.success(answer))));
            });
        }

        /** Delivers a message to or from another instance after some time, unless it is lost. */
        private void deliver(Address other, Runnable action) {
            if (random.nextDouble() >= lostShare) {
                channel.eventLoop()
                        .schedule(
                                () -> {
                                    if (nodes.containsKey(other) && nodes.get(other).group == group) {
                                        action.run();
                                    }
                                },
                                1L + random.nextInt(5),
                                TimeUnit.MILLISECONDS);
            }
        }

        /** {@inheritDoc} */
        @Override
        public Address address() {
            return instance.peer();
        }

        /** {@inheritDoc} */
        @Override
        public long bytes() {
            return 0;
        }
    }
}
