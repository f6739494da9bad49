package org.tanagermoor.gateway.job;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.nullValue;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.tanagermoor.gateway.FleetState;
import org.tanagermoor.gateway.GatewayEvent;
import org.tanagermoor.gateway.GatewayMetrics;
import org.tanagermoor.gateway.dispatch.DispatchClient;
import org.tanagermoor.gateway.dispatch.DispatchServer;
import org.tanagermoor.gateway.dispatch.TeamRates;
import org.tanagermoor.gateway.duty.Duties;
import org.tanagermoor.gateway.edge.CallHead;
import org.tanagermoor.gateway.edge.CallerRequest;
import org.tanagermoor.gateway.edge.Refusal;
import org.tanagermoor.gateway.fleet.Backend;
import org.tanagermoor.gateway.fleet.CallerLimits;
import org.tanagermoor.gateway.fleet.FleetCodec;
import org.tanagermoor.gateway.fleet.FleetConfiguration;
import org.tanagermoor.gateway.fleet.Route;
import org.tanagermoor.gateway.fleet.RouteKind;
import org.tanagermoor.gateway.fleet.TargetEntry;
import org.tanagermoor.gateway.follow.ChangeFeed;
import org.tanagermoor.gateway.follow.StoreClock;
import org.tanagermoor.gateway.forward.TargetConnections;
import org.tanagermoor.gateway.forward.TargetHead;
import org.tanagermoor.gateway.forward.TargetObserver;
import org.tanagermoor.gateway.forward.TargetProtocol;
import org.tanagermoor.gateway.forward.TargetRequest;
import org.tanagermoor.gateway.member.Instance;
import org.tanagermoor.gateway.member.Liveness;
import org.tanagermoor.gateway.proto.JobContent;
import org.tanagermoor.gateway.proto.JobItem;
import org.tanagermoor.gateway.proto.JobRow;
import org.tanagermoor.gateway.quarantine.PartQuarantine;
import org.tanagermoor.kernel.event.EventLog;
import org.tanagermoor.kernel.event.EventRecord;
import org.tanagermoor.kernel.event.EventType;
import org.tanagermoor.kernel.event.KernelEvent;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.kernel.setting.Address;
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
import org.tanagermoor.wire.link.Channel;
import org.tanagermoor.wire.link.PeerHandler;
import org.tanagermoor.wire.link.PeerLink;
import reactor.core.publisher.Mono;

/** Runs the jobs of one instance on an event loop with a simulated clock; its targets cannot be connected to. */
final class JobsTest {

    /** Address of the instance and of all targets. */
    static final Address ADDRESS = Address.of("127.0.0.1", 1);

    private static final List<String> TARGETS = List.of("t-1", "t-2", "t-3");

    /** Time after which items are abandoned, in milliseconds. */
    private static final long ABANDON_MILLIS = 60_000;

    /** Size of the stack of a thread of an instance, in bytes. */
    private static final long STACK_BYTES = 256 * 1024;

    /** Times for which jobs can be read: one longer than items run, and one shorter. */
    private static final List<Duration> RETENTIONS = List.of(Duration.ofSeconds(120), Duration.ofSeconds(5));

    /**
     * Maximum time for which a job is kept beyond its retention, in milliseconds: clocks differ, and the store may have
     * failed.
     */
    private static final long MAX_DELETION_DELAY_MILLIS = 20_000;

    static final Route ROUTE = new Route(
            "batch",
            "host",
            "/batch/",
            RouteKind.BATCH,
            List.of(new Backend("s", 1)),
            15_000,
            400,
            3,
            false,
            true,
            new Route.BatchLimits(18_000, ABANDON_MILLIS, 0));

    /** The channel whose event loop runs everything. */
    private final EmbeddedChannel channel = new EmbeddedChannel();

    /** Value of the first field of each recorded event, an item or a job, by type. */
    private final Map<EventType, List<String>> recorded = new HashMap<>();

    /** The store of jobs, whose deletions of objects can fail. */
    private final JobStore store;

    /** Keeps the tables of the store. */
    private final TableService tables = TableService.InMemory.of();

    /** Keeps the objects of the store. */
    private final ObjectStore objects = ObjectStore.InMemory.of();

    /** Whether the store takes no commits. */
    private boolean commitsFail;

    /** The kind of failure of commits while the store takes none. */
    private Failure.Kind commitFailure = Failure.Kind.UNAVAILABLE;

    /** The number of commits that the store did not take. */
    private int failedCommits;

    /** The maximum size of a commit that the store takes, in bytes. */
    private int maxCommitBytes = 1_000_000;

    /** The time that a scan of the store takes, in milliseconds. */
    private long scanDelayMillis;

    /** The time until a commit is answered that has taken effect or failed, in milliseconds. */
    private long commitDelayMillis;

    /** The kind of the calls of the store that throw an error; empty for none. */
    private String errorWhen = "";

    /** Whether the store fails to delete objects. */
    private boolean deletionFails;

    /** The number of bytes of an object after which answers are cut off. */
    private int readableBytes = Integer.MAX_VALUE;

    private final TimeSource time = new Clock();

    private final EventLog log = new Log();

    /** Current time in nanoseconds. */
    private long now = TimeUnit.SECONDS.toNanos(100);

    /** Whether the store confirms the configuration all the time. */
    private boolean configurationRead = true;

    private FleetState fleet;

    private Liveness liveness;

    private DispatchClient dispatch;

    private DispatchServer server;

    private JobContext context;

    private Jobs jobs;

    JobsTest() {
        store = JobStore.of(new SlowTables(), new FailingObjects());
    }

    /** Sets up an instance that is alone and has started long ago. */
    @BeforeEach
    void start() {
        PeerLink link = new NoPeers();
        liveness = Liveness.of(new Instance(InstanceId.of("i", 1), ADDRESS, ADDRESS, "lisbon", 0, 1));
        fleet = FleetState.of(new Codec(), log, () -> {});
        fleet.operatorChanged(List.of(new ChangeFeed.Change("config", 1, new byte[0])));
        TARGETS.forEach(id -> fleet.targetsChanged(List.of(new ChangeFeed.Change(id, 2, new byte[0])), now, now));
        TeamRates rates = TeamRates.of();
        server = DispatchServer.of(channel.eventLoop(), link, liveness, time, rates, Quarantine.of());
        server.dispatcher().targets(fleet.usable(), service -> 0, now);
        dispatch = DispatchClient.of(channel.eventLoop(), link, liveness, server, log, time);
        createJobs(RETENTIONS.get(0));
        advance(5_000);
    }

    /** Lets the instance forget all jobs, and sets the retention of jobs. */
    private void createJobs(Duration retention) {
        GatewayMetrics metrics = GatewayMetrics.of(new MetricRegistry());
        Duties duties = Duties.of(channel.eventLoop(), log, metrics, time, () -> {});
        context = new JobContext(
                channel.eventLoop(),
                fleet,
                dispatch,
                TargetConnections.of(channel.eventLoop(), new Protocol(), time, TargetObserver.Disabled.INSTANCE),
                store,
                log,
                metrics,
                time,
                PartQuarantine.of(Quarantine.of(), TableService.InMemory.of(), channel.eventLoop(), duties, log, time),
                "lisbon",
                new HashMap<>(),
                ItemPace.of(),
                String::length,
                duties,
                retention,
                StoreClock.of(),
                () -> configurationRead ? now : 0);
        jobs = Jobs.of(context, liveness, () -> true);
    }

    /**
     * A job that is accepted by a leaving instance has no owner, so that another instance takes it over immediately.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void leavesJobsAcceptedWhileLeavingToOthers(boolean leaving) {
        if (leaving) {
            liveness.stop();
        }
        submit(2);
        advance(100);
        String owner = store.read("j").block().get().get().row().getOwner();
        assertThat(owner, is(leaving ? "" : dispatch.self()));
        assertThat(recorded.containsKey(GatewayEvent.REQUEST_PLACED), is(!leaving));
    }

    /** An item whose run ends without a result while its owner is leaving asks again, until the job is handed over. */
    @Test
    void asksForPlacesUntilItemsAreHandedOver() {
        server.dispatcher().targets(List.of(), service -> 0, now);
        submit(1);
        liveness.stop();
        advance(100);
        server.dispatcher().targets(fleet.usable(), service -> 0, now);
        advance(1_000);
        assertThat(recorded.get(GatewayEvent.REQUEST_PLACED), hasSize(TARGETS.size()));
        jobs.handOver();
        advance(1_000);
        assertThat(recorded.get(GatewayEvent.JOB_HANDED_OVER), contains("j"));
    }

    /** An item that gets no place is logged at 5, 10, 20 and 40 s; of the items that do not even ask, one in 5 s. */
    @ParameterizedTest
    @CsvSource({"1, 4900, 0", "1, 5200, 1", "1, 10300, 2", "1, 45000, 4", "4, 5200, 4", "500, 5400, 5", "500, 9900, 5"})
    void logsTheWaitOfItemsWithoutAPlace(int items, long millis, int lines) {
        server.dispatcher().targets(List.of(), service -> 0, now);
        submit(items);
        advance(millis);
        assertThat(recorded.getOrDefault(GatewayEvent.ITEM_WAITING, List.of()), hasSize(lines));
    }

    /** An item was given the same target again and again, which its owner does not know, and ran nowhere. */
    @ParameterizedTest
    @ValueSource(ints = {1, 5})
    void runsAnItemAtAnotherTargetThanOneThatItsOwnerDoesNotKnow(int unknown) {
        List<TargetEntry> targets = new ArrayList<>();
        for (int number = 0; number < unknown; number++) {
            targets.add(new TargetEntry("unknown-" + number, "s", ADDRESS, "lisbon", 100, false, 0, 0));
        }
        targets.addAll(fleet.usable());
        server.dispatcher().targets(targets, service -> 0, now);
        submit(1);
        advance(3_000);
        assertThat(recorded.get(GatewayEvent.REQUEST_PLACED), hasItem("0"));
    }

    /** A job whose take-over does not succeed is logged once, by the instance that should run it. */
    @ParameterizedTest
    @CsvSource({"1500, 0", "2500, 1", "30000, 1"})
    void logsAJobThatItDoesNotRun(long millis, int lines) {
        recordJob(List.of(JobItem.newBuilder().setId("0").setPath("/batch/j").build()), "");
        commitsFail = true;
        advance(millis);
        assertThat(recorded.getOrDefault(GatewayEvent.JOB_NOT_RUN, List.of()), hasSize(lines));
    }

    /** Each item whose time is over is abandoned once. */
    @Test
    void abandonsEachItemOnce() {
        server.dispatcher().targets(List.of(), service -> 0, now);
        submit(5);
        advance(ABANDON_MILLIS + 1_000);
        assertThat(recorded.get(GatewayEvent.ITEM_ABANDONED), containsInAnyOrder("0", "1", "2", "3", "4"));
        assertThat(store.read("j").block().get().get().row().getRecorded(), is(5));
    }

    /** Items of a job whose route was removed were neither run nor given up, and nothing was logged. */
    @ParameterizedTest
    @ValueSource(longs = {1_000, 30_000, ABANDON_MILLIS - 4_000})
    void abandonsItemsWhoseRouteIsGoneWhenTheirTimeIsOver(long removedMillis) {
        server.dispatcher().targets(List.of(), service -> 0, now);
        submit(3);
        advance(removedMillis);
        fleet.operatorChanged(List.of(new ChangeFeed.Change("config", 3, new byte[1])));
        advance(ABANDON_MILLIS + 3_000 - removedMillis);
        assertThat(recorded.get(GatewayEvent.ITEM_ABANDONED), containsInAnyOrder("0", "1", "2"));
        assertThat(recorded.get(GatewayEvent.JOB_NOT_RUN), contains("j"));
    }

    /** Items after the point at which an answer of the store was cut off were never run, and their bodies not found. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2})
    void readsItemsAgainThatWereCutOff(int complete) {
        server.dispatcher().targets(List.of(), service -> 0, now);
        List<JobItem> items = IntStream.range(0, 3)
                .mapToObj(item -> JobItem.newBuilder()
                        .setId(Integer.toString(item))
                        .setPath("/batch/j")
                        .build())
                .toList();
        recordJob(items, "");
        readableBytes = JobContent.newBuilder()
                .addAllItems(items.subList(0, complete))
                .build()
                .getSerializedSize();
        advance(2_000);
        List<JobAnswer> bodies = new ArrayList<>();
        jobs.item(new CallerRequest.ReadItem(head("r"), "j", "2"), "", bodies::add);
        advance(100);
        assertThat(((JobAnswer.Refused) bodies.get(0)).refusal().kind(), is(Refusal.Kind.UNAVAILABLE));
        readableBytes = Integer.MAX_VALUE;
        advance(ABANDON_MILLIS + 5_000);
        assertThat(recorded.get(GatewayEvent.ITEM_ABANDONED), contains("2"));
    }

    /**
     * All items of a job are given up at once on a thread with a stack as small as that of an instance, however many
     * there are. The calls were nested once for each item.
     */
    @ParameterizedTest
    @ValueSource(ints = {100, 200, 3_000})
    void abandonsAllItemsOnASmallStack(int items) throws InterruptedException {
        server.dispatcher().targets(List.of(), service -> 0, now);
        submit(items);
        runOnASmallStack(() -> advance(ABANDON_MILLIS + 5_000));
        assertThat(recorded.get(GatewayEvent.ITEM_ABANDONED), hasSize(items));
        assertThat(Set.copyOf(recorded.get(GatewayEvent.ITEM_ABANDONED)), hasSize(items));
        assertThat(store.read("j").block().get().get().row().getRecorded(), is(items));
    }

    /**
     * A job is kept for its retention and while it is open. Then everything that is stored for it is deleted once, also
     * when the store fails for a while.
     */
    @ParameterizedTest
    @CsvSource({"0, false", "0, true", "1, false"})
    void deletesAJobAfterItsRetention(int retention, boolean storeFails) {
        createJobs(RETENTIONS.get(retention));
        server.dispatcher().targets(List.of(), service -> 0, now);
        submit(200);
        long readableMillis = Math.max(RETENTIONS.get(retention).toMillis(), ABANDON_MILLIS);
        advance(readableMillis - 1_000);
        assertThat(rowExists(), is(true));
        deletionFails = storeFails;
        advance(MAX_DELETION_DELAY_MILLIS);
        assertThat(rowExists(), is(storeFails));
        deletionFails = false;
        advance(MAX_DELETION_DELAY_MILLIS);
        assertThat(rowExists(), is(false));
        assertThat(recorded.get(GatewayEvent.JOB_DELETED), contains("j"));
        for (int partition = 0; partition < 8; partition++) {
            for (String table : List.of("jobs", "results", "progress")) {
                assertThat(tables.scanAll(table + "/" + partition, "").block().get(), is(empty()));
            }
        }
        assertThat(objects.list("", "", 1).block().get(), is(empty()));
    }

    /** An instance that has not yet seen that a job was deleted and submitted again must not delete the new job. */
    @Test
    void deletesNothingOfAJobThatWasSubmittedAgain() {
        submit(1);
        JobRecord formerRecord = store.read("j").block().get().get();
        assertThat(store.delete(formerRecord).block().isRight(), is(true));
        JobContent content = JobContent.newBuilder()
                .addItems(JobItem.newBuilder().setId("new"))
                .build();
        assertThat(store.accept(formerRecord.row(), content).block().isRight(), is(true));
        assertThat(store.delete(formerRecord).block().isLeft(), is(true));
        assertThat(
                store.content(store.read("j").block().get().get().row()).block().get(), is(content));
        assertThat(rowExists(), is(true));
    }

    /**
     * A job whose recorded results do not fit into one read of the store was never resumed: each read returned fewer
     * results than the row of the job says.
     *
     * @param recorded The number of recorded results.
     * @param rows The number of rows of each of them.
     * @param interrupted Whether another instance becomes the owner during the recovery, and is lost as well.
     */
    @ParameterizedTest
    @CsvSource({
        "0, 1, false",
        "47, 1, false",
        "48, 1, false",
        "49, 1, false",
        "199, 1, false",
        "24, 2, false",
        "199, 2, false",
        "199, 2, true",
        "3, 20, false",
        "2, 47, false",
        "2, 48, false",
        "2, 49, true",
        "1, 200, false"
    })
    void resumesAJobWithManyRecordedRows(int recorded, int rows, boolean interrupted) {
        String output = "x".repeat((rows - 1) * 45_000 + 1);
        List<JobItem> items = IntStream.rangeClosed(0, recorded)
                .mapToObj(item -> JobItem.newBuilder()
                        .setId(Integer.toString(item))
                        .setPath("/batch/j")
                        .build())
                .toList();
        JobRecord job = recordJob(items, output);
        if (interrupted) {
            scanDelayMillis = 500;
            advance(300);
            JobRecord taken = store.read("j").block().get().get();
            assertThat(taken.row().getOwner(), is(dispatch.self()));
            JobRow other = taken.row().toBuilder().setOwner("other~8").build();
            assertThat(store.write(taken, List.of(), other).block().isRight(), is(true));
            scanDelayMillis = 0;
        }
        advance(3_000);
        assertThat(this.recorded.get(GatewayEvent.JOB_RESUMED), contains("j"));
        assertThat(this.recorded.get(GatewayEvent.REQUEST_PLACED), hasItem(Integer.toString(recorded)));
        assertThat(Set.copyOf(this.recorded.get(GatewayEvent.REQUEST_PLACED)), is(Set.of(Integer.toString(recorded))));
        assertThat(this.recorded.containsKey(GatewayEvent.JOB_WRITE_FAILED), is(false));
        assertThat(job.row().getRecorded(), is(recorded));
    }

    /**
     * Results whose outputs have several bytes a character made up a commit that the store never takes, so that no
     * result of the job was recorded any more. They pile up while the store is away.
     *
     * @param text What the outputs consist of.
     * @param characters The number of characters of each output.
     * @param maxBytes The maximum size of a commit that the store takes.
     */
    @ParameterizedTest
    @CsvSource({
        "a, 20000, 1000000", "é, 20000, 1000000", "語, 20000, 1000000", "𝄞, 20000, 1000000",
        "語, 300000, 1000000", "語, 20000, 200000", "a, 45000, 62000", "a, 10, 1000000"
    })
    void recordsResultsOfAnyScriptAfterAnOutage(String text, int characters, int maxBytes) {
        maxCommitBytes = maxBytes;
        recordAfterAnOutage(24, text.repeat(characters / text.length()));
    }

    /**
     * As many pages of results as the largest job has are read one after the other, then deleted, on a stack as small
     * as that of an instance. Each page comes from a task of its own, as from the store of an instance.
     */
    @Test
    void readsAndDeletesManyPagesOnASmallStack() throws InterruptedException {
        int results = 48 * 100;
        JobRow row = JobRow.newBuilder()
                .setId("j")
                .setOwner("gone~7")
                .setTotal(results)
                .build();
        JobRecord job =
                store.accept(row, JobContent.getDefaultInstance()).block().get();
        while (job.row().getRecorded() < results) {
            int from = job.row().getRecorded();
            List<JobResult> some = IntStream.range(from, from + 48)
                    .mapToObj(item -> new JobResult(Integer.toString(item), true, "one"))
                    .toList();
            job = store.write(job, some, row.toBuilder().setRecorded(from + 48).build())
                    .block()
                    .get();
        }
        JobRecord recordedJob = job;
        scanDelayMillis = 10;
        List<Object> done = new ArrayList<>();
        runOnASmallStack(() -> {
            store.recordedItems(recordedJob.row())
                    .subscribe(read -> done.add(read.get().size()));
            advanceLoop(20_000);
            store.delete(recordedJob).subscribe(deleted -> done.add(deleted.isRight()));
            advanceLoop(20_000);
        });
        assertThat(done, contains(results, true));
    }

    /** A job that can never be resumed was read again and again without a word of its cause; others are not affected. */
    @Test
    void reportsOnceWhyAJobCannotBeResumed() {
        List<JobItem> items = List.of(
                JobItem.newBuilder().setId("0").setPath("/batch/j").build(),
                JobItem.newBuilder().setId("1").setPath("/batch/j").build());
        JobRecord job = recordJob(items, "one");
        JobRow row = job.row().toBuilder().setRecorded(1).setTotal(3).build();
        assertThat(objects.delete("job-j").block().isRight(), is(true));
        assertThat(store.write(job, List.of(), row).block().isRight(), is(true));
        advance(30_000);
        assertThat(this.recorded.get(GatewayEvent.JOB_WRITE_FAILED), contains("j"));
        submit("k", 1);
        advance(1_000);
        assertThat(this.recorded.get(GatewayEvent.REQUEST_PLACED), hasItem("0"));
    }

    /**
     * A job that can never be taken over was written, and the failure logged, four times a second without end.
     *
     * @param kind The kind of failure of all commits.
     * @param maxAttempts The maximum number of attempts within 30 s.
     */
    @ParameterizedTest
    @CsvSource({"UNAVAILABLE, 100", "INVALID, 12", "TOO_LARGE, 12", "INTERNAL, 12"})
    void reportsOnceWhyAJobCannotBeTakenOver(Failure.Kind kind, int maxAttempts) {
        recordJob(List.of(JobItem.newBuilder().setId("0").setPath("/batch/j").build()), "");
        commitFailure = kind;
        commitsFail = true;
        advance(30_000);
        assertThat(recorded.get(GatewayEvent.JOB_WRITE_FAILED), contains("j"));
        assertThat(failedCommits, is(lessThanOrEqualTo(maxAttempts)));
        assertThat(failedCommits, is(greaterThan(5)));
        commitsFail = false;
        advance(6_000);
        assertThat(recorded.get(GatewayEvent.JOB_TAKEN_OVER), contains("j"));
    }

    /**
     * A commit also has a maximum number of entries, which many short results reach before its maximum size.
     *
     * @param count The number of results that wait for the store.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 97, 98, 99, 100, 101, 196, 197, 200})
    void recordsAnyNumberOfResultsAfterAnOutage(int count) {
        recordAfterAnOutage(count, "short");
    }

    /**
     * A reader gets the results that fit into one answer, and at least one, and reads on after them.
     *
     * @param characters The number of characters of each of three outputs.
     * @param first The number of results in the first answer.
     */
    @ParameterizedTest
    @CsvSource({"10, 3", "326601, 3", "326602, 2", "489934, 2", "489935, 2", "489936, 1", "979935, 1", "979936, 1"})
    void answersReadersInParts(int characters, int first) {
        List<JobItem> items = IntStream.rangeClosed(0, 3)
                .mapToObj(item -> JobItem.newBuilder()
                        .setId(Integer.toString(item))
                        .setPath("/batch/j")
                        .build())
                .toList();
        recordJob(items, "x".repeat(characters));
        List<Integer> pages = new ArrayList<>();
        int read = 0;
        while (read < 3 && pages.size() < 4) {
            JobPage page = read(read);
            pages.add(page.results().size());
            read += page.results().size();
            assertThat(page.next(), is(read));
        }
        assertThat(pages.get(0), is(first));
        assertThat(read, is(3));
    }

    /** Returns the answer to a reader of the job from a position on. */
    private JobPage read(int after) {
        CallHead head = new CallHead("", "GET", "/", "/", "host", null, 0, Prompt.NONE, 0, 0, List.of());
        List<JobAnswer> answers = new ArrayList<>();
        jobs.results(new CallerRequest.ReadResults(head, "j", after, 0), "", answers::add);
        channel.runPendingTasks();
        return ((JobAnswer.Results) answers.get(0)).page();
    }

    /** Lets results with an output pile up while the store is away, and checks that all are recorded afterwards. */
    private void recordAfterAnOutage(int count, String output) {
        List<JobItem> items = IntStream.range(0, count)
                .mapToObj(item ->
                        JobItem.newBuilder().setId(Integer.toString(item)).build())
                .toList();
        JobRow accepted = JobRow.newBuilder()
                .setId("j")
                .setOwner(dispatch.self())
                .setTotal(count)
                .setAcceptedMillis(time.wallMillis())
                .build();
        JobContent content = JobContent.newBuilder().addAllItems(items).build();
        JobRun run = new JobRun(context, store.accept(accepted, content).block().get(), now, record -> {});
        commitsFail = true;
        run.start(content);
        items.forEach(item -> run.finished(new JobResult(item.getId(), true, output)));
        advance(4_000);
        commitsFail = false;
        advance(12_000);
        JobRow row = store.read("j").block().get().get().row();
        assertThat(row.getRecorded(), is(count));
        List<JobResult> results = new ArrayList<>();
        while (results.size() < count) {
            results.addAll(
                    store.results("j", results.size(), count).block().get().results());
        }
        assertThat(results.stream().map(JobResult::output).distinct().toList(), is(List.of(output)));
        assertThat(results.stream().map(JobResult::item).distinct().count(), is((long) count));
    }

    /**
     * An error while the results of a job are written, or while a job is taken over, ended that for good. So did one in
     * any job the checks of all others.
     *
     * @param when The kind of call of the store that throws an error.
     */
    @ParameterizedTest
    @ValueSource(strings = {"commit", "scan"})
    void goesOnWithAJobAfterAnError(String when) {
        server.dispatcher().targets(List.of(), service -> 0, now);
        JobRecord job = recordJob(
                List.of(
                        JobItem.newBuilder().setId("0").setPath("/batch/j").build(),
                        JobItem.newBuilder().setId("1").setPath("/batch/j").build()),
                "one");
        submit("k", 1);
        errorWhen = when;
        advance(3_000);
        assertThat(this.recorded.containsKey(GatewayEvent.JOB_RESUMED), is(false));
        assertThat(this.recorded.get(KernelEvent.DUTY_DEFECT).size(), is(lessThanOrEqualTo(3)));
        errorWhen = "";
        advance(3_000);
        assertThat(this.recorded.get(GatewayEvent.JOB_RESUMED), contains("j"));
        errorWhen = when;
        advance(ABANDON_MILLIS);
        errorWhen = "";
        advance(3_000);
        assertThat(store.read("j").block().get().get().row().getRecorded(), is(2));
        assertThat(store.read("k").block().get().get().row().getRecorded(), is(1));
        assertThat(job.row().getRecorded(), is(1));
    }

    /**
     * A job that was ended or taken over went on running if its row came while the own write was not answered.
     *
     * @param owner The owner in the row; empty if it says that the job has ended.
     * @param answered Whether the write is answered, rather than fails without having taken effect.
     */
    @ParameterizedTest
    @CsvSource({"'', true", "'', false", "other~8, true", "other~8, false"})
    void stopsAJobWhoseRowCameDuringAWrite(String owner, boolean answered) {
        JobRow row = JobRow.newBuilder()
                .setId("j")
                .setOwner(dispatch.self())
                .setTotal(2)
                .setAcceptedMillis(time.wallMillis())
                .build();
        JobContent content = JobContent.newBuilder()
                .addItems(JobItem.newBuilder().setId("0"))
                .addItems(JobItem.newBuilder().setId("1"))
                .build();
        JobRecord accepted = store.accept(row, content).block().get();
        JobRun run = new JobRun(context, accepted, now, record -> {});
        run.start(content);
        commitsFail = !answered;
        commitDelayMillis = 500;
        run.finished(new JobResult("0", true, "one"));
        advanceLoop(200);
        JobStore others = JobStore.of(tables, objects);
        JobRecord before = others.read("j").block().get().get();
        JobRow after = owner.isEmpty()
                ? before.row().toBuilder().setEnded(true).build()
                : before.row().toBuilder().setOwner(owner).build();
        run.update(others.write(before, List.of(), after).block().get());
        advanceLoop(500);
        assertThat(run.stopped(), is(true));
    }

    /** Stores a job of an instance that is gone, whose items but the last have been recorded with an output. */
    private JobRecord recordJob(List<JobItem> items, String output) {
        JobRow row = JobRow.newBuilder()
                .setId("j")
                .setHost("host")
                .setPath("/batch/j")
                .setOwner("gone~7")
                .setTotal(items.size())
                .setAcceptedMillis(time.wallMillis())
                .build();
        JobContent content = JobContent.newBuilder().addAllItems(items).build();
        JobRecord job = store.accept(row, content).block().get();
        for (JobItem item : items.subList(0, items.size() - 1)) {
            JobRow after = job.row().toBuilder()
                    .setRecorded(job.row().getRecorded() + 1)
                    .build();
            job = store.write(job, List.of(new JobResult(item.getId(), true, output)), after)
                    .block()
                    .get();
        }
        return job;
    }

    private boolean rowExists() {
        return store.read("j").block().get().isPresent();
    }

    /** Submits a job with a number of items. */
    private void submit(int count) {
        submit("j", count);
    }

    private void submit(String job, int count) {
        List<JobItem> items = IntStream.range(0, count)
                .mapToObj(item -> JobItem.newBuilder()
                        .setId(Integer.toString(item))
                        .setPath("/batch/j")
                        .build())
                .toList();
        jobs.submit(head(job), ROUTE, "shop", items, answer -> assertThat(answer, is(new JobAnswer.Accepted())));
        channel.runPendingTasks();
    }

    private static CallHead head(String id) {
        return new CallHead(id, "POST", "/batch/j", "/batch/j", "host", null, 0, Prompt.NONE, 0, 0, List.of());
    }

    /** Runs an action on a thread with a stack as small as that of an instance. */
    private static void runOnASmallStack(Runnable action) throws InterruptedException {
        AtomicReference<Throwable> error = new AtomicReference<>();
        Thread thread = new Thread(null, action, "small-stack", STACK_BYTES);
        thread.setUncaughtExceptionHandler((failed, thrown) -> error.set(thrown));
        thread.start();
        thread.join();
        assertThat(error.get(), is(nullValue()));
    }

    /** Advances the clock of the event loop alone by a time in milliseconds. */
    private void advanceLoop(long millis) {
        for (long elapsed = 0; elapsed < millis; elapsed += 10) {
            channel.advanceTimeBy(10, TimeUnit.MILLISECONDS);
            channel.runPendingTasks();
        }
    }

    /** Advances the clock by a time in milliseconds, and runs what becomes due. */
    private void advance(long millis) {
        for (long elapsed = 0; elapsed < millis; elapsed += 10) {
            now += TimeUnit.MILLISECONDS.toNanos(10);
            channel.advanceTimeBy(10, TimeUnit.MILLISECONDS);
            if (elapsed % 250 == 0) {
                dispatch.tick(now);
                server.tick(now);
                deliverRow();
                jobs.tick(now);
            }
            channel.runPendingTasks();
        }
    }

    /** Tables whose scans can take a while. */
    private final class SlowTables implements TableService {

        /** {@inheritDoc} */
        @Override
        public Mono<Either<Failure, Optional<Row>>> read(RowKey key) {
            return tables.read(key);
        }

        /** {@inheritDoc} */
        @Override
        public Mono<Either<Failure, RowPage>> scan(String table, String prefix, String after, int limit) {
            throwIf("scan");
            Mono<Either<Failure, RowPage>> page = tables.scan(table, prefix, after, limit);
            return delayed(page, scanDelayMillis);
        }

        /** {@inheritDoc} */
        @Override
        public Mono<Either<Failure, CommitResult>> commit(Transaction transaction) {
            throwIf("commit");
            if (commitsFail) {
                failedCommits++;
                return delayed(
                        Mono.just(Either.left(
                                Failure.notRun(commitFailure, "store.commit", ADDRESS.toString(), "refused"))),
                        commitDelayMillis);
            }
            return tooLarge(transaction)
                    ? Mono.just(Either.left(
                            Failure.notRun(Failure.Kind.TOO_LARGE, "store.commit", ADDRESS.toString(), "too large")))
                    : delayed(Mono.just(tables.commit(transaction).block()), commitDelayMillis);
        }

        /** Returns an answer that comes after a time in milliseconds. */
        private <T> Mono<T> delayed(Mono<T> answer, long millis) {
            return millis == 0
                    ? answer
                    : Mono.create(sink -> channel.eventLoop()
                            .schedule(() -> answer.subscribe(sink::success), millis, TimeUnit.MILLISECONDS));
        }

        /** Throws an error if calls of this kind do. */
        private void throwIf(String kind) {
            if (errorWhen.equals(kind)) {
                throw new StackOverflowError("as in a test");
            }
        }

        /** Returns whether a transaction exceeds a limit of the store, which counts encoded bytes. */
        private boolean tooLarge(Transaction transaction) {
            long bytes = 0;
            boolean rowTooLong = false;
            for (Transaction.Write write : transaction.writes()) {
                byte[] value = write.value();
                int encoded = value == null
                        ? 0
                        : Base64.getEncoder().encodeToString(value).length();
                bytes += encoded + write.key().toString().getBytes(StandardCharsets.UTF_8).length + 100;
                rowTooLong |= encoded > 65_536;
            }
            int entries = transaction.conditions().size() + transaction.writes().size();
            return bytes > maxCommitBytes || rowTooLong || entries > 100;
        }
    }

    /** An object store that fails to delete objects for a while. */
    private final class FailingObjects implements ObjectStore {

        /** {@inheritDoc} */
        @Override
        public Mono<Either<Failure, Boolean>> put(String name, byte[] content) {
            return objects.put(name, content);
        }

        /** {@inheritDoc} */
        @Override
        public Mono<Either<Failure, Optional<byte[]>>> get(String name) {
            return objects.get(name)
                    .map(result -> result.map(found -> found.map(
                            bytes -> readableBytes < bytes.length ? Arrays.copyOf(bytes, readableBytes) : bytes)));
        }

        /** {@inheritDoc} */
        @Override
        public Mono<Either<Failure, List<String>>> list(String prefix, String after, int limit) {
            return objects.list(prefix, after, limit);
        }

        /** {@inheritDoc} */
        @Override
        public Mono<Either<Failure, Boolean>> delete(String name) {
            return deletionFails
                    ? Mono.just(Either.left(
                            Failure.unknown(Failure.Kind.TIMEOUT, "store.delete", ADDRESS.toString(), "no answer")))
                    : objects.delete(name);
        }
    }

    /** Delivers the row of the job in the store to the instance, as a change feed does. */
    private void deliverRow() {
        byte[] value = store.read("j")
                .block()
                .get()
                .map(record -> record.row().toByteArray())
                .orElse(null);
        long version = store.read("j").block().get().map(JobRecord::version).orElse(0L);
        jobs.rowsChanged(List.of(new ChangeFeed.Change("j", version, value)));
    }

    /** Tells the time of the test. */
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

    /** Keeps the first field of each event: an item or a job. */
    private final class Log implements EventLog {

        /** {@inheritDoc} */
        @Override
        public void record(EventType type, Object... fields) {
            recorded.computeIfAbsent(type, key -> new ArrayList<>()).add(fields.length < 2 ? "" : fields[1].toString());
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

    /** A configuration with one route, and targets. */
    static final class Codec implements FleetCodec {

        /** {@inheritDoc} */
        @Override
        public String operatorTable() {
            return "op";
        }

        /** {@inheritDoc} */
        @Override
        public String targetTable() {
            return "targets";
        }

        /** {@inheritDoc} */
        @Override
        public String configurationKey() {
            return "config";
        }

        /** {@inheritDoc} */
        @Override
        public Either<Failure, FleetConfiguration> configuration(byte[] value) {
            List<Route> routes = value.length == 0 ? List.of(ROUTE) : List.of();
            return Either.right(FleetConfiguration.of(
                    1 + value.length, routes, List.of(), List.of(), Map.of(), CallerLimits.DEFAULT));
        }

        /** {@inheritDoc} */
        @Override
        public Optional<String> evacuatedDomain(String key) {
            return Optional.empty();
        }

        /** {@inheritDoc} */
        @Override
        public Either<Failure, TargetEntry> target(String id, byte[] value) {
            return Either.right(new TargetEntry(id, "s", ADDRESS, "lisbon", 16, false, 0, 0));
        }
    }

    /** A protocol whose requests are never answered. */
    static final class Protocol implements TargetProtocol {

        /** {@inheritDoc} */
        @Override
        public FullHttpRequest request(TargetRequest outgoing, TargetEntry target) {
            return new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, outgoing.uri());
        }

        /** {@inheritDoc} */
        @Override
        public TargetHead head(HttpResponse response) {
            throw new AssertionError("no target answers");
        }
    }

    /** A link without other instances. */
    static final class NoPeers implements PeerLink {

        /** {@inheritDoc} */
        @Override
        public void handle(Channel to, PeerHandler handler) {
            // There are no peers that call.
        }

        /** {@inheritDoc} */
        @Override
        public Mono<Either<Failure, byte[]>> call(
                Address address, long incarnation, Channel to, byte[] request, Duration timeout) {
            return Mono.just(
                    Either.left(Failure.unknown(Failure.Kind.TIMEOUT, "link.call", address.toString(), "no answer")));
        }

        /** {@inheritDoc} */
        @Override
        public Address address() {
            return ADDRESS;
        }

        /** {@inheritDoc} */
        @Override
        public long bytes() {
            return 0;
        }
    }
}
