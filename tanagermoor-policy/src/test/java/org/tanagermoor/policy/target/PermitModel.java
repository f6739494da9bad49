package org.tanagermoor.policy.target;

import io.vavr.collection.HashMap;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import org.tanagermoor.kernel.setting.Address;
import org.tanagermoor.policy.configuration.Configuration;
import org.tanagermoor.policy.configuration.Target;
import org.tanagermoor.policy.fleet.FailureDomain;
import org.tanagermoor.policy.fleet.InstanceId;
import org.tanagermoor.policy.fleet.Member;
import org.tanagermoor.policy.fleet.ServiceName;
import org.tanagermoor.policy.fleet.TargetId;
import org.tanagermoor.policy.fleet.TeamId;
import org.tanagermoor.policy.fleet.View;

/**
 * A simulation of a few instances that share one target over a network that loses, delays and duplicates messages.
 * Requests of an instance end when its lease expires; requests that outlive a lease are known only from load reports.
 */
final class PermitModel {

    static final long NANOS_PER_MILLI = 1_000_000;

    static final long WARM_UP_MILLIS = 5_000;

    private static final long TICK_MILLIS = 5;

    private static final long MAX_REQUEST_NANOS = 800 * NANOS_PER_MILLI;

    private static final TargetId TARGET = TargetId.of("t");

    private static final ServiceName SERVICE = ServiceName.of("s");

    private static final Address ADDRESS = Address.of("127.0.0.1", 1);

    final List<Node> nodes = new ArrayList<>();

    final List<Configuration> versions = new ArrayList<>();

    private final PriorityQueue<Delivery> network = new PriorityQueue<>(Comparator.comparingLong(Delivery::at));

    private final SplittableRandom random;

    private final Target target;

    double lossRate;

    double duplicateRate;

    long delayMillis = 2;

    long now;

    long acceptedVersion = 1;

    long started;

    private int startCount = 1;

    private long startedAt;

    PermitModel(long seed, int size, int capacity, int coldCapacity) {
        random = new SplittableRandom(seed);
        FailureDomain domain = FailureDomain.of("d");
        target = new Target(TARGET, SERVICE, domain, ADDRESS, capacity, coldCapacity, WARM_UP_MILLIS, false);
        for (int index = 1; index <= size; index++) {
            nodes.add(new Node(Member.of(InstanceId.of("i" + index, index), domain, ADDRESS, ADDRESS)));
        }
        install(View.of(1, nodes.stream().map(node -> node.member).toList()));
        nodes.forEach(node -> node.adopt(versions.getLast()));
    }

    long nextVersion() {
        return versions.size() + 1L;
    }

    void install(View view) {
        Configuration empty = Configuration.EMPTY;
        versions.add(new Configuration(
                nextVersion(),
                "change",
                empty.presetInForce(),
                empty.presets(),
                empty.teams(),
                empty.keys(),
                empty.services(),
                HashMap.of(TARGET, target),
                empty.domainsOut(),
                view));
    }

    View view() {
        return versions.getLast().view();
    }

    Node steward() {
        InstanceId id = PermitSteward.steward(TARGET, view()).orElseThrow();
        return nodes.stream()
                .filter(node -> node.member.id().equals(id))
                .findFirst()
                .orElseThrow();
    }

    /** Returns how far the requests that run under valid leases exceed the current capacity of the target. */
    int excess() {
        double warm = Math.min(1.0, (double) (now - startedAt) / (WARM_UP_MILLIS * NANOS_PER_MILLI));
        int running = nodes.stream()
                .filter(node -> !node.expired())
                .mapToInt(node -> node.online + node.batch)
                .sum();
        return running - target.coldCapacity() - (int) ((target.capacity() - target.coldCapacity()) * warm);
    }

    int running() {
        return nodes.stream().mapToInt(node -> node.online + node.batch).sum();
    }

    void restart() {
        startCount++;
        startedAt = now;
    }

    void advance(long millis) {
        for (long step = 0; step < millis; step++) {
            now += NANOS_PER_MILLI;
            List<Delivery> deferred = new ArrayList<>();
            while (!network.isEmpty() && network.peek().at() <= now) {
                Delivery delivery = network.poll();
                if (delivery.to().paused) {
                    deferred.add(
                            new Delivery(now + NANOS_PER_MILLI, delivery.from(), delivery.to(), delivery.action()));
                } else if (!delivery.to().dead) {
                    delivery.action().run();
                }
            }
            network.addAll(deferred);
            nodes.forEach(Node::endWhileUnavailable);
            if (step % TICK_MILLIS == 0) {
                nodes.stream().filter(node -> !node.paused && !node.dead).forEach(Node::tick);
            }
        }
    }

    private void send(Node from, Node to, Runnable action) {
        if (from == to) {
            action.run();
            return;
        }
        int copies = random.nextDouble() < duplicateRate ? 2 : 1;
        for (int copy = 0; copy < copies; copy++) {
            if (!from.partitioned && !to.partitioned && random.nextDouble() >= lossRate) {
                network.add(new Delivery(now + (1 + random.nextLong(delayMillis)) * NANOS_PER_MILLI, from, to, action));
            }
        }
    }

    private Optional<Node> node(InstanceId id) {
        return nodes.stream().filter(node -> node.member.id().equals(id)).findFirst();
    }

    private record Delivery(long at, Node from, Node to, Runnable action) {}

    private record Demand(boolean batch, long deadline) implements PermitDemand {

        @Override
        public ServiceName service() {
            return SERVICE;
        }

        @Override
        public TeamId team() {
            return TeamId.of("team");
        }

        @Override
        public double weight() {
            return 1;
        }

        @Override
        public String affinity() {
            return "";
        }

        @Override
        public Set<TargetId> excluded() {
            return Set.of();
        }
    }

    final class Node {

        final Member member;

        private final PermitSteward steward;

        private final PermitBook<Integer> book = PermitBook.of(FailureDomain.of("d"), Optional.empty());

        private final PermitExchange exchange = PermitExchange.of(book);

        private Configuration configuration = Configuration.EMPTY;

        boolean paused;

        boolean dead;

        boolean partitioned;

        int online;

        int batch;

        private long unavailableSince;

        private Node(Member member) {
            this.member = member;
            steward = PermitSteward.of(member.id());
        }

        void adopt(Configuration value) {
            if (value.version() > configuration.version()) {
                configuration = value;
                book.adopt(value, now);
                exchange.adopt(value);
                steward.adopt(value);
            }
        }

        private boolean standing() {
            boolean inView = configuration.view().member(member.id()).isPresent();
            return inView && configuration.view().version() >= acceptedVersion;
        }

        void request(int requests, boolean forBatch) {
            for (int request = 0; request < requests; request++) {
                Demand demand = new Demand(forBatch, now + 60_000 * NANOS_PER_MILLI);
                book.enqueue(book.ticket(demand, 0, random.nextLong(), now));
            }
        }

        void recordRestart() {
            book.recordStartMark(TARGET, "start" + startCount, now);
        }

        /** Ends all running requests. */
        void finish() {
            end(online, false);
            end(batch, true);
        }

        private boolean expired() {
            PermitLease lease = book.lease(TARGET);
            return lease == null || lease.expired(now);
        }

        private void endWhileUnavailable() {
            boolean unavailable = paused || partitioned || dead || !standing();
            unavailableSince = unavailable ? unavailableSince : now;
            if (expired() || now - unavailableSince >= MAX_REQUEST_NANOS) {
                finish();
            }
        }

        private void end(int requests, boolean forBatch) {
            for (int request = 0; request < requests; request++) {
                book.end(TARGET, forBatch);
            }
            online = forBatch ? online : 0;
            batch = forBatch ? batch - requests : batch;
        }

        private void tick() {
            if (!standing()) {
                return;
            }
            if (configuration.view().version() == acceptedVersion) {
                steward.accept(now);
            }
            if (steward() == this) {
                steward.recordLoad(TARGET, new LoadReport("start" + startCount, running(), 0, 0), now, now);
            }
            Map<InstanceId, List<PermitGrant>> recalls = steward.recalls(now);
            recalls.forEach((id, grants) ->
                    node(id).ifPresent(to -> send(this, to, () -> to.receiveRecall(this, grants))));
            book.expire(now);
            exchange.dueReports(now)
                    .forEach((id, message) -> node(id).ifPresent(to -> send(this, to, () -> to.answer(this, message))));
            start();
        }

        private void start() {
            for (PermitBook.Start<Integer> start : book.dispatch(now)) {
                online += start.ticket().demand().batch() ? 0 : 1;
                batch += start.ticket().demand().batch() ? 1 : 0;
                started++;
            }
            int excess = book.recalls().getOrDefault(TARGET, 0);
            if (excess > 0) {
                end(excess, true);
            }
        }

        private void answer(Node from, PermitReports message) {
            if (standing()) {
                List<PermitGrant> grants = steward.answer(from.member.id(), message.sequence(), message.reports(), now);
                send(this, from, () -> from.receiveAnswer(this, message.sequence(), grants));
            }
        }

        private void receiveAnswer(Node from, long sequence, List<PermitGrant> grants) {
            exchange.answer(from.member.id(), sequence, grants, now);
        }

        private void receiveRecall(Node from, List<PermitGrant> grants) {
            exchange.recall(from.member.id(), grants);
        }
    }
}
