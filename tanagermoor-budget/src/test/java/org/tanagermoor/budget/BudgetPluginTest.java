package org.tanagermoor.budget;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.vavr.collection.HashMap;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.kernel.time.TimeSource;
import org.tanagermoor.policy.budget.BudgetLimits;
import org.tanagermoor.policy.configuration.Preset;
import org.tanagermoor.policy.configuration.Team;
import org.tanagermoor.policy.fleet.TeamId;
import org.tanagermoor.policy.standing.Standing;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

class BudgetPluginTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(20);

    private static final int INSTANCES = 3;

    private static final String ALDER = Budgets.ofTeam("alder");

    @ParameterizedTest
    @EnumSource(BudgetPlugin.Mode.class)
    void servesWithinTheBurstAndRefusesBeyondIt(BudgetPlugin.Mode mode) {
        try (Fleet fleet = new Fleet(INSTANCES, mode)) {
            fleet.adopt(List.of(Team.of(TeamId.of("alder"), 1_000, 30, 1)));
            fleet.instances.forEach(instance -> untilServed(instance, ALDER));
            fleet.adopt(List.of(Team.of(TeamId.of("alder"), 1e-6, 30, 1)));

            long taken = Flux.range(0, 100)
                    .flatMap(index -> take(fleet.instances.get(index % INSTANCES), ALDER))
                    .filter(Either::isRight)
                    .count()
                    .block(TIMEOUT);

            assertThat(taken, lessThanOrEqualTo(30L));
        }
    }

    @Test
    void anInstanceWithoutStandingTakesNothing() {
        try (Fleet fleet = new Fleet(INSTANCES, BudgetPlugin.Mode.LENT)) {
            fleet.adopt(List.of(Team.of(TeamId.of("alder"), 1_000, 30, 1)));
            Fleet.Instance instance = fleet.instances.getFirst();
            untilServed(instance, ALDER);

            instance.membership.standing = Standing.NONE;

            assertThat(take(instance, ALDER).block(TIMEOUT).getLeft().kind(), is(Failure.Kind.NO_STANDING));
        }
    }

    @Test
    void loadsFromTheWeightStoreAreTakenFromOneBudget() {
        try (Fleet fleet = new Fleet(INSTANCES, BudgetPlugin.Mode.LENT)) {
            fleet.adopt(List.of(), Preset.ORDINARY.withEngines(30, HashMap.empty()));
            long startedAt = System.nanoTime();

            untilServed(fleet.instances.getFirst(), BudgetLimits.WEIGHTS);
            untilServed(fleet.instances.getLast(), BudgetLimits.WEIGHTS);
            untilServed(fleet.instances.getFirst(), BudgetLimits.WEIGHTS);

            assertThat(System.nanoTime() - startedAt, greaterThan(TimeUnit.SECONDS.toNanos(1)));
        }
    }

    @Test
    void aTeamWithoutABudgetIsRefused() {
        try (Fleet fleet = new Fleet(INSTANCES, BudgetPlugin.Mode.LENT)) {
            fleet.adopt(List.of());

            Failure failure =
                    take(fleet.instances.getFirst(), ALDER).block(TIMEOUT).getLeft();

            assertThat(failure.kind(), is(Failure.Kind.RATE_LIMITED));
        }
    }

    /**
     * Repeats a request until it is served. A new steward starts with an empty budget, so the first requests may be
     * refused.
     */
    private static void untilServed(Fleet.Instance instance, String budget) {
        take(instance, budget).repeat().filter(Either::isRight).next().block(TIMEOUT);
    }

    private static Mono<Either<Failure, Double>> take(Fleet.Instance instance, String budget) {
        return Mono.defer(() -> {
            long deadline = TimeSource.ForSystem.INSTANCE.nanos() + TimeUnit.SECONDS.toNanos(2);
            return instance.budgets.take(budget, 1, deadline);
        });
    }
}
