package org.tanagermoor.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.tanagermoor.batch.proto.JobRow;
import org.tanagermoor.batch.store.JobRecord;
import org.tanagermoor.http.Json;
import org.tanagermoor.kernel.event.EventType;

class BatchRunTest {

    private static final int ITEMS = 40;

    private static final int DIVISOR = 5;

    /** The maximum number of runs until the write of a fault takes place. */
    private static final int MAX_RUNS = 10;

    private static final Duration LEASE = Duration.ofMillis(400);

    /**
     * The lease where none may lapse. While a JVM is cold on a busy machine, renewals were late by up to 1 s, and after a
     * lapse an item that may not be repeated has an unknown outcome without a start.
     */
    static final Duration STEADY_LEASE = Duration.ofSeconds(10);

    private static FakeFleet fleet() {
        return fleet(LEASE);
    }

    private static FakeFleet fleet(Duration lease) {
        return new FakeFleet(3, 8, lease, new FakeTargets(3, 3, 500));
    }

    /** Returns the events of a fleet that tell of lapsed leases, to which later ones are added. */
    static Queue<EventType> lapses(FakeFleet fleet) {
        Queue<EventType> lapses = new ConcurrentLinkedQueue<>();
        fleet.listeners.add(type -> {
            if (type == BatchEvent.LEASE_LAPSED) {
                lapses.add(type);
            }
        });
        return lapses;
    }

    private static JsonNode read(String line) {
        return Json.read("test", line.getBytes(StandardCharsets.UTF_8)).get();
    }

    /** Checks that each item has one readable result and that the targets have recorded a run with that result. */
    static void check(FakeFleet fleet, String name, int items, int divisor) {
        List<String> lines = fleet.results(name);
        List<String> ids =
                lines.stream().map(line -> read(line).get("id").asText()).toList();
        assertThat(
                ids,
                equalTo(IntStream.range(0, items).mapToObj(n -> "item-" + n).toList()));
        Map<Integer, Long> started = counts(fleet.targets.started.stream());
        Map<Integer, Long> answered = counts(fleet.targets.answered.stream());
        for (int number = 0; number < items; number++) {
            JsonNode line = read(lines.get(number));
            String outcome = line.get("outcome").asText();
            boolean repeatable = divisor == 0 || number % divisor != 0;
            if (outcome.equals("completed")) {
                assertThat(line.get("body").get("double").asInt(), is(2 * number));
                assertThat("answered " + number, answered.getOrDefault(number, 0L) >= 1, is(true));
            } else {
                assertThat("item " + number + " " + line, !repeatable && outcome.equals("unknown"), is(true));
            }
            if (!repeatable) {
                assertThat("started " + number, started.getOrDefault(number, 0L) <= 1, is(true));
            }
        }
    }

    static Map<Integer, Long> counts(Stream<Integer> numbers) {
        return numbers.collect(Collectors.groupingBy(Function.identity(), Collectors.counting()));
    }

    @Test
    void runsEachItemOnce() {
        try (FakeFleet fleet = fleet(STEADY_LEASE)) {
            Queue<EventType> lapses = lapses(fleet);
            fleet.send("job", FakeFleet.lines(ITEMS, DIVISOR));
            fleet.awaitEnd("job");
            assertThat(lapses, is(empty()));
            check(fleet, "job", ITEMS, DIVISOR);
            assertThat(fleet.targets.started.size(), is(ITEMS));
            JobRow row = fleet.job("job").row();
            assertThat(row.getState(), is(JobRow.State.DONE));
            assertThat(row.getCompleted(), is(ITEMS));
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 5})
    void runsItemsAgainThatFullTargetsRefused(int refusals) {
        try (FakeFleet fleet = fleet(STEADY_LEASE)) {
            Queue<EventType> lapses = lapses(fleet);
            for (int number = 0; number < ITEMS; number += 4) {
                fleet.targets.refusals.put(number, refusals);
            }
            fleet.send("job", FakeFleet.lines(ITEMS, 2));
            fleet.awaitEnd("job");
            assertThat(lapses, is(empty()));
            check(fleet, "job", ITEMS, 2);
            assertThat(fleet.targets.started.size(), is(ITEMS));
            assertThat(fleet.job("job").row().getCompleted(), is(ITEMS));
        }
    }

    static Stream<Arguments> faults() {
        List<Arguments> cases = new ArrayList<>();
        for (FakePlatform.Fault fault : FakePlatform.Fault.values()) {
            for (int write = 1; write <= 18 && !fault.name().startsWith("CANCEL"); write++) {
                cases.add(Arguments.of(fault, write));
            }
        }
        return cases.stream();
    }

    @ParameterizedTest
    @MethodSource("faults")
    void completesEachItemOnceWhateverHappensAtAWrite(FakePlatform.Fault fault, int write) {
        // Results that end together share a write, so that a run may end before the write of the fault.
        boolean faulty = false;
        for (int run = 0; !faulty && run < MAX_RUNS; run++) {
            faulty = completesEachItemOnce(fault, write);
        }
        assertThat(faulty, is(true));
    }

    /** Runs a job with a fault at a write, and returns whether the write took place. */
    private static boolean completesEachItemOnce(FakePlatform.Fault fault, int write) {
        try (FakeFleet fleet = fleet()) {
            fleet.platform.faults.put(write, fault);
            boolean freezes = fault.name().startsWith("FREEZE");
            if (freezes) {
                fleet.listeners.add(type -> {
                    if (type == BatchEvent.JOB_TAKEN_OVER || type == BatchEvent.LEASE_LAPSED) {
                        fleet.instances.forEach(FakeFleet.Instance::thaw);
                    }
                });
            }
            JobRecord job =
                    freezes && write <= 5 ? sendWhileFrozen(fleet) : fleet.send("job", FakeFleet.lines(ITEMS, DIVISOR));
            fleet.awaitEnd("job");
            assertThat(job.row().getItems(), is(ITEMS));
            check(fleet, "job", ITEMS, DIVISOR);
            return fleet.platform.faultyWrites.containsKey(write);
        }
    }

    /** Sends a job through the first instance, which a fault freezes meanwhile, and through the second. */
    private static JobRecord sendWhileFrozen(FakeFleet fleet) {
        AtomicReference<Object> first = new AtomicReference<>();
        Thread thread =
                new Thread(() -> first.set(fleet.instances.get(0).send("job", FakeFleet.lines(ITEMS, DIVISOR))));
        thread.start();
        JobRecord job = fleet.instances
                .get(1)
                .send("job", FakeFleet.lines(ITEMS, DIVISOR))
                .get()
                .get();
        fleet.firstAlive().peers.notifySteward(FakeFleet.key("job"));
        return job;
    }
}
