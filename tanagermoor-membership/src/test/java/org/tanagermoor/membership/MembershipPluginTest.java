package org.tanagermoor.membership;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.policy.configuration.Change;
import org.tanagermoor.policy.configuration.KeyGrant;
import org.tanagermoor.policy.configuration.Preset;
import org.tanagermoor.policy.configuration.Team;
import org.tanagermoor.policy.fleet.FailureDomain;
import org.tanagermoor.policy.fleet.TeamId;
import org.tanagermoor.policy.standing.Standing;

class MembershipPluginTest {

    private static final String[] SHORT_WINDOW = {
        "--gossip-interval-millis", "40", "--freshness-window-millis", "400", "--silence-millis", "60000"
    };

    private static final String[] SHORT_SILENCE = {
        "--gossip-interval-millis", "40", "--freshness-window-millis", "400", "--silence-millis", "800"
    };

    private static final String KEY = "0".repeat(64);

    private static final Team TEAM = Team.of(TeamId.of("alder"), 10, 20, 1);

    @ParameterizedTest
    @ValueSource(ints = {1, 3, 5})
    void aWithdrawnKeyIsInForceEverywhereOnceAccepted(int size) {
        try (FleetFixture fleet = FleetFixture.of(size, SHORT_WINDOW)) {
            accept(fleet.nodes.get(0), new Change.PutTeam(TEAM));
            accept(fleet.nodes.get(size - 1), new Change.GiveKey(KeyGrant.of(KEY, TEAM.id())));
            accept(fleet.nodes.get(0), new Change.WithdrawKey(KEY));

            for (FleetFixture.Node node : fleet.nodes) {
                assertThat(
                        node.plugin.configuration().teamOfKey(KEY).isPresent()
                                && node.standing().serves(),
                        is(false));
            }
        }
    }

    @Test
    void aLargeViewAdoptsAChangeThroughThePullTree() {
        try (FleetFixture fleet = FleetFixture.of(20, "--silence-millis", "60000")) {
            FleetFixture.Node dead = fleet.nodes.get(7);
            long version = accept(fleet.nodes.get(0), new Change.PutTeam(TEAM));
            fleet.nodes.forEach(node -> assertThat(node.version() >= version, is(true)));
            dead.kill();
            long next = accept(fleet.nodes.get(19), new Change.RemoveTeam(TEAM.id()));
            fleet.await(() -> fleet.nodes.stream().allMatch(node -> node.equals(dead) || node.version() >= next));
        }
    }

    @Test
    void oneOfTwoConcurrentChangesGetsAConflict() {
        try (FleetFixture fleet = FleetFixture.of(3, SHORT_WINDOW)) {
            OptionalLong base = OptionalLong.of(fleet.nodes.get(0).version());
            List<Either<Failure, Long>> results = reactor.core.publisher.Flux.range(0, 2)
                    .flatMap(index -> fleet.nodes
                            .get(index)
                            .changes()
                            .record(new Change.TakeOut(FailureDomain.of("d" + index)), "race-" + index, base))
                    .collectList()
                    .block(FleetFixture.AWAIT_TIMEOUT);

            Failure conflict = results.stream()
                    .filter(Either::isLeft)
                    .findFirst()
                    .orElseThrow()
                    .getLeft();
            assertThat(results.stream().filter(Either::isRight).count(), is(1L));
            assertThat(conflict.kind(), is(Failure.Kind.CONFLICT));
            assertThat(conflict.detail(), is("version " + (base.getAsLong() + 1) + " is in force"));
        }
    }

    @ParameterizedTest
    @CsvSource({"0, 1", "1, 0", "2, 1", "0, 3"})
    void aCommitWithALostRequestOrAnswerIsResolved(int requestsLost, int answersLost) {
        try (FleetFixture fleet = FleetFixture.of(3, SHORT_WINDOW)) {
            FleetFixture.Node node = fleet.nodes.get(1);
            long before = node.version();
            node.store.requestsToLose.set(requestsLost);
            node.store.answersToLose.set(answersLost);

            assertThat(record(node, new Change.PutTeam(TEAM), "once").get(), is(before + 1));
            assertThat(
                    record(fleet.nodes.get(2), new Change.PutTeam(TEAM), "once").get(), is(before + 1));
            assertThat(accepted(node, before + 1), is(true));
        }
    }

    @Test
    void aMajorityServesThroughAnOutageAndCatchesUpAfterIt() {
        try (FleetFixture fleet = FleetFixture.of(5, SHORT_SILENCE)) {
            fleet.nodes.forEach(node -> node.store.down = true);
            fleet.await(() -> fleet.nodes.stream().allMatch(node -> node.serves(Standing.OUTAGE)));
            fleet.nodes.get(0).kill();
            fleet.nodes.get(1).kill();
            fleet.await(() -> fleet.nodes.subList(2, 5).stream().allMatch(node -> node.serves(Standing.OUTAGE)));
            assertThat(
                    record(fleet.nodes.get(3), new Change.PutTeam(TEAM), "out")
                            .getLeft()
                            .kind(),
                    is(Failure.Kind.UNAVAILABLE));
            fleet.nodes.forEach(node -> node.store.down = false);
            fleet.await(() -> fleet.nodes.subList(2, 5).stream()
                    .allMatch(node -> node.serves(Standing.FULL) && node.hasAcceptedView(3)));
            accept(fleet.nodes.get(2), new Change.PutTeam(TEAM));
        }
    }

    @Test
    void neitherAMinorityNorANewInstanceHasStandingInAnOutage() {
        try (FleetFixture fleet = FleetFixture.of(5, SHORT_WINDOW)) {
            fleet.nodes.forEach(node -> node.store.down = true);
            fleet.partition(Set.of(fleet.nodes.get(0), fleet.nodes.get(1)));
            fleet.await(() -> fleet.nodes.subList(0, 2).stream().allMatch(node -> node.serves(Standing.NONE))
                    && fleet.nodes.subList(2, 5).stream().allMatch(node -> node.serves(Standing.OUTAGE)));
            FleetFixture.Node newInstance = fleet.start("i9");
            newInstance.store.down = true;
            assertThat(newInstance.standing(), is(Standing.NONE));
        }
    }

    @Test
    void anInstanceThatIsCutOffLosesItsStandingBeforeAChangeIsAccepted() {
        try (FleetFixture fleet = FleetFixture.of(5, SHORT_WINDOW)) {
            FleetFixture.Node isolated = fleet.nodes.get(4);
            accept(fleet.nodes.get(0), new Change.PutTeam(TEAM));
            isolated.store.down = true;
            fleet.partition(Set.of(isolated));
            long version = accept(fleet.nodes.get(0), new Change.PutPreset(Preset.of("peak", 0.5, 0.5, 1)));

            assertThat(isolated.standing().serves() && isolated.version() < version, is(false));
            isolated.store.down = false;
            fleet.partition(Set.of());
            fleet.await(() -> isolated.version() >= version && isolated.serves(Standing.FULL));
        }
    }

    @Test
    void aNewInstanceCatchesUpFromASnapshot() {
        try (FleetFixture fleet = FleetFixture.of(1, SHORT_WINDOW)) {
            FleetFixture.Node node = fleet.nodes.get(0);
            for (int index = 0; index < 300; index++) {
                record(node, new Change.PutTeam(Team.of(TeamId.of("t" + index), 1, 1, 1)), "c" + index)
                        .get();
            }
            fleet.await(() -> !fleet.objects.list("", "", 9).block().get().isEmpty());
            deleteChangesBefore(fleet, 250);
            FleetFixture.Node newInstance = fleet.start("i1");
            fleet.await(() -> newInstance.serves(Standing.FULL) && newInstance.version() == node.version());

            assertThat(newInstance.plugin.configuration().teams().size(), is(300));
            assertThat(newInstance.plugin.configuration(), is(node.plugin.configuration()));
        }
    }

    @Test
    void aSilentMemberIsRemovedAndItsNextIncarnationJoins() {
        try (FleetFixture fleet = FleetFixture.of(3, SHORT_SILENCE)) {
            fleet.nodes.get(2).kill();
            fleet.await(() -> fleet.nodes.subList(0, 2).stream().allMatch(node -> node.hasAcceptedView(2)));
            FleetFixture.Node restarted = fleet.start("i2");
            fleet.await(() -> restarted.hasAcceptedView(3) && restarted.serves(Standing.FULL));
        }
    }

    @Test
    void aRestartedFleetReplacesItsEarlierIncarnations() {
        try (FleetFixture fleet = FleetFixture.of(3, SHORT_WINDOW)) {
            accept(fleet.nodes.get(0), new Change.PutTeam(TEAM));
            List.copyOf(fleet.nodes).forEach(FleetFixture.Node::kill);
            List<FleetFixture.Node> restarted = List.copyOf(fleet.nodes).stream()
                    .map(node -> fleet.start(node.name(), node.link.address()))
                    .toList();
            fleet.await(
                    () -> restarted.stream().allMatch(node -> node.hasAcceptedView(3) && node.serves(Standing.FULL)));
            accept(restarted.get(2), new Change.RemoveTeam(TEAM.id()));
        }
    }

    @Test
    void aPlannedStopMarksTheInstanceAndRemovesIt() {
        try (FleetFixture fleet = FleetFixture.of(3, SHORT_WINDOW)) {
            FleetFixture.Node leaving = fleet.nodes.get(1);
            leaving.plugin.drain();
            fleet.await(() -> fleet.nodes.stream()
                    .allMatch(
                            node -> node.plugin.configuration().usableMembers().size() == 2));
            fleet.await(() -> leaving.standing().serves());
            leaving.plugin.stop();
            fleet.await(() ->
                    fleet.nodes.get(0).hasAcceptedView(2) && fleet.nodes.get(2).hasAcceptedView(2));
        }
    }

    @Test
    void listenersSeeIncreasingVersions() {
        try (FleetFixture fleet = FleetFixture.of(3, SHORT_WINDOW)) {
            List<Long> versions = new java.util.concurrent.CopyOnWriteArrayList<>();
            fleet.nodes.get(2).plugin.onAdopted(configuration -> versions.add(configuration.version()));
            long recorded = 0;
            for (int index = 0; index < 20; index++) {
                Change change = new Change.TakeOut(FailureDomain.of("d" + index));
                recorded =
                        record(fleet.nodes.get(index % 2), change, "v" + index).get();
            }
            long last = recorded;
            fleet.await(() -> versions.contains(last));
            List<Long> received = List.copyOf(versions);
            for (int index = 1; index < received.size(); index++) {
                assertThat(received.get(index - 1) < received.get(index), is(true));
            }
            assertThat(received, everyItem(lessThanOrEqualTo(fleet.nodes.get(2).version())));
        }
    }

    private static long accept(FleetFixture.Node node, Change change) {
        long version =
                record(node, change, java.util.UUID.randomUUID().toString()).get();
        assertThat(accepted(node, version), is(true));
        return version;
    }

    private static boolean accepted(FleetFixture.Node node, long version) {
        return node.changes().accepted(version, Duration.ofSeconds(20)).block(FleetFixture.AWAIT_TIMEOUT);
    }

    private static Either<Failure, Long> record(FleetFixture.Node node, Change change, String id) {
        return node.changes().record(change, id, OptionalLong.empty()).block(FleetFixture.AWAIT_TIMEOUT);
    }

    private static void deleteChangesBefore(FleetFixture fleet, int count) {
        fleet.table
                .scan("membership", "change/", "", count)
                .block()
                .get()
                .rows()
                .forEach(row -> fleet.table
                        .commit(org.tanagermoor.store.table.Transaction.EMPTY.withDelete(row.key()))
                        .block());
    }
}
