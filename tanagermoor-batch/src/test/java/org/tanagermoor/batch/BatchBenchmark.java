package org.tanagermoor.batch;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.tanagermoor.batch.accept.JobRequest;
import org.tanagermoor.policy.fleet.TeamId;
import org.tanagermoor.store.table.RowKey;
import org.tanagermoor.store.table.Transaction;
import org.tanagermoor.target.client.TargetRequest;
import org.tanagermoor.target.lease.LeaseRequest;
import org.tanagermoor.target.lease.Priority;
import org.tanagermoor.target.lease.TargetLease;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Measures batch with fakes. Run by hand: {@code throughput}, {@code accept}, {@code kill}, {@code yield}, {@code
 * resume} or {@code rings}.
 */
final class BatchBenchmark {

    private static final int TARGETS = 6;

    private static final int CAPACITY = 16;

    private static final long LATENCY_MICROS = 5_000;

    private static final long WRITES_PER_SECOND = 400;

    private BatchBenchmark() {}

    public static void main(String[] arguments) {
        switch (arguments[0]) {
            case "throughput" -> throughput(Integer.parseInt(arguments[1]));
            case "accept" -> accept(Integer.parseInt(arguments[1]), Integer.parseInt(arguments[2]));
            case "kill" -> kill(Integer.parseInt(arguments[1]), Duration.ofMillis(Long.parseLong(arguments[2])));
            case "yield" -> yieldToOnline(Integer.parseInt(arguments[1]));
            case "resume" -> resumption(Integer.parseInt(arguments[1]));
            case "rings" -> RingSimulation.run(Long.parseLong(arguments[1]));
            default -> throw new IllegalArgumentException(arguments[0]);
        }
        System.exit(0);
    }

    private static void limit(FakePlatform platform) {
        platform.answerNanos = 2_000_000;
        platform.writeNanos = 1_000_000_000 / WRITES_PER_SECOND;
    }

    private static void throughput(int items) {
        System.out.println("variant,chunk,items,seconds,items_per_s,writes,writes_per_s,reads");
        for (int round = 0; round < 3; round++) {
            perItem(Math.min(items, 3_000));
            for (int chunk : new int[] {1, 4, 16, 64, 128, 256, 512}) {
                chunks(chunk == 1 ? Math.min(items, 3_000) : items, chunk);
            }
        }
    }

    private static void chunks(int items, int chunk) {
        FakeTargets targets = new FakeTargets(TARGETS, CAPACITY, LATENCY_MICROS);
        try (FakeFleet fleet = new FakeFleet(3, chunk, Duration.ofSeconds(5), targets, 64, 33_554_432)) {
            limit(fleet.platform);
            String lines = FakeFleet.lines(items, 0);
            fleet.instances.get(0).send("job", lines);
            int writes = fleet.platform.writes.get();
            int reads = fleet.platform.reads.get();
            long startedAt = System.nanoTime();
            fleet.firstAlive().peers.notifySteward(FakeFleet.key("job"));
            fleet.done
                    .computeIfAbsent(FakeFleet.key("job").id(), id -> reactor.core.publisher.Sinks.one())
                    .asMono()
                    .block(Duration.ofMinutes(3));
            print(
                    "chunks",
                    chunk,
                    items,
                    startedAt,
                    fleet.platform.writes.get() - writes,
                    fleet.platform.reads.get() - reads);
            BatchRunTest.check(fleet, "job", items, 0);
        }
    }

    /** Kills half of the instances when half of the items have started. */
    private static void kill(int items, Duration lease) {
        System.out.println("instances,killed,items,seconds,begun,lent_again");
        for (int killed : new int[] {0, 3, 0, 3, 0, 3}) {
            FakeTargets targets = new FakeTargets(TARGETS, CAPACITY, LATENCY_MICROS);
            try (FakeFleet fleet = new FakeFleet(6, 64, lease, targets, 32, 33_554_432)) {
                limit(fleet.platform);
                AtomicInteger startedRuns = new AtomicInteger();
                targets.onStart = number -> {
                    if (startedRuns.incrementAndGet() == items / 2) {
                        fleet.instances.stream()
                                .sorted(java.util.Comparator.comparing(instance -> instance != fleet.steward("job")))
                                .limit(killed)
                                .forEach(FakeFleet.Instance::kill);
                    }
                };
                fleet.send("job", FakeFleet.lines(items, 0));
                long startedAt = System.nanoTime();
                fleet.awaitEnd("job");
                double seconds = (System.nanoTime() - startedAt) / 1e9;
                BatchRunTest.check(fleet, "job", items, 0);
                long again = fleet.instances.stream()
                        .mapToLong(instance -> BatchMetrics.of(instance.registry)
                                .chunksLentAgain()
                                .getCount())
                        .sum();
                System.out.println(String.format(
                        Locale.ROOT, "6,%d,%d,%.2f,%d,%d", killed, items, seconds, startedRuns.get(), again));
            }
        }
    }

    /**
     * Recalls all permits after every 2,000 tokens, with targets that remember cancelled streams and targets that
     * forget them.
     */
    private static void resumption(int items) {
        System.out.println("targets,known,items,recalls,seconds,tokens,tokens_run_twice");
        int tokens = 50;
        for (int round = 0; round < 3; round++) {
            for (int count : new int[] {1, TARGETS}) {
                for (boolean losesStreams : new boolean[] {true, false}) {
                    FakeTargets targets = new FakeTargets(count, TARGETS * CAPACITY / count, 2_000, tokens);
                    targets.losesStreams = losesStreams;
                    AtomicInteger recalls = new AtomicInteger();
                    targets.onToken = run -> {
                        if (run % 2_000 == 0 && run <= 2_000L * 40) {
                            recalls.incrementAndGet();
                            targets.recall();
                        }
                    };
                    try (FakeFleet fleet = new FakeFleet(3, 64, Duration.ofSeconds(5), targets, 64, 33_554_432)) {
                        long startedAt = System.nanoTime();
                        fleet.send("job", FakeFleet.lines(items, 0));
                        fleet.awaitEnd("job");
                        double seconds = (System.nanoTime() - startedAt) / 1e9;
                        long run = targets.tokensRun.get();
                        System.out.println(String.format(
                                Locale.ROOT,
                                "%d,%b,%d,%d,%.2f,%d,%d",
                                count,
                                !losesStreams,
                                items,
                                recalls.get(),
                                seconds,
                                run,
                                run - (long) items * tokens));
                    }
                }
            }
        }
    }

    /** Recalls all permits while items run, and measures the time until all are free and until items run again. */
    private static void yieldToOnline(int rounds) {
        long[] freed = new long[rounds];
        long[] used = new long[rounds];
        FakeTargets targets = new FakeTargets(TARGETS, CAPACITY, LATENCY_MICROS);
        try (FakeFleet fleet = new FakeFleet(3, 64, Duration.ofSeconds(5), targets, 64, 33_554_432)) {
            targets.hold();
            fleet.send("job", FakeFleet.lines(20_000, 0));
            for (int round = 0; round < rounds; round++) {
                spin(() -> targets.running() == TARGETS * CAPACITY);
                long startedAt = System.nanoTime();
                targets.recall();
                freed[round] = (System.nanoTime() - startedAt) / 1_000;
                spin(() -> targets.running() == TARGETS * CAPACITY);
                used[round] = (System.nanoTime() - startedAt) / 1_000;
            }
        }
        System.out.println("96 items running, " + rounds + " recalls of all");
        print("cancelled after", freed);
        print("all running again after", used);
    }

    private static void print(String name, long[] micros) {
        java.util.Arrays.sort(micros);
        System.out.println(name + ", microseconds: median " + micros[micros.length / 2] + ", maximum "
                + micros[micros.length - 1]);
    }

    private static void spin(java.util.function.BooleanSupplier condition) {
        long limit = System.nanoTime() + 10_000_000_000L;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > limit) {
                throw new IllegalStateException("the condition did not hold within 10 s");
            }
            Thread.onSpinWait();
        }
    }

    /** The baseline: each item is recorded by a separate conditional write. */
    private static void perItem(int items) {
        FakeTargets targets = new FakeTargets(TARGETS, CAPACITY, LATENCY_MICROS);
        FakePlatform platform = new FakePlatform();
        limit(platform);
        var tables = platform.tables(new AlwaysAlive());
        long startedAt = System.nanoTime();
        Flux.range(0, items)
                .flatMap(
                        number -> targets.lease(request())
                                .flatMap(lease -> answer(targets, lease.get(), number))
                                .then(Mono.defer(() -> tables.commit(Transaction.EMPTY
                                        .withCondition(RowKey.of("item", "" + number), Transaction.ABSENT)
                                        .withPut(RowKey.of("item", "" + number), new byte[50])))),
                        192)
                .blockLast(Duration.ofMinutes(3));
        print("write per item", 1, items, startedAt, platform.writes.get(), 0);
    }

    private static Mono<Void> answer(FakeTargets targets, TargetLease lease, int number) {
        byte[] body = ("{\"n\":" + number + "}").getBytes(StandardCharsets.UTF_8);
        TargetRequest request =
                new TargetRequest("x-" + number, "POST", "/", "application/json", body, Duration.ofSeconds(5));
        return targets.send(lease.target(), request)
                .doFinally(signal -> lease.release(TargetLease.Result.ANSWERED))
                .then();
    }

    private static LeaseRequest request() {
        return new LeaseRequest(
                FakeFleet.SERVICE, TeamId.of("alder"), 1, Priority.BATCH, "", java.util.Set.of(), Long.MAX_VALUE);
    }

    private static void print(String variant, int chunk, int items, long startedAt, int writes, int reads) {
        double seconds = (System.nanoTime() - startedAt) / 1e9;
        System.out.println(String.format(
                Locale.ROOT,
                "%s,%d,%d,%.2f,%.0f,%d,%.1f,%d",
                variant,
                chunk,
                items,
                seconds,
                items / seconds,
                writes,
                writes / seconds,
                reads));
    }

    /** Accepts a job from a stream. Its objects are counted but not kept. */
    private static void accept(int items, int bodyBytes) {
        FakeTargets targets = new FakeTargets(1, 1, LATENCY_MICROS);
        try (FakeFleet fleet = new FakeFleet(1, 128, Duration.ofSeconds(5), targets)) {
            fleet.platform.keepObjects = false;
            String filler = "x".repeat(bodyBytes);
            AtomicLong bytes = new AtomicLong();
            AtomicLong maxHeapBytes = new AtomicLong();
            AtomicInteger sent = new AtomicInteger();
            Flux<byte[]> body = Flux.range(0, items).map(number -> {
                if (sent.incrementAndGet() % 10_000 == 0) {
                    System.gc();
                    Runtime runtime = Runtime.getRuntime();
                    maxHeapBytes.accumulateAndGet(runtime.totalMemory() - runtime.freeMemory(), Math::max);
                }
                byte[] line = ("{\"id\":\"item-" + number + "\",\"body\":{\"prompt\":\"" + filler + "\"}}\n")
                        .getBytes(StandardCharsets.UTF_8);
                bytes.addAndGet(line.length);
                return line;
            });
            System.gc();
            Runtime runtime = Runtime.getRuntime();
            long before = runtime.totalMemory() - runtime.freeMemory();
            long startedAt = System.nanoTime();
            JobRequest request = new JobRequest(FakeFleet.key("job"), FakeFleet.SERVICE, 1, true, () -> true);
            int accepted = fleet.instances
                    .get(0)
                    .send(request, body)
                    .orElseThrow()
                    .get()
                    .row()
                    .getItems();
            System.out.println(String.format(
                    Locale.ROOT,
                    "items %d, bytes %d, seconds %.1f, writes %d, live heap before %.1f MB, maximum %.1f MB, limit %.0f MB",
                    accepted,
                    bytes.get(),
                    (System.nanoTime() - startedAt) / 1e9,
                    fleet.platform.writes.get(),
                    before / 1e6,
                    maxHeapBytes.get() / 1e6,
                    runtime.maxMemory() / 1e6));
        }
    }

    private static final class AlwaysAlive implements FakePlatform.Client {

        @Override
        public boolean alive() {
            return true;
        }

        @Override
        public void kill() {
            // Never killed.
        }

        @Override
        public void freeze() {
            // Never frozen.
        }

        @Override
        public void waitUntilThawed() {
            // Never frozen.
        }
    }
}
