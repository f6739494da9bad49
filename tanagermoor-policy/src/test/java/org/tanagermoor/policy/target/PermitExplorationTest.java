package org.tanagermoor.policy.target;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.tanagermoor.policy.fleet.View;

/**
 * Guards against overloading a target: under message loss, delay and duplication, pauses, partitions and view changes,
 * the requests that all instances run together must not exceed its capacity.
 */
class PermitExplorationTest {

    private static final int RUNS = 20;

    private static final int STEPS = 200;

    @ParameterizedTest
    @CsvSource({"3, 6, 1", "4, 16, 2", "5, 3, 3"})
    void neverRunsMoreThanTheCapacity(int size, int capacity, long seed) {
        long started = 0;
        for (long run = 0; run < RUNS; run++) {
            PermitModel model = new PermitModel(seed * 1_000 + run, size, capacity, capacity);
            SplittableRandom random = new SplittableRandom(seed * 99_991 + run);
            model.lossRate = random.nextBoolean() ? 0 : random.nextDouble() * 0.2;
            model.duplicateRate = random.nextDouble() * 0.2;
            model.delayMillis = 1 + random.nextLong(random.nextInt(4) > 0 ? 5 : 300);
            for (int step = 0; step < STEPS; step++) {
                act(model, random);
                model.advance(1 + random.nextInt(30));
                assertThat("seed " + seed + " run " + run + " step " + step, model.excess(), lessThanOrEqualTo(0));
            }
            started += model.started;
        }
        assertThat(started, greaterThan(RUNS * 10L));
    }

    /**
     * Each fault with the minimum number of requests that must run 400 ms after it. Three instances want 4 of 8 permits
     * each. The first two that ask, one of them the steward, get 4 each; then they are recalled to fair shares of 3, 3
     * and 2, and the third waits until their requests end. The last report before the fault is at most 400 ms old and
     * leases are valid for 900 ms, so 400 ms after the fault the instances still use their shares: at least 2 beside a
     * paused steward, and 3 and 2 where the steward is partitioned and cannot lend the rest. After 1.5 s a new steward,
     * or one that no longer counts a dead instance, lends all 8 again.
     */
    static List<Arguments> faults() {
        return List.of(
                fault("none", 8, model -> {}),
                fault("the steward pauses", 2, model -> model.steward().paused = true),
                fault("the steward is partitioned", 5, model -> model.steward().partitioned = true),
                fault("the steward is replaced", 8, model -> {
                    View without = model.view()
                            .withoutMember(
                                    model.nextVersion(), model.steward().member.id());
                    model.install(without);
                    model.nodes.forEach(node -> node.adopt(model.versions.getLast()));
                    model.acceptedVersion = without.version();
                    model.advance(1_500);
                }),
                fault("an instance dies with running requests", 8, model -> {
                    model.nodes.getLast().dead = true;
                    model.advance(1_500);
                }));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("faults")
    void staysWithinTheCapacityAndKeepsServing(String name, int minRunning, Consumer<PermitModel> fault) {
        PermitModel model = new PermitModel(11, 3, 8, 8);
        model.advance(1_500);
        model.nodes.forEach(node -> node.request(4, false));
        model.advance(100);

        fault.accept(model);
        model.nodes.forEach(PermitModel.Node::finish);
        model.nodes.forEach(node -> node.request(8, false));
        model.advance(400);

        assertThat(model.excess(), lessThanOrEqualTo(0));
        assertThat(model.running(), greaterThanOrEqualTo(minRunning));
    }

    @Test
    void aColdTargetRampsUpOverAllInstancesTogether() {
        PermitModel model = new PermitModel(12, 3, 40, 4);
        model.advance(20_000);
        model.nodes.forEach(node -> node.request(40, false));
        model.advance(300);
        assertThat(model.running(), is(40));

        model.restart();
        model.nodes.getFirst().recordRestart();
        model.nodes.forEach(PermitModel.Node::finish);
        model.nodes.forEach(node -> node.request(40, false));
        for (int step = 0; step < 100; step++) {
            model.advance(100);
            assertThat("step " + step, model.excess(), lessThanOrEqualTo(0));
        }
        assertThat(model.running(), is(40));
    }

    @Test
    void anOnlineBurstReclaimsThePermitsOfBatch() {
        PermitModel model = new PermitModel(13, 3, 8, 8);
        model.advance(1_500);
        model.nodes.getFirst().request(8, true);
        model.advance(100);
        assertThat(model.running(), is(7));

        model.nodes.getLast().request(8, false);
        model.advance(100);

        assertThat(model.nodes.getLast().online, is(8));
        assertThat(model.excess(), lessThanOrEqualTo(0));
    }

    private static void act(PermitModel model, SplittableRandom random) {
        PermitModel.Node node = model.nodes.get(random.nextInt(model.nodes.size()));
        switch (random.nextInt(24)) {
            case 0 -> node.paused = true;
            case 1 -> node.partitioned = true;
            case 2, 3 -> model.nodes.forEach(other -> other.paused = false);
            case 4, 5 -> model.nodes.forEach(other -> other.partitioned = false);
            case 6 -> node.adopt(model.versions.get(random.nextInt(model.versions.size())));
            case 7, 8 -> changeView(model, node);
            case 9, 10, 11, 12, 13 -> node.finish();
            case 14, 15 -> model.nodes.forEach(other -> other.request(3, random.nextBoolean()));
            case 16 -> model.advance(1_200);
            default -> node.request(1 + random.nextInt(6), random.nextInt(3) == 0);
        }
    }

    private static void changeView(PermitModel model, PermitModel.Node node) {
        View view = model.view();
        boolean member = view.member(node.member.id()).isPresent();
        if (member && view.members().size() < 3) {
            return;
        }
        long version = model.nextVersion();
        model.install(member ? view.withoutMember(version, node.member.id()) : view.withMember(version, node.member));
        model.nodes.forEach(other -> other.adopt(model.versions.getLast()));
        model.acceptedVersion = model.view().version();
    }

    private static Arguments fault(String name, int minRunning, Consumer<PermitModel> fault) {
        return Arguments.of(name, minRunning, fault);
    }
}
