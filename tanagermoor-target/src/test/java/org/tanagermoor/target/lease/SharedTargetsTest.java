package org.tanagermoor.target.lease;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import com.codahale.metrics.MetricRegistry;
import io.vavr.collection.HashMap;
import io.vavr.collection.HashSet;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
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
import org.tanagermoor.wire.link.PeerLink;
import org.tanagermoor.wire.link.TcpPeerLink;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Three instances share targets over real links. */
class SharedTargetsTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(20);

    private static final Address ANY_PORT = Address.of("127.0.0.1", 0);

    private static final FailureDomain DOMAIN = FailureDomain.of("north");

    private static final int CAPACITY = 6;

    private final List<Instance> instances = List.of(new Instance(1), new Instance(2), new Instance(3));

    @AfterEach
    void close() {
        instances.forEach(Instance::close);
    }

    @Test
    void neverLendsMoreThanTheCapacityOfTheTarget() {
        adopt(1, HashSet.empty());
        AtomicInteger running = new AtomicInteger();
        AtomicInteger maxRunning = new AtomicInteger();

        long served = Flux.range(0, 60)
                .flatMap(index -> lease(index % instances.size()), 60)
                .filter(Either::isRight)
                .doOnNext(lease -> maxRunning.accumulateAndGet(running.incrementAndGet(), Math::max))
                .doOnNext(lease -> running.decrementAndGet())
                .doOnNext(lease -> lease.get().release(TargetLease.Result.ANSWERED))
                .count()
                .block(TIMEOUT);

        assertThat(served, is(60L));
        assertThat(maxRunning.get(), lessThanOrEqualTo(CAPACITY));
    }

    @Test
    void oneInstanceGetsAllWhenTheOthersWantNothing() {
        adopt(1, HashSet.empty());

        List<TargetLease> leases = new ArrayList<>();
        for (int request = 0; request < CAPACITY; request++) {
            leases.add(lease(0).block(TIMEOUT).get());
        }

        assertThat(leases.size(), is(CAPACITY));
    }

    @Test
    void aFailureDomainTakenOutGetsNothingNew() {
        adopt(1, HashSet.empty());
        lease(0).block(TIMEOUT).get().release(TargetLease.Result.ANSWERED);

        adopt(2, HashSet.of(DOMAIN));

        assertThat(lease(0).block(TIMEOUT).getLeft().kind(), is(Failure.Kind.UNAVAILABLE));
    }

    private Mono<Either<Failure, TargetLease>> lease(int instance) {
        long deadline = TimeSource.ForSystem.INSTANCE.nanos() + TIMEOUT.toNanos();
        LeaseRequest request =
                new LeaseRequest(ServiceName.of("echo"), TeamId.of("team"), 1, Priority.ONLINE, "", Set.of(), deadline);
        return instances.get(instance).targets.lease(request);
    }

    private void adopt(long version, HashSet<FailureDomain> domainsOut) {
        Configuration empty = Configuration.EMPTY;
        Target target = new Target(
                TargetId.of("t"),
                ServiceName.of("echo"),
                DOMAIN,
                Address.of("127.0.0.1", 1),
                CAPACITY,
                CAPACITY,
                1,
                false);
        View view = View.of(
                1,
                instances.stream().map(instance -> instance.membership.self()).toList());
        Configuration configuration = new Configuration(
                version,
                "change" + version,
                empty.presetInForce(),
                empty.presets(),
                empty.teams(),
                empty.keys(),
                empty.services(),
                HashMap.of(target.id(), target),
                domainsOut,
                view);
        instances.forEach(instance -> instance.membership.adopt(configuration));
    }

    private static final class Instance {

        private final TcpPeerLink link;

        private final FakeMembership membership;

        private final LeasedTargets targets;

        private Instance(int number) {
            EventLog events = new EventLog.Disabled();
            InstanceId id = InstanceId.of("i" + number, number);
            link = TcpPeerLink.of(id, ANY_PORT, events, TimeSource.ForSystem.INSTANCE);
            membership = new FakeMembership(Member.of(id, DOMAIN, link.address(), link.address()));
            Settings settings = Settings.parse(List.of(), List.of(), Map.of()).get();
            Context context = Context.of(settings, events, new MetricRegistry(), TimeSource.ForSystem.INSTANCE);
            context.register(Membership.class, membership);
            context.register(PeerLink.class, link);
            targets = LeasedTargets.of(context, Optional.empty());
        }

        private void close() {
            targets.close();
            link.close();
        }
    }
}
