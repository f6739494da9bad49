package org.tanagermoor.gateway.job;

import com.codahale.metrics.MetricRegistry;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import org.tanagermoor.gateway.FleetState;
import org.tanagermoor.gateway.GatewayEvent;
import org.tanagermoor.gateway.GatewayMetrics;
import org.tanagermoor.gateway.dispatch.DispatchClient;
import org.tanagermoor.gateway.dispatch.DispatchServer;
import org.tanagermoor.gateway.dispatch.TeamRates;
import org.tanagermoor.gateway.duty.Duties;
import org.tanagermoor.gateway.edge.CallHead;
import org.tanagermoor.gateway.edge.CallerRequest;
import org.tanagermoor.gateway.follow.ChangeFeed;
import org.tanagermoor.gateway.follow.StoreClock;
import org.tanagermoor.gateway.forward.Delivery;
import org.tanagermoor.gateway.forward.TargetConnections;
import org.tanagermoor.gateway.forward.TargetHead;
import org.tanagermoor.gateway.forward.TargetObserver;
import org.tanagermoor.gateway.member.Instance;
import org.tanagermoor.gateway.member.Liveness;
import org.tanagermoor.gateway.proto.JobItem;
import org.tanagermoor.gateway.quarantine.PartQuarantine;
import org.tanagermoor.kernel.event.EventLog;
import org.tanagermoor.kernel.event.EventRecord;
import org.tanagermoor.kernel.event.EventType;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.kernel.time.HybridClock;
import org.tanagermoor.kernel.time.TimeSource;
import org.tanagermoor.policy.fleet.InstanceId;
import org.tanagermoor.policy.prompt.Prompt;
import org.tanagermoor.policy.quarantine.Quarantine;
import org.tanagermoor.store.object.ObjectStore;
import org.tanagermoor.store.table.CommitResult;
import org.tanagermoor.store.table.Row;
import org.tanagermoor.store.table.RowKey;
import org.tanagermoor.store.table.RowPage;
import org.tanagermoor.store.table.TableService;
import org.tanagermoor.store.table.Transaction;
import reactor.core.publisher.Mono;

/**
 * Simulates the jobs of several instances on one event loop with a simulated clock, under seeded faults: of the store,
 * whose calls fail, throw, are answered late or not at all, and take effect although they failed, also later; of the
 * feed, whose rows come late, twice, in any order, or are dropped and come back; and of the instances, which are killed
 * or stopped as planned, and start again. Runs of items end at once; some break off after an event.
 */
final class JobFleet {

    /** The time after which a call of the store fails that was not answered, in milliseconds. */
    private static final int CALL_TIMEOUT_MILLIS = 4_500;

    private static final int INSTANCES = 3;

    private static final int TARGETS = 16;

    private static final int STEP_MILLIS = 10;

    private static final int TICK_MILLIS = 250;

    /** The events of a whole answer. */
    private static final String EVENTS = "id: 1\ndata: one\n\nid: 2\ndata: two\n\n";

    private final Random random;

    private final EmbeddedChannel channel = new EmbeddedChannel();

    private final TableService tables = TableService.InMemory.of();

    private final ObjectStore objects = ObjectStore.InMemory.of();

    /** Reads what is stored, without faults. */
    private final JobStore stored = JobStore.of(tables, objects);

    private final TimeSource time = new Clock();

    private final List<Member> members = new ArrayList<>();

    /** The number of items of each accepted job. */
    private final Map<String, Integer> accepted = new TreeMap<>();

    /** The jobs that a caller has asked to end. */
    private final Set<String> ended = new LinkedHashSet<>();

    private long now = TimeUnit.SECONDS.toNanos(100);

    private long incarnations;

    /** Whether faults come. */
    private boolean faulty;

    private JobFleet(long seed) {
        random = new Random(seed);
        IntStream.range(0, INSTANCES).forEach(number -> members.add(new Member(number)));
    }

    /** Returns a fleet that has just started. */
    static JobFleet of(long seed) {
        return new JobFleet(seed);
    }

    /** Submits jobs for a time in milliseconds, under faults. */
    JobFleet runWithFaults(long millis) {
        faulty = true;
        for (long elapsed = 0; elapsed < millis; elapsed += STEP_MILLIS) {
            if (elapsed % 500 == 0) {
                submit("j-" + elapsed / 500, 1 + random.nextInt(8));
            }
            if (random.nextInt(150) == 0) {
                any().fail();
            }
            if (random.nextInt(300) == 0 && !accepted.isEmpty()) {
                String job = List.copyOf(accepted.keySet()).get(random.nextInt(accepted.size()));
                any().end(job);
            }
            step(elapsed);
        }
        faulty = false;
        return this;
    }

    /** Goes on without faults for a time in milliseconds. */
    JobFleet runSoundly(long millis) {
        for (long elapsed = 0; elapsed < millis; elapsed += STEP_MILLIS) {
            step(elapsed);
        }
        return this;
    }

    /** Returns the number of accepted jobs. */
    int acceptedCount() {
        return accepted.size();
    }

    /** Returns what is wrong with the accepted jobs: each item is to be listed once, with its whole output. */
    List<String> problems() {
        List<String> problems = new ArrayList<>();
        accepted.forEach((job, items) -> {
            JobRecord record = stored.read(job).block().get().orElseThrow();
            List<JobResult> results = new ArrayList<>();
            while (results.size() < record.row().getRecorded()) {
                results.addAll(stored.results(job, results.size(), record.row().getRecorded())
                        .block()
                        .get()
                        .results());
            }
            long listed = results.stream().map(JobResult::item).distinct().count();
            boolean whole = results.stream()
                    .allMatch(result -> result.completed() && result.output().equals("one\ntwo"));
            if (listed != results.size() || !whole || (listed < items && !ended.contains(job))) {
                problems.add("job " + job + " of " + items + " items, owner "
                        + record.row().getOwner() + ": " + results);
            }
        });
        return problems;
    }

    private void step(long elapsed) {
        now += TimeUnit.MILLISECONDS.toNanos(STEP_MILLIS);
        channel.advanceTimeBy(STEP_MILLIS, TimeUnit.MILLISECONDS);
        if (elapsed % TICK_MILLIS == 0) {
            List.copyOf(members).forEach(Member::tick);
        }
        channel.runPendingTasks();
    }

    private Member any() {
        return members.get(random.nextInt(members.size()));
    }

    /** Submits a job, again at another instance until it is accepted. */
    private void submit(String job, int items) {
        if (!accepted.containsKey(job) && faulty) {
            any().submit(job, items);
            later(2_000, () -> submit(job, items));
        }
    }

    private void later(long millis, Runnable action) {
        channel.eventLoop().schedule(action, millis, TimeUnit.MILLISECONDS);
    }

    /** Passes an answer of the store on to an instance that has not ended. */
    private static void answer(Member caller, Runnable answer) {
        if (caller.up) {
            answer.run();
        }
    }

    /** Makes a call of the store, which may fail in any way. */
    private <T> Mono<Either<Failure, T>> call(Member caller, Supplier<Mono<Either<Failure, T>>> call) {
        int kind = faulty ? random.nextInt(24) : -1;
        int millis = faulty ? random.nextInt(300) : 5;
        if (kind == 0) {
            throw new IllegalStateException("as in a test");
        }
        return Mono.create(sink -> {
            Either<Failure, T> failure = Either.left(
                    Failure.unknown(Failure.Kind.TIMEOUT, "store.call", JobsTest.ADDRESS.toString(), "as in a test"));
            switch (kind) {
                case 1 -> later(millis, () -> answer(caller, () -> sink.error(new IllegalStateException("in a test"))));
                case 2 -> later(CALL_TIMEOUT_MILLIS, () -> answer(caller, () -> sink.success(failure)));
                case 3, 4 -> {
                    later(random.nextInt(2 * millis + 1), call.get()::subscribe);
                    later(millis, () -> answer(caller, () -> sink.success(failure)));
                }
                case 5 ->
                    call.get()
                            .subscribe(result ->
                                    later(CALL_TIMEOUT_MILLIS - 1, () -> answer(caller, () -> sink.success(result))));
                default ->
                    later(
                            millis / 2,
                            () -> call.get()
                                    .subscribe(result ->
                                            later(millis / 2, () -> answer(caller, () -> sink.success(result)))));
            }
        });
    }

    /** An instance, until it ends. */
    private final class Member {

        private final int number;

        private final Liveness liveness;

        private final FleetState fleet;

        private final DispatchClient dispatch;

        private final DispatchServer server;

        private final Duties duties;

        private final Map<Long, ItemRun> runs = new HashMap<>();

        private final Jobs jobs;

        /** The rows of jobs that the feed has delivered, by job. */
        private final Map<String, List<ChangeFeed.Change>> delivered = new HashMap<>();

        private boolean up = true;

        Member(int number) {
            this.number = number;
            Instance instance = new Instance(
                    InstanceId.of("i-" + number, ++incarnations), JobsTest.ADDRESS, JobsTest.ADDRESS, "lisbon", 0, 1);
            liveness = Liveness.of(instance);
            EventLog log = new Log(this);
            fleet = FleetState.of(new JobsTest.Codec(), log, () -> {});
            fleet.operatorChanged(List.of(new ChangeFeed.Change("config", 1, new byte[0])));
            IntStream.range(0, TARGETS)
                    .forEach(target -> fleet.targetsChanged(
                            List.of(new ChangeFeed.Change("t-" + target, 2, new byte[0])), now, now));
            JobsTest.NoPeers link = new JobsTest.NoPeers();
            // Each instance has places of its own.
            Liveness alone = Liveness.of(instance);
            server = DispatchServer.of(channel.eventLoop(), link, alone, time, TeamRates.of(), Quarantine.of());
            server.dispatcher().targets(fleet.usable(), service -> 0, now);
            dispatch = DispatchClient.of(channel.eventLoop(), link, alone, server, log, time);
            GatewayMetrics metrics = GatewayMetrics.of(new MetricRegistry());
            duties = Duties.of(channel.eventLoop(), log, metrics, time, () -> {});
            JobContext context = new JobContext(
                    channel.eventLoop(),
                    fleet,
                    dispatch,
                    TargetConnections.of(
                            channel.eventLoop(), new JobsTest.Protocol(), time, TargetObserver.Disabled.INSTANCE),
                    JobStore.of(new FaultyTables(this), new FaultyObjects(this)),
                    log,
                    metrics,
                    time,
                    PartQuarantine.of(
                            Quarantine.of(), TableService.InMemory.of(), channel.eventLoop(), duties, log, time),
                    "lisbon",
                    runs,
                    ItemPace.of(),
                    String::length,
                    duties,
                    Duration.ofSeconds(1_000),
                    StoreClock.of(),
                    () -> now);
            jobs = Jobs.of(context, liveness, () -> true);
        }

        /** Kills the instance, or stops it as planned; it starts again after a while. */
        void fail() {
            if (!up || liveness.stopping()) {
                return;
            }
            if (random.nextBoolean()) {
                up = false;
            } else {
                liveness.stop();
                jobs.handOver();
                later(2_500, () -> up = false);
            }
            later(3_000 + random.nextInt(5_000), () -> members.set(number, new Member(number)));
        }

        void tick() {
            if (up) {
                members.stream()
                        .filter(other -> other.up)
                        .forEach(other -> liveness.observe(
                                new Liveness.Heartbeat(other.liveness.self(), 0, other.liveness.stopping()), now));
                dispatch.tick(now);
                server.tick(now);
                accepted.keySet().forEach(this::deliver);
                jobs.tick(now);
            }
        }

        /** Delivers the row of a job, or while there are faults none, an earlier one, or that there is none. */
        private void deliver(String job) {
            JobRecord record = stored.read(job).block().get().orElseThrow();
            List<ChangeFeed.Change> rows = delivered.computeIfAbsent(job, key -> new ArrayList<>());
            ChangeFeed.Change row =
                    new ChangeFeed.Change(job, record.version(), record.row().toByteArray());
            int kind = faulty ? random.nextInt(12) : 0;
            switch (kind) {
                case 1, 2, 3 -> rows.add(row);
                case 4 -> jobs.rowsChanged(List.of(new ChangeFeed.Change(job, record.version(), null)));
                case 5 -> jobs.rowsChanged(rows);
                default -> jobs.rowsChanged(List.of(row));
            }
        }

        void submit(String job, int count) {
            List<JobItem> items = IntStream.range(0, count)
                    .mapToObj(item -> JobItem.newBuilder()
                            .setId(job + "/" + item)
                            .setPath("/batch/j")
                            .build())
                    .toList();
            if (up) {
                duties.run(
                        "submit",
                        () -> jobs.submit(head(job), JobsTest.ROUTE, "shop", items, answer -> {
                            if (up && answer instanceof JobAnswer.Accepted) {
                                accepted.put(job, count);
                            }
                        }));
            }
        }

        /** Asks to end a job. */
        void end(String job) {
            if (up) {
                ended.add(job);
                duties.run("end", () -> jobs.end(new CallerRequest.EndJob(head(job), job), "shop", answer -> {}));
            }
        }

        private static CallHead head(String job) {
            return new CallHead(job, "POST", "/batch/j", "/batch/j", "host", null, 0, Prompt.NONE, 0, 0, List.of());
        }

        /** Answers the run of an item that has just started: with all events, or with one before it breaks off. */
        private void serve(String item) {
            ItemRun run = runs.values().stream()
                    .filter(other -> other.item().getId().equals(item))
                    .findFirst()
                    .orElse(null);
            if (!up || run == null) {
                return;
            }
            run.head(
                    new TargetHead(200, item, false, false, true, true, false, 0),
                    new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK));
            int from = run.started() ? EVENTS.length() / 2 : 0;
            boolean broken = !run.started() && random.nextInt(3) == 0;
            run.body(Unpooled.copiedBuffer(
                    EVENTS.substring(from, broken ? EVENTS.length() / 2 : EVENTS.length()), StandardCharsets.UTF_8));
            if (!broken) {
                run.end(new Delivery(true, false, 0));
            }
        }
    }

    /** The tables as an instance sees them. */
    private final class FaultyTables implements TableService {

        private final Member caller;

        FaultyTables(Member caller) {
            this.caller = caller;
        }

        /** {@inheritDoc} */
        @Override
        public Mono<Either<Failure, Optional<Row>>> read(RowKey key) {
            return call(caller, () -> tables.read(key));
        }

        /** {@inheritDoc} */
        @Override
        public Mono<Either<Failure, RowPage>> scan(String table, String prefix, String after, int limit) {
            return call(caller, () -> tables.scan(table, prefix, after, limit));
        }

        /** {@inheritDoc} */
        @Override
        public Mono<Either<Failure, CommitResult>> commit(Transaction transaction) {
            return call(caller, () -> tables.commit(transaction));
        }
    }

    /** The objects as an instance sees them. */
    private final class FaultyObjects implements ObjectStore {

        private final Member caller;

        FaultyObjects(Member caller) {
            this.caller = caller;
        }

        /** {@inheritDoc} */
        @Override
        public Mono<Either<Failure, Boolean>> put(String name, byte[] content) {
            return call(caller, () -> objects.put(name, content));
        }

        /** {@inheritDoc} */
        @Override
        public Mono<Either<Failure, Optional<byte[]>>> get(String name) {
            return call(caller, () -> objects.get(name));
        }

        /** {@inheritDoc} */
        @Override
        public Mono<Either<Failure, List<String>>> list(String prefix, String after, int limit) {
            return call(caller, () -> objects.list(prefix, after, limit));
        }

        /** {@inheritDoc} */
        @Override
        public Mono<Either<Failure, Boolean>> delete(String name) {
            return call(caller, () -> objects.delete(name));
        }
    }

    /** Tells the time of the simulation. */
    private final class Clock implements TimeSource {

        /** {@inheritDoc} */
        @Override
        public long nanos() {
            return now;
        }

        /** {@inheritDoc} */
        @Override
        public long wallMillis() {
            return TimeUnit.NANOSECONDS.toMillis(now);
        }
    }

    /** Lets the runs of items at an instance be answered that it logs. */
    private final class Log implements EventLog {

        private final Member member;

        Log(Member member) {
            this.member = member;
        }

        /** {@inheritDoc} */
        @Override
        public void record(EventType type, Object... fields) {
            if (type == GatewayEvent.REQUEST_PLACED) {
                channel.eventLoop().execute(() -> member.serve(fields[1].toString()));
            }
        }

        /** {@inheritDoc} */
        @Override
        public List<EventRecord> since(long sequence, int limit) {
            return List.of();
        }

        /** {@inheritDoc} */
        @Override
        public HybridClock clock() {
            return new HybridClock();
        }
    }
}
