package org.tanagermoor.target.order;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.collection.HashMap;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.tanagermoor.budget.Budgets;
import org.tanagermoor.kernel.event.EventLog;
import org.tanagermoor.kernel.event.EventRecord;
import org.tanagermoor.kernel.event.EventType;
import org.tanagermoor.kernel.plugin.Context;
import org.tanagermoor.kernel.setting.Address;
import org.tanagermoor.kernel.setting.Settings;
import org.tanagermoor.kernel.time.HybridClock;
import org.tanagermoor.kernel.time.TimeSource;
import org.tanagermoor.membership.Membership;
import org.tanagermoor.policy.configuration.Configuration;
import org.tanagermoor.policy.configuration.EngineState;
import org.tanagermoor.policy.configuration.Preset;
import org.tanagermoor.policy.configuration.Target;
import org.tanagermoor.policy.fleet.FailureDomain;
import org.tanagermoor.policy.fleet.InstanceId;
import org.tanagermoor.policy.fleet.Member;
import org.tanagermoor.policy.fleet.ServiceName;
import org.tanagermoor.policy.fleet.TargetId;
import org.tanagermoor.policy.fleet.View;
import org.tanagermoor.policy.standing.Standing;
import org.tanagermoor.standin.target.Fault;
import org.tanagermoor.standin.target.StandInTarget;
import org.tanagermoor.standin.target.TargetOptions;
import org.tanagermoor.target.TargetEvent;
import org.tanagermoor.target.lease.FakeMembership;
import reactor.core.publisher.Mono;

/** Gives orders to a stand-in target over HTTP and compares the outcome with the record of the target. */
@Timeout(120)
@Execution(ExecutionMode.CONCURRENT)
class EngineOrdersTest {

    private static final TargetId ID = TargetId.of("t");
    private static final FailureDomain DOMAIN = FailureDomain.of("d");
    private static final Address NOWHERE = Address.of("127.0.0.1", 1);
    private static final EngineState PEAK = EngineState.of("large", "2", List.of("a"), "whole");
    private static final EngineState NIGHT = EngineState.of("small", "3", List.of(), "decode");

    private final List<Instance> instances = new ArrayList<>();
    private StandInTarget engine;
    private boolean checks;
    private long version;

    @AfterEach
    void stop() {
        instances.forEach(instance -> instance.orders.close());
        engine.close();
    }

    static Stream<Arguments> faults() {
        return Stream.of(true, false)
                .flatMap(checks -> Stream.of(Fault.Stage.RECEIVED, Fault.Stage.EXECUTED)
                        .flatMap(stage -> Stream.of(Fault.Kind.RESET, Fault.Kind.SILENCE, Fault.Kind.COLD)
                                .map(kind -> Arguments.of(checks, kind, stage))));
    }

    @ParameterizedTest
    @MethodSource("faults")
    void reachesTheWantedStateDespiteAFaultOfAnOrder(boolean checking, Fault.Kind kind, Fault.Stage stage)
            throws Exception {
        start(checking, 1);
        engine.faults().replace(List.of(Fault.of(kind, stage)));
        adopt(PEAK, instances.get(0));

        instances.get(0).await(TargetEvent.ENGINE_SETTLED);

        assertHas(PEAK);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void theNewStewardContinuesAndTheOldOneStops(boolean checking) throws Exception {
        start(checking, 2);
        adopt(PEAK, instances.get(0));
        instances.get(0).await(TargetEvent.ORDER_SENT);
        instances.get(0).membership.standing = Standing.NONE;
        adopt(NIGHT, instances.get(1));

        instances.get(1).await(TargetEvent.ENGINE_SETTLED);

        assertHas(NIGHT);
    }

    @Test
    void aPresetThatChangesDuringAnOrderWins() throws Exception {
        start(true, 1);
        adopt(PEAK, instances.get(0));
        instances.get(0).await(TargetEvent.ORDER_SENT);
        adopt(NIGHT, instances.get(0));

        instances.get(0).await(TargetEvent.ENGINE_SETTLED);

        assertHas(NIGHT);
    }

    @Test
    void theNewerOfTwoConcurrentStewardsWins() throws Exception {
        start(true, 2);
        adopt(PEAK, instances.get(0));
        instances.get(0).await(TargetEvent.ORDER_SENT);
        adopt(NIGHT, instances.get(1));
        instances.get(1).await(TargetEvent.ENGINE_SETTLED);

        assertHas(NIGHT);
    }

    private void start(boolean checking, int size) {
        checks = checking;
        engine = StandInTarget.start(
                TargetOptions.parse(List.of("--checks-fencing=" + checking, "--load-millis=300"), Map.of())
                        .get());
        for (int index = 0; index < size; index++) {
            instances.add(new Instance(index));
        }
    }

    private void adopt(EngineState wanted, Instance steward) {
        version++;
        Configuration empty = Configuration.EMPTY;
        Preset preset = Preset.ORDINARY.withEngines(60, HashMap.of(ID, wanted));
        ServiceName service = ServiceName.of("large");
        Target target = new Target(ID, service, DOMAIN, engine.address(), 4, 4, 1, checks);
        View view = View.of(viewVersion(steward), List.of(steward.membership.self()));
        Configuration configuration = new Configuration(
                version,
                "change" + version,
                preset.name(),
                HashMap.of(preset.name(), preset),
                empty.teams(),
                empty.keys(),
                empty.services(),
                HashMap.of(ID, target),
                empty.domainsOut(),
                view);
        steward.membership.adopt(configuration);
    }

    private long viewVersion(Instance steward) {
        View view = steward.membership.configuration().view();
        return view.members().isEmpty() ? version : view.version();
    }

    private void assertHas(EngineState wanted) {
        long last = 0;
        for (JsonNode order : engine.orders()) {
            assertThat(order.path("fence").asLong(), greaterThanOrEqualTo(last));
            last = order.path("fence").asLong();
        }
        assertThat(
                new EngineClient(new EventLog.Disabled())
                        .read(instances
                                .get(0)
                                .membership
                                .configuration()
                                .targets()
                                .get(ID)
                                .get())
                        .block()
                        .state(),
                is(wanted));
    }

    private static final class Instance {

        private final BlockingQueue<EventType> recorded = new LinkedBlockingQueue<>();

        private final FakeMembership membership;

        private final EngineOrders orders;

        private Instance(int number) {
            EventLog events = new Recorder(recorded);
            Settings settings = Settings.parse(List.of(), List.of(), Map.of()).get();
            membership = new FakeMembership(Member.of(InstanceId.of("i" + number, number), DOMAIN, NOWHERE, NOWHERE));
            Context context = Context.of(settings, events, new MetricRegistry(), TimeSource.ForSystem.INSTANCE);
            context.register(Membership.class, membership);
            context.register(Budgets.class, (budget, amount, deadline) -> Mono.just(Either.right(amount)));
            orders = EngineOrders.of(context, (id, value) -> {});
        }

        private void await(EventType type) throws InterruptedException {
            EventType next = recorded.poll(60, TimeUnit.SECONDS);
            while (next != null && next != type) {
                next = recorded.poll(60, TimeUnit.SECONDS);
            }
            assertThat(next, is(type));
        }
    }

    private record Recorder(BlockingQueue<EventType> recorded) implements EventLog {

        @Override
        public void record(EventType type, Object... fields) {
            recorded.add(type);
        }

        @Override
        public List<EventRecord> since(long sequence, int limit) {
            return List.of();
        }

        @Override
        public HybridClock clock() {
            return new HybridClock();
        }
    }
}
