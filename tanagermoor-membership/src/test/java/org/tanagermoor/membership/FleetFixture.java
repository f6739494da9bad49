package org.tanagermoor.membership;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import com.codahale.metrics.MetricRegistry;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.tanagermoor.kernel.event.EventLog;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.kernel.plugin.Context;
import org.tanagermoor.kernel.setting.Address;
import org.tanagermoor.kernel.setting.Settings;
import org.tanagermoor.kernel.time.TimeSource;
import org.tanagermoor.policy.fleet.InstanceId;
import org.tanagermoor.policy.standing.Standing;
import org.tanagermoor.store.object.ObjectStore;
import org.tanagermoor.store.table.TableService;
import org.tanagermoor.wire.link.Channel;
import org.tanagermoor.wire.link.PeerHandler;
import org.tanagermoor.wire.link.PeerLink;
import org.tanagermoor.wire.link.TcpPeerLink;
import reactor.core.publisher.Mono;

/** Several membership plug-ins in one process that talk over loopback and share an in-memory platform. */
final class FleetFixture implements AutoCloseable {

    static final Duration AWAIT_TIMEOUT = Duration.ofSeconds(30);

    final TableService table = TableService.InMemory.of();

    final ObjectStore objects = ObjectStore.InMemory.of();

    final List<Node> nodes = new ArrayList<>();

    private final List<String> flags;

    FleetFixture(String... flags) {
        this.flags = List.of(flags);
    }

    static FleetFixture of(int size, String... flags) {
        FleetFixture fleet = new FleetFixture(flags);
        for (int index = 0; index < size; index++) {
            fleet.start("i" + index);
        }
        fleet.await(
                () -> fleet.nodes.stream().allMatch(node -> node.hasAcceptedView(size) && node.serves(Standing.FULL)));
        return fleet;
    }

    Node start(String name) {
        return start(name, Address.of("127.0.0.1", 0));
    }

    Node start(String name, Address address) {
        Node node = new Node(name, nodes.size() + 1L, address);
        nodes.add(node);
        return node;
    }

    /** Waits until a condition holds; fails after {@link #AWAIT_TIMEOUT}. */
    void await(BooleanSupplier state) {
        long deadline = System.nanoTime() + AWAIT_TIMEOUT.toNanos();
        while (!state.getAsBoolean() && System.nanoTime() < deadline) {
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(1));
        }
        assertThat("the state was reached", state.getAsBoolean(), is(true));
    }

    /** Cuts the links between the given nodes and all others, in both directions. An empty set heals the partition. */
    void partition(Set<Node> side) {
        for (Node node : nodes) {
            node.link.side = side.contains(node) ? 1 : 0;
        }
    }

    @Override
    public void close() {
        nodes.forEach(node -> node.store.down = true);
        nodes.forEach(Node::kill);
    }

    /** An instance with its own link and its own view of the store. */
    final class Node {

        final FaultyStore store = new FaultyStore(table, objects);

        final MembershipPlugin plugin = new MembershipPlugin();

        final PartitionableLink link;

        private final TcpPeerLink tcp;

        private boolean killed;

        private Node(String name, long incarnation, Address address) {
            EventLog events = new EventLog.Disabled();
            InstanceId id = InstanceId.of(name, incarnation);
            tcp = TcpPeerLink.of(id, address, events, TimeSource.ForSystem.INSTANCE);
            link = new PartitionableLink(tcp);
            List<String> arguments = new ArrayList<>(flags);
            arguments.addAll(List.of("--failure-domain", "d" + incarnation % 3));
            Settings settings =
                    Settings.parse(plugin.settings(), arguments, Map.of()).get();
            Context context = Context.of(settings, events, new MetricRegistry(), TimeSource.ForSystem.INSTANCE);
            context.register(InstanceId.class, id);
            context.register(PeerLink.class, link);
            context.register(TableService.class, store);
            context.register(ObjectStore.class, objects);
            plugin.start(context);
        }

        String name() {
            return plugin.self().id().name();
        }

        Standing standing() {
            return plugin.standing(System.nanoTime());
        }

        boolean serves(Standing standing) {
            return standing() == standing;
        }

        boolean hasAcceptedView(int members) {
            return plugin.configuration().view().members().size() == members && plugin.viewAccepted(System.nanoTime());
        }

        long version() {
            return plugin.configuration().version();
        }

        Changes changes() {
            return plugin.changes();
        }

        /** Stops the instance as a crash does: without a planned stop and without removal from the view. */
        void kill() {
            if (!killed) {
                killed = true;
                store.down = true;
                plugin.stop();
                tcp.close();
            }
        }

        CountDownLatch adopted(long version) {
            CountDownLatch latch = new CountDownLatch(1);
            plugin.onAdopted(configuration -> {
                if (configuration.version() >= version) {
                    latch.countDown();
                }
            });
            return latch;
        }
    }

    /** A link over which calls to instances on the other side of a partition time out. */
    final class PartitionableLink implements PeerLink {

        volatile int side;

        final AtomicLong calls = new AtomicLong();

        private final TcpPeerLink link;

        private PartitionableLink(TcpPeerLink link) {
            this.link = link;
        }

        @Override
        public void handle(Channel channel, PeerHandler handler) {
            link.handle(channel, handler);
        }

        @Override
        public Mono<Either<Failure, byte[]>> call(
                Address address, long incarnation, Channel channel, byte[] request, Duration timeout) {
            calls.incrementAndGet();
            boolean partitioned =
                    nodes.stream().anyMatch(node -> node.link.address().equals(address) && node.link.side != side);
            return partitioned
                    ? Mono.just(Either.left(Failure.unknown(Failure.Kind.TIMEOUT, "link", "peer", "cut")))
                    : link.call(address, incarnation, channel, request, timeout);
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
}
