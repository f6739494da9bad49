package org.tanagermoor.policy.order;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.anyOf;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.tanagermoor.policy.configuration.EngineState;

/**
 * Guards against an older order that takes effect after a newer one, and against a target that does not reach its
 * desired state, under message loss, delay, pauses, restarts and changes of the steward.
 */
class OrderExplorationTest {

    private static final int RUNS = 100;
    private static final int STEPS = 60;
    private static final long QUIET_MILLIS = 300_000;
    private static final long MAX_FLIGHT_MILLIS = TargetOrders.MAX_FLIGHT_NANOS / 1_000_000;
    private static final EngineState PEAK = EngineState.of("large", "2", List.of("a", "b"), "decode");
    private static final EngineState MAINTENANCE = EngineState.of("small", "1", List.of("b", "c"), "whole");

    @ParameterizedTest
    @CsvSource({"true, 1", "true, 2", "false, 3", "false, 4"})
    void neverAppliesAnOlderOrderAfterANewerOne(boolean checks, long seed) {
        int applied = 0;
        for (int run = 0; run < RUNS; run++) {
            OrderModel model =
                    explore(seed * 1_000 + run, checks, checks ? 4 * MAX_FLIGHT_MILLIS : MAX_FLIGHT_MILLIS - 200);
            assertThat("seed " + seed + " run " + run, model.faults, is(empty()));
            settle(model, "seed " + seed + " run " + run);
            applied += model.record.size();
        }
        assertThat(applied, greaterThan(RUNS));
    }

    @Test
    void detectsAnOrderInFlightForLongerThanTheGuard() {
        List<String> faults = new ArrayList<>();
        for (int run = 0; run < RUNS; run++) {
            faults.addAll(explore(5_000 + run, false, 4 * MAX_FLIGHT_MILLIS).faults);
        }
        assertThat(faults, is(not(empty())));
    }

    static Stream<Arguments> faults() {
        return Stream.of(true, false)
                .flatMap(checks -> Stream.of(
                        fault("none", checks, model -> {}),
                        fault("the steward is killed", checks, model -> {
                            model.nodes.getFirst().dead = true;
                            model.run(2_000);
                            model.change(1, PEAK);
                            model.acceptAll();
                        }),
                        fault("the steward is paused until it loses its standing, and resumed", checks, model -> {
                            model.nodes.getFirst().paused = true;
                            model.change(1, MAINTENANCE);
                            model.acceptAll();
                            model.run(30_000);
                            model.nodes.getFirst().paused = false;
                        }),
                        fault("two stewards at once", checks, model -> {
                            model.change(1, MAINTENANCE);
                            model.nodes.get(1).adopted = model.versions.size() - 1;
                            model.run(10_000);
                            model.acceptAll();
                        }),
                        fault("answers are lost after taking effect", checks, model -> {
                            model.lossRate = 1;
                            model.run(12_000);
                            model.lossRate = 0;
                        }),
                        fault("the target restarts", checks, model -> {
                            model.run(5_000);
                            model.restart();
                        }),
                        fault("the preset is changed", checks, model -> {
                            model.change(0, MAINTENANCE);
                            model.acceptAll();
                        }),
                        fault("the steward changes and returns", checks, model -> {
                            model.change(1, MAINTENANCE);
                            model.acceptAll();
                            model.change(0, PEAK);
                            model.acceptAll();
                        })));
    }

    @ParameterizedTest(name = "{0}, checks fencing numbers: {1}")
    @MethodSource("faults")
    void reachesTheWantedState(String name, boolean checks, Consumer<OrderModel> fault) {
        OrderModel model = new OrderModel(7, 3, checks);
        model.delayMillis = 1_000;
        model.change(0, PEAK);
        model.acceptAll();
        for (int step = 0; step < 1_000 && !model.orderInFlight(); step++) {
            model.run(100);
        }
        assertThat("an order is in flight", model.orderInFlight());

        fault.accept(model);

        settle(model, name);
    }

    @Test
    void aStewardWhoseNumberIsRefusedSendsNoMoreOrders() {
        OrderModel model = new OrderModel(8, 2, true);
        model.change(1, PEAK);
        model.acceptAll();
        model.run(QUIET_MILLIS);
        int applied = model.record.size();
        TargetOrders old = TargetOrders.of();
        OrderContext context = new OrderContext(Optional.of(MAINTENANCE), true, 1, OptionalLong.of(model.now));

        Step.Read reading = (Step.Read) old.next(context, model.now);
        old.report(
                reading.number(),
                new EngineReport(PEAK, true, 0, model.record.getLast().fence().number()),
                model.now);

        for (int second = 0; second < 100; second++) {
            long at = model.now + second * 1_000_000_000L;
            Step step = old.next(context, at);
            assertThat(step, is(anyOf(instanceOf(Step.Wait.class), instanceOf(Step.Read.class))));
            if (step instanceof Step.Read again) {
                old.report(again.number(), new EngineReport(PEAK, true, 0, 0), at);
            }
            assertThat(old.withheld(), is(false));
        }
        assertThat(applied, greaterThan(0));
    }

    private static OrderModel explore(long seed, boolean checks, long delayMillis) {
        OrderModel model = new OrderModel(seed, 3, checks);
        SplittableRandom random = new SplittableRandom(seed * 99_991);
        model.lossRate = random.nextBoolean() ? 0 : random.nextDouble() * 0.5;
        model.delayMillis = random.nextBoolean() ? 50 : delayMillis;
        for (int step = 0; step < STEPS; step++) {
            act(model, random);
            model.run(100L * (1 + random.nextInt(60)));
        }
        return model;
    }

    private static void act(OrderModel model, SplittableRandom random) {
        OrderModel.Node node = model.nodes.get(random.nextInt(model.nodes.size()));
        EngineState wanted = random.nextBoolean() ? PEAK : MAINTENANCE;
        switch (random.nextInt(10)) {
            case 0 -> node.paused = true;
            case 1, 2 -> model.nodes.forEach(other -> other.paused = false);
            case 3 -> model.change(random.nextInt(3), wanted);
            case 4 -> model.change(model.versions.getLast().steward(), wanted);
            case 5 -> node.adopted = Math.max(node.adopted, random.nextInt(model.versions.size()));
            case 6, 7 -> model.acceptAll();
            case 8 -> model.restart();
            default -> {}
        }
    }

    private static void settle(OrderModel model, String name) {
        model.lossRate = 0;
        model.delayMillis = 50;
        model.nodes.forEach(node -> node.paused = false);
        model.acceptAll();
        model.run(QUIET_MILLIS);
        assertThat(name, model.faults, is(empty()));
        assertThat(name, model.state, is(model.versions.getLast().wanted()));
        assertThat(name, model.ready());
        OrderModel.Node steward = model.nodes.get(model.versions.getLast().steward());
        assertThat(name, steward.orders.withheld(), is(false));
    }

    private static Arguments fault(String name, boolean checks, Consumer<OrderModel> fault) {
        return Arguments.of(name, checks, fault);
    }
}
