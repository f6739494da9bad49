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
 * A model of a few instances that share one target over a network that loses, delays and repeats messages. What runs at
 * an instance ends when its lease lapses; what outlives a lease is only known from reports of load.
 */
final class PermitModel {

    static final long MILLI = 1_000_000;

    static final long WARM_UP_MILLIS = 5_000;

    private static final long TICK = 5;

    private static final long LONGEST_REQUEST = 800 * MILLI;

    private static final TargetId TARGET = TargetId.of("t");

    private static final ServiceName SERVICE = ServiceName.of("s");

    private static final Address ADDRESS = Address.of("127.0.0.1", 1);

    final List<Node> nodes = new ArrayList<>();

    final List<Configuration> versions = new ArrayList<>();

    private final PriorityQueue<Delivery> network = new PriorityQueue<>(Comparator.comparingLong(Delivery::at));

    private final SplittableRandom random;

    private final Target target;

    double loss;

    double repeats;

    long delayMillis = 2;

    long now;

    long accepted = 1;

    long started;

    private int starts = 1;

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

    /** What runs under leases that are valid, beyond what the target bears. */
    int excess() {
        double warm = Math.min(1.0, (double) (now - startedAt) / (WARM_UP_MILLIS * MILLI));
        int running = nodes.stream()
                .filter(node -> !node.lapsed())
                .mapToInt(node -> node.online + node.batch)
                .sum();
        return running - target.coldCapacity() - (int) ((target.capacity() - target.coldCapacity()) * warm);
    }

    int running() {
        return nodes.stream().mapToInt(node -> node.online + node.batch).sum();
    }

    void restart() {
        starts++;
        startedAt = now;
    }

    void advance(long millis) {
        for (long step = 0; step < millis; step++) {
            now += MILLI;
            List<Delivery> asleep = new ArrayList<>();
            while (!network.isEmpty() && network.peek().at() <= now) {
                Delivery delivery = network.poll();
                if (delivery.to().paused) {
                    asleep.add(new Delivery(now + MILLI, delivery.from(), delivery.to(), delivery.action()));
                } else if (!delivery.to().dead) {
                    delivery.action().run();
                }
            }
            network.addAll(asleep);
            nodes.forEach(Node::endWhileAway);
            if (step % TICK == 0) {
                nodes.stream().filter(node -> !node.paused && !node.dead).forEach(Node::tick);
            }
        }
    }

    private void send(Node from, Node to, Runnable action) {
        if (from == to) {
            action.run();
            return;
        }
        int copies = random.nextDouble() < repeats ? 2 : 1;
        for (int copy = 0; copy < copies; copy++) {
            if (!from.cut && !to.cut && random.nextDouble() >= loss) {
                network.add(new Delivery(now + (1 + random.nextLong(delayMillis)) * MILLI, from, to, action));
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

        boolean cut;

        int online;

        int batch;

        private long awaySince;

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
            boolean seated = configuration.view().member(member.id()).isPresent();
            return seated && configuration.view().version() >= accepted;
        }

        void request(int requests, boolean forBatch) {
            for (int request = 0; request < requests; request++) {
                Demand demand = new Demand(forBatch, now + 60_000 * MILLI);
                book.enqueue(book.ticket(demand, 0, random.nextLong(), now));
            }
        }

        void seeRestart() {
            book.recordStartMark(TARGET, "start" + starts, now);
        }

        /** Ends all that runs. */
        void finish() {
            end(online, false);
            end(batch, true);
        }

        private boolean lapsed() {
            PermitLease lease = book.lease(TARGET);
            return lease == null || lease.lapsed(now);
        }

        private void endWhileAway() {
            boolean away = paused || cut || dead || !standing();
            awaySince = away ? awaySince : now;
            if (lapsed() || now - awaySince >= LONGEST_REQUEST) {
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
            if (configuration.view().version() == accepted) {
                steward.accept(now);
            }
            if (steward() == this) {
                steward.recordLoad(TARGET, new LoadReport("start" + starts, running(), 0, 0), now, now);
            }
            Map<InstanceId, List<PermitGrant>> recalls = steward.recalls(now);
            recalls.forEach((id, grants) -> node(id).ifPresent(to -> send(this, to, () -> to.recalled(this, grants))));
            book.expire(now);
            exchange.dueReports(now)
                    .forEach((id, ask) -> node(id).ifPresent(to -> send(this, to, () -> to.answer(this, ask))));
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

        private void answer(Node from, PermitReports ask) {
            if (standing()) {
                List<PermitGrant> grants = steward.answer(from.member.id(), ask.sequence(), ask.reports(), now);
                send(this, from, () -> from.answered(this, ask.sequence(), grants));
            }
        }

        private void answered(Node from, long sequence, List<PermitGrant> grants) {
            exchange.answer(from.member.id(), sequence, grants, now);
        }

        private void recalled(Node from, List<PermitGrant> grants) {
            exchange.recall(from.member.id(), grants);
        }
    }
}
