package org.tanagermoor.policy.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.tanagermoor.policy.fleet.InstanceId;

class JobStateTest {

    private static final InstanceId ALDER = InstanceId.of("alder", 1);

    private static final InstanceId BIRCH = InstanceId.of("birch", 1);

    private static final long LEASE = 100;

    private static JobState job(int chunks, int chunkSize) {
        return JobState.of(1, chunks(chunks, chunkSize), List.of(), 0);
    }

    private static List<ItemSet> chunks(int chunks, int chunkSize) {
        return IntStream.range(0, chunks)
                .mapToObj(chunkIndex -> ItemSet.of(chunkIndex * chunkSize, (chunkIndex + 1) * chunkSize))
                .toList();
    }

    private static ChunkLease latestLease(JobState state) {
        return state.leases().last()._2();
    }

    private static Progress.Completed completed(ItemSet items, String object) {
        return new Progress.Completed(items, object, Outcomes.of(items.size(), 0, 0));
    }

    private static ChunkReport report(long lease, ItemSet done, ItemSet lost) {
        return ChunkReport.of(
                lease, done.isEmpty() ? Option.none() : Option.some(completed(done, "object-" + done)), lost);
    }

    @Test
    void lendsEachChunkOnceAndFinishesWhenAllIsRecorded() {
        JobState state = job(3, 4);
        List<Progress> log = new ArrayList<>();
        for (int count = 0; count < 3; count++) {
            state = state.lend(ALDER, 0, LEASE).get();
            ItemSet items = latestLease(state).chunk().items();
            JobState.Step step = state.report(report(latestLease(state).id(), items, ItemSet.EMPTY))
                    .get();
            assertThat(step.state().finished(), is(false));
            state = step.state().recorded(step.entries());
            log.addAll(step.entries());
        }
        assertThat(state.lend(ALDER, 0, LEASE).isDefined(), is(false));
        assertThat(state.finished(), is(true));
        assertThat(state.outcomes(), is(Outcomes.of(12, 0, 0)));
        assertThat(JobState.of(2, chunks(3, 4), log, 0).finished(), is(true));
    }

    @ParameterizedTest
    @CsvSource({"0, 99, false", "0, 100, true", "50, 149, false", "50, 150, true"})
    void lapsesALeaseThatIsNotRenewed(long renewedAt, long now, boolean lapsed) {
        JobState state = job(1, 4).lend(ALDER, 0, LEASE).get();
        long id = latestLease(state).id();
        state = state.renew(id, ALDER, renewedAt + LEASE).get();
        JobState.Step step = state.lapse(now);
        assertThat(step.entries(), hasSize(lapsed ? 1 : 0));
        assertThat(step.state().pending().size(), is(lapsed ? 2 : 0));
        assertThat(step.state().renew(id, ALDER, now + LEASE).isDefined(), is(!lapsed));
        assertThat(step.state().renew(id, BIRCH, now + LEASE).isDefined(), is(false));
    }

    @ParameterizedTest
    @CsvSource({"pending, true", "lent, false", "recorded, false", "cancelled, false"})
    void acceptsALateReportOnlyWhileItsItemsArePending(String place, boolean accepted) {
        JobState state = job(1, 4).lend(ALDER, 0, LEASE).get();
        ChunkLease late = latestLease(state);
        ItemSet items = late.chunk().items();
        state = state.lapse(LEASE).state();
        if (place.equals("lent")) {
            state = state.lend(BIRCH, LEASE, 2 * LEASE).get();
        } else if (place.equals("recorded")) {
            while (state.lend(BIRCH, LEASE, 2 * LEASE).isDefined()) {
                state = state.lend(BIRCH, LEASE, 2 * LEASE).get();
                ChunkLease lease = latestLease(state);
                state = state.report(report(lease.id(), lease.chunk().items(), ItemSet.EMPTY))
                        .get()
                        .state();
            }
        } else if (place.equals("cancelled")) {
            state = state.cancel();
        }
        assertThat(state.report(report(late.id(), items, ItemSet.EMPTY)).isDefined(), is(accepted));
    }

    @ParameterizedTest
    @CsvSource({"0, 2, 2, 4, false", "0, 4, 2, 4, false", "0, 2, 2, 5, false", "0, 2, 2, 3, true", "0, 0, 0, 0, true"})
    void acceptsAReportOnlyOfItemsThatWereLentAndNamedOnce(
            int from, int to, int lostFrom, int lostTo, boolean accepted) {
        JobState state = job(2, 3).lend(ALDER, 0, LEASE).get();
        ChunkReport report = report(latestLease(state).id(), ItemSet.of(from, to), ItemSet.of(lostFrom, lostTo));
        assertThat(state.report(report).isDefined(), is(accepted));
    }

    @ParameterizedTest
    @CsvSource({"1, TARGET, 3", "2, TARGET, 4", "4, TARGET, 5", "16, TARGET, 7", "128, TARGET, 10", "1, WORKER, 10"})
    void isolatesAnItemThatMakesTargetsOrWorkersFail(int items, LossCause cause, int losses) {
        JobState state = job(1, items);
        List<Progress> log = new ArrayList<>();
        int lost = 0;
        while (!state.finished()) {
            state = state.lend(ALDER, 0, LEASE).get();
            ChunkLease lease = latestLease(state);
            ItemSet chunk = lease.chunk().items();
            JobState.Step step;
            if (!chunk.contains(items - 1)) {
                step = state.report(report(lease.id(), chunk, ItemSet.EMPTY)).get();
            } else {
                lost++;
                step = cause == LossCause.TARGET
                        ? state.report(report(lease.id(), ItemSet.EMPTY, chunk)).get()
                        : state.lapse(LEASE);
            }
            log.addAll(step.entries());
            state = step.state().recorded(step.entries());
        }
        assertThat(lost, is(losses));
        assertThat(state.outcomes(), is(Outcomes.of(items - 1, 1, 0)));
        assertThat(log.get(log.size() - 1), instanceOf(Progress.Abandoned.class));
    }

    @Test
    void lendsOneSuspectAtATime() {
        JobState state = job(1, 8);
        for (int loss = 0; loss < 2; loss++) {
            state = state.lend(ALDER, 0, LEASE).get();
            ChunkLease lease = latestLease(state);
            state = state.report(report(lease.id(), ItemSet.EMPTY, lease.chunk().items()))
                    .get()
                    .state();
        }
        state = state.lend(ALDER, 0, LEASE).get();
        assertThat(latestLease(state).chunk().suspect(), is(true));
        state = state.lend(BIRCH, 0, LEASE).get();
        assertThat(latestLease(state).chunk().suspect(), is(false));
        assertThat(state.lendable(0), is(false));
    }

    @ParameterizedTest
    @CsvSource({"0, false, false", "9, false, false", "10, true, true"})
    void lendsAndStopsOnlyOnceLeasesOfAnEarlierStewardHaveLapsed(long now, boolean lends, boolean stopped) {
        JobState state = JobState.of(2, chunks(1, 4), List.of(), 10);
        assertThat(state.lend(ALDER, now, now + LEASE).isDefined(), is(lends));
        assertThat(state.cancel().stopped(now), is(stopped));
        assertThat(state.cancel().lend(ALDER, now, now + LEASE).isDefined(), is(false));
    }

    @Test
    void stopsWhenTheLeasesOfACancelledJobAreDroppedOrLapse() {
        JobState state =
                job(3, 4).lend(ALDER, 0, LEASE).get().lend(BIRCH, 0, LEASE).get();
        long first = state.leases().head()._1();
        state = state.cancel();
        assertThat(state.stopped(0), is(false));
        assertThat(state.drop(first).stopped(0), is(false));
        assertThat(state.drop(first).lapse(LEASE).state().stopped(LEASE), is(true));
        assertThat(state.lapse(LEASE).entries(), hasSize(0));
    }

    @Test
    void extendsLeasesByThePauseOfTheSteward() {
        JobState state = job(1, 4).lend(ALDER, 0, LEASE).get().extendLeases(1_000);
        assertThat(state.lapse(1_000 + LEASE - 1).entries(), hasSize(0));
        assertThat(state.lapse(1_000 + LEASE).entries(), hasSize(1));
    }

    /**
     * Runs random sequences of leases, reports, losses, expiries and takeovers; each item must be recorded exactly
     * once.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
    void recordsEachItemOnceInEveryRandomRun(long seed) {
        Random random = new Random(seed);
        List<ItemSet> chunks = chunks(5, 9);
        List<Progress> log = new ArrayList<>();
        JobState state = JobState.of(1, chunks, log, 0);
        List<ChunkLease> old = new ArrayList<>();
        long now = 0;
        for (int step = 0; !state.finished(); step++) {
            now += random.nextInt(30);
            if (random.nextInt(12) == 0) {
                state = JobState.of(step + 2, chunks, log, now);
            }
            JobState.Step next = randomStep(state, random, now, old);
            log.addAll(next.entries());
            state = next.state().recorded(next.entries());
            state.leases().values().forEach(old::add);
        }
        Map<Integer, Integer> recorded = new HashMap<>();
        log.stream()
                .filter(entry -> !(entry instanceof Progress.Lost))
                .forEach(entry -> entry.items().indexes().forEach(index -> recorded.merge(index, 1, Integer::sum)));
        assertThat(recorded.size(), is(45));
        assertThat(recorded.values().stream().allMatch(count -> count == 1), is(true));
        assertThat(state.outcomes().total(), is(45));
    }

    private static JobState.Step randomStep(JobState state, Random random, long now, List<ChunkLease> old) {
        if (random.nextBoolean() || old.isEmpty()) {
            return new JobState.Step(state.lend(ALDER, now, now + LEASE).getOrElse(state), List.of());
        }
        if (random.nextInt(4) == 0) {
            return state.lapse(now);
        }
        ChunkLease lease = old.get(random.nextInt(old.size()));
        List<ItemSet> halves = lease.chunk().items().halves();
        ItemSet lost = random.nextInt(3) == 0 ? halves.get(1) : ItemSet.EMPTY;
        ItemSet done = random.nextInt(5) == 0 ? ItemSet.EMPTY : halves.get(0);
        return state.report(report(lease.id(), done, lost)).getOrElse(new JobState.Step(state, List.of()));
    }
}
