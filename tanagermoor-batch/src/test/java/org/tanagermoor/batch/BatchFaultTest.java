package org.tanagermoor.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.tanagermoor.batch.proto.BatchRequest;
import org.tanagermoor.batch.proto.JobRow;
import org.tanagermoor.batch.store.JobRecord;
import org.tanagermoor.kernel.event.EventType;
import org.tanagermoor.kernel.failure.Execution;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.policy.standing.Standing;

class BatchFaultTest {

    private static final Duration LEASE = Duration.ofMillis(400);

    private static FakeFleet fleet(FakeTargets targets) {
        return new FakeFleet(3, 8, LEASE, targets);
    }

    /** Returns a fleet whose leases do not lapse while a JVM is cold on a busy machine. */
    private static FakeFleet steadyFleet() {
        return new FakeFleet(3, 8, BatchRunTest.STEADY_LEASE, targets());
    }

    private static FakeTargets targets() {
        return new FakeTargets(3, 3, 500);
    }

    /** Waits until the given number of runs have started at the targets, and then executes an action once. */
    private static CountDownLatch afterStarts(FakeFleet fleet, int count, Runnable action) {
        AtomicInteger started = new AtomicInteger();
        CountDownLatch done = new CountDownLatch(1);
        fleet.targets.onStart = number -> {
            if (started.incrementAndGet() == count) {
                new Thread(() -> {
                            action.run();
                            done.countDown();
                        })
                        .start();
            }
        };
        return done;
    }

    private static void await(CountDownLatch latch) throws InterruptedException {
        assertThat(latch.await(FakeFleet.LIMIT.toSeconds(), TimeUnit.SECONDS), is(true));
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 7, 39})
    void recordsAnItemWhoseTargetsAreLostAsFailedAndCompletesTheRest(int poison) {
        try (FakeFleet fleet = fleet(targets())) {
            fleet.targets.poison.add(poison);
            fleet.send("job", FakeFleet.lines(40, 0));
            fleet.awaitEnd("job");
            JobRow row = fleet.job("job").row();
            assertThat(row.getFailed(), is(1));
            assertThat(row.getCompleted(), is(39));
            List<String> lines = fleet.results("job");
            assertThat(lines, hasSize(40));
            assertThat(lines.get(poison), containsString("\"outcome\":\"failed\""));
            assertThat(lines.get(poison), containsString("lost three times"));
            assertThat(lines.get(poison), containsString("item-" + poison + "\""));
        }
    }

    @ParameterizedTest
    @CsvSource({"400, failed, 1", "500, failed, 3", "200, completed, 1"})
    void recordsAnItemThatFailsForGoodWithItsReason(int status, String outcome, int runs) {
        try (FakeFleet fleet = fleet(targets())) {
            fleet.targets.statuses.put(3, status);
            fleet.send("job", FakeFleet.lines(10, 0));
            fleet.awaitEnd("job");
            assertThat(fleet.results("job").get(3), containsString("\"outcome\":\"" + outcome + "\""));
            assertThat(BatchRunTest.counts(fleet.targets.started.stream()).get(3), is((long) runs));
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 5, 20, 39})
    void startsNoItemAfterACancelIsAnswered(int started) throws InterruptedException {
        try (FakeFleet fleet = steadyFleet()) {
            Queue<EventType> lapses = BatchRunTest.lapses(fleet);
            AtomicInteger after = new AtomicInteger();
            AtomicBoolean answered = new AtomicBoolean();
            CountDownLatch done = afterStarts(fleet, started, () -> {
                JobRecord job = fleet.firstAlive()
                        .cancel
                        .cancel(FakeFleet.key("job"))
                        .block(FakeFleet.LIMIT)
                        .get();
                after.set(fleet.targets.started.size());
                answered.set(FakeFleet.state(job) != JobRow.State.ACTIVE);
            });
            fleet.send("job", FakeFleet.lines(40, 3));
            await(done);
            fleet.send("other", FakeFleet.lines(40, 0));
            fleet.awaitEnd("other");
            assertThat(lapses, is(empty()));
            assertThat(answered.get(), is(true));
            assertThat(fleet.targets.started.size() - after.get(), is(40));
            int recorded = fleet.results("job").size();
            JobRow.State state = FakeFleet.state(fleet.job("job"));
            assertThat(recorded, state == JobRow.State.DONE ? is(40) : lessThanOrEqualTo(40));
        }
    }

    static Stream<Arguments> cancels() {
        return IntStream.rangeClosed(5, 18)
                .boxed()
                .flatMap(write -> Stream.of(FakePlatform.Fault.CANCEL_BEFORE, FakePlatform.Fault.CANCEL_AFTER)
                        .map(fault -> Arguments.of(fault, write)));
    }

    @ParameterizedTest
    @MethodSource("cancels")
    void endsOnceWhenACancelRacesWithAWrite(FakePlatform.Fault fault, int write) throws InterruptedException {
        try (FakeFleet fleet = fleet(targets())) {
            AtomicInteger after = new AtomicInteger();
            CountDownLatch done = new CountDownLatch(1);
            fleet.platform.cancel = () -> new Thread(() -> {
                        Either<Failure, JobRecord> job = fleet.firstAlive()
                                .cancel
                                .cancel(FakeFleet.key("job"))
                                .block(FakeFleet.LIMIT);
                        after.set(job.isRight() ? fleet.targets.started.size() : -1);
                        done.countDown();
                    })
                    .start();
            fleet.platform.faults.put(write, fault);
            fleet.send("job", FakeFleet.lines(40, 5));
            await(done);
            fleet.send("other", FakeFleet.lines(40, 0));
            fleet.awaitEnd("other");
            assertThat(fleet.targets.started.size() - after.get(), is(40));
            JobRow row = fleet.job("job").row();
            assertThat(row.getState() == JobRow.State.ACTIVE, is(false));
            List<String> lines = fleet.results("job");
            assertThat(lines.stream().distinct().count(), is((long) lines.size()));
            assertThat(row.getState() == JobRow.State.DONE ? lines.size() : 40, is(40));
        }
    }

    static Stream<Arguments> messages() {
        return Stream.of(BatchRequest.KindCase.ASK, BatchRequest.KindCase.RENEW, BatchRequest.KindCase.REPORT)
                .flatMap(kind -> Stream.of(FakeFleet.LinkFault.values())
                        .flatMap(fault -> Stream.of(1, 2, 3).map(number -> Arguments.of(kind, fault, number))));
    }

    @ParameterizedTest
    @MethodSource("messages")
    void completesEachItemOnceDespiteAMessageFault(BatchRequest.KindCase kind, FakeFleet.LinkFault fault, int number) {
        try (FakeFleet fleet = fleet(targets())) {
            fleet.linkKind = kind;
            fleet.linkFault = fault;
            fleet.linkCountdown.set(number);
            fleet.listeners.add(type -> {
                if (type == BatchEvent.LEASE_LAPSED || type == BatchEvent.JOB_DONE) {
                    fleet.instances.forEach(FakeFleet.Instance::thaw);
                }
            });
            if (kind == BatchRequest.KindCase.RENEW) {
                fleet.targets.hold();
                fleet.onLinkFault = fleet.targets::resume;
            }
            fleet.send("job", FakeFleet.lines(400, 5));
            fleet.awaitEnd("job");
            assertThat(fleet.linkCountdown.get(), lessThanOrEqualTo(0));
            BatchRunTest.check(fleet, "job", 400, 5);
        }
    }

    @ParameterizedTest
    @EnumSource(
            value = Standing.class,
            names = {"FULL", "NONE"})
    void refusesWritesOfAReplacedSteward(Standing oldStanding) throws InterruptedException {
        try (FakeFleet fleet = fleet(targets())) {
            CountDownLatch takenOver = new CountDownLatch(2);
            AtomicInteger takeovers = new AtomicInteger();
            fleet.listeners.add(type -> {
                if (type == BatchEvent.JOB_TAKEN_OVER) {
                    takeovers.incrementAndGet();
                    takenOver.countDown();
                }
            });
            fleet.targets.hold();
            CountDownLatch done = afterStarts(fleet, 6, () -> {
                FakeFleet.Instance old = fleet.steward("job");
                old.pinnedConfiguration = old.configuration();
                old.standing = oldStanding;
                fleet.remove(old);
            });
            fleet.send("job", FakeFleet.lines(40, 4));
            await(done);
            await(takenOver);
            fleet.targets.resume();
            fleet.awaitEnd("job");
            BatchRunTest.check(fleet, "job", 40, 4);
            assertThat(fleet.job("job").row().getEpoch(), is(2L));
            assertThat(takeovers.get(), is(2));
        }
    }

    @Test
    void recordsAllThatWasFinishedDuringAnOutageOnceTheStoreIsBack() throws InterruptedException {
        try (FakeFleet fleet = fleet(targets())) {
            CountDownLatch refused = new CountDownLatch(30);
            fleet.platform.refused = refused::countDown;
            fleet.targets.hold();
            CountDownLatch down = afterStarts(fleet, 9, () -> fleet.platform.down = true);
            fleet.send("job", FakeFleet.lines(800, 0));
            await(down);
            fleet.targets.resume();
            await(refused);
            int before = fleet.platform.commits.get();
            assertThat(fleet.targets.started.size(), lessThan(800));
            fleet.platform.down = false;
            fleet.awaitEnd("job");
            assertThat(fleet.platform.commits.get(), greaterThan(before));
            BatchRunTest.check(fleet, "job", 800, 0);
            assertThat(fleet.targets.started.size(), is(800));
        }
    }

    @Test
    void runsItemsAgainWhosePermitsWereRecalled() throws InterruptedException {
        try (FakeFleet fleet = fleet(targets())) {
            fleet.targets.hold();
            CountDownLatch recalled = afterStarts(fleet, 9, fleet.targets::recall);
            fleet.send("job", FakeFleet.lines(40, 0));
            await(recalled);
            fleet.targets.resume();
            fleet.awaitEnd("job");
            BatchRunTest.check(fleet, "job", 40, 0);
            assertThat(fleet.targets.started.size(), greaterThan(40));
            assertThat(fleet.targets.answered.size(), is(40));
        }
    }

    @Test
    void answersAResendThroughAnotherInstanceAlikeAndRefusesOtherContent() {
        try (FakeFleet fleet = fleet(targets())) {
            JobRecord first = fleet.instances
                    .get(0)
                    .send("job", FakeFleet.lines(20, 0))
                    .get()
                    .get();
            JobRecord again = fleet.instances
                    .get(1)
                    .send("job", FakeFleet.lines(20, 0))
                    .get()
                    .get();
            Either<Failure, JobRecord> other =
                    fleet.instances.get(2).send("job", FakeFleet.lines(21, 0)).get();
            assertThat(again.row().getUpload(), is(first.row().getUpload()));
            assertThat(other.getLeft().kind(), is(Failure.Kind.CONFLICT));
            assertThat(other.getLeft().execution(), is(Execution.NOT_RUN));
        }
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "{\"id\":\"a\",\"body\":1}\\nnot json | line 2: ",
                "{\"id\":\"a\",\"body\":1}\\n\\n{\"id\":\"b\"} | line 3: needs a body",
                "{\"id\":\"a\",\"repeatble\":false,\"body\":1} | line 1: has the unknown member repeatble",
                "[] | line 1: is not a JSON object",
                "{\"id\":7,\"body\":1} | line 1: needs an id",
                "{\"id\":\"a\",\"repeatable\":\"no\",\"body\":1} | line 1: has a member repeatable"
            })
    void storesNothingOfAJobWithABadLineAndNamesTheLine(String lines, String problem) {
        try (FakeFleet fleet = fleet(targets())) {
            String text = lines.replace("\\n", "\n");
            Failure failure = fleet.instances.get(0).send("job", text).get().getLeft();
            assertThat(failure.kind(), is(Failure.Kind.INVALID));
            assertThat(failure.detail(), containsString(problem));
            assertThat(
                    fleet.instances
                            .get(0)
                            .store
                            .read(FakeFleet.key("job"))
                            .block()
                            .get()
                            .isEmpty(),
                    is(true));
        }
    }

    @Test
    void acceptsNothingWithoutStanding() {
        try (FakeFleet fleet = fleet(targets())) {
            fleet.instances.get(0).standing = Standing.NONE;
            Failure failure = fleet.instances
                    .get(0)
                    .send("job", FakeFleet.lines(5, 0))
                    .get()
                    .getLeft();
            assertThat(failure.kind(), is(Failure.Kind.NO_STANDING));
            assertThat(failure.execution(), is(Execution.NOT_RUN));
            assertThat(fleet.platform.writes.get(), is(0));
        }
    }

    @Test
    void endsAnUploadThatTakesTooLong() {
        try (FakeFleet fleet = fleet(targets())) {
            Failure failure = fleet.instances.get(0).sendLate("job").getLeft();
            assertThat(failure.kind(), is(Failure.Kind.TIMEOUT));
            assertThat(failure.execution(), is(Execution.NOT_RUN));
        }
    }

    @Test
    void acceptsNothingOnceTheKeyIsWithdrawn() {
        try (FakeFleet fleet = fleet(targets())) {
            fleet.instances.get(0).authorized = false;
            Failure failure = fleet.instances
                    .get(0)
                    .send("job", FakeFleet.lines(5, 0))
                    .get()
                    .getLeft();
            assertThat(failure.kind(), is(Failure.Kind.UNAUTHENTICATED));
            assertThat(
                    fleet.instances
                            .get(0)
                            .store
                            .read(FakeFleet.key("job"))
                            .block()
                            .get()
                            .isEmpty(),
                    is(true));
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 4, 5, 6, 7, 8})
    void completesEachItemOnceUnderSeveralFaults(int seed) {
        Random random = new Random(seed);
        try (FakeFleet fleet = new FakeFleet(5, 8, LEASE, targets())) {
            FakePlatform.Fault[] faults = FakePlatform.Fault.values();
            for (int count = 0; count < 6; count++) {
                FakePlatform.Fault fault = faults[random.nextInt(count < 2 ? 4 : 2) + (count < 2 ? 0 : 2)];
                fleet.platform.faults.put(6 + random.nextInt(40), fault);
            }
            fleet.send("job", FakeFleet.lines(120, 6));
            fleet.awaitEnd("job");
            BatchRunTest.check(fleet, "job", 120, 6);
        }
    }
}
