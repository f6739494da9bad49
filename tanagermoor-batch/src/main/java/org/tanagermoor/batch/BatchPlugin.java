package org.tanagermoor.batch;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.jspecify.annotations.Nullable;
import org.tanagermoor.batch.accept.JobIntake;
import org.tanagermoor.batch.http.BatchEndpoints;
import org.tanagermoor.batch.http.JobCancel;
import org.tanagermoor.batch.peer.BatchPeers;
import org.tanagermoor.batch.steward.BatchTiming;
import org.tanagermoor.batch.steward.Steward;
import org.tanagermoor.batch.store.JobStore;
import org.tanagermoor.batch.sweep.Sweeper;
import org.tanagermoor.batch.worker.Worker;
import org.tanagermoor.http.HttpEndpoints;
import org.tanagermoor.kernel.plugin.Context;
import org.tanagermoor.kernel.plugin.Plugin;
import org.tanagermoor.kernel.setting.Setting;
import org.tanagermoor.kernel.setting.Settings;
import org.tanagermoor.membership.Membership;
import org.tanagermoor.store.object.ObjectStore;
import org.tanagermoor.store.table.TableService;
import org.tanagermoor.target.client.TargetClient;
import org.tanagermoor.target.lease.Priority;
import org.tanagermoor.target.lease.Targets;
import org.tanagermoor.wire.link.PeerLink;

/** The plug-in that accepts and runs batch jobs. */
public final class BatchPlugin implements Plugin {

    /** Name by which the settings select this plug-in. */
    public static final String NAME = "batch";

    /** Maximum number of items that are lent together as one chunk. */
    public static final Setting<Long> CHUNK_ITEMS =
            Setting.ofNumber("batch-chunk-items", "the most items that are lent together", "128", 1, 10_000);

    /** Maximum number of items that run or wait for a permit at once on this instance. */
    public static final Setting<Long> CONCURRENCY = Setting.ofNumber(
            "batch-concurrency", "the most batch items that run at once on this instance", "32", 1, 10_000);

    /** Duration of the lease of a chunk. The worker renews it while it runs the chunk. */
    public static final Setting<Duration> LEASE_DURATION = Setting.ofMillis(
            "batch-lease-ms", "the duration of the lease of a chunk in milliseconds", "5000", 200, 60_000);

    /** Number of bytes of unrecorded results from which on the worker requests no more chunks. */
    public static final Setting<Long> WAITING_BYTES = Setting.ofNumber(
            "batch-waiting-bytes",
            "the bytes of finished results that may wait before no more chunks are asked for",
            "33554432",
            1,
            1_073_741_824);

    /** Interval between two scans of the store for jobs whose steward is this instance. */
    public static final Setting<Duration> SCAN_INTERVAL = Setting.ofMillis(
            "batch-scan-ms", "the interval of the scans for jobs in milliseconds", "10000", 100, 600_000);

    /** Age at which an upload that was not accepted is deleted. An upload may take half of it. */
    public static final Setting<Duration> UPLOAD_EXPIRY = Setting.ofMillis(
            "batch-upload-ms",
            "the age in milliseconds at which an upload is swept, twice the longest time of one",
            "3600000",
            1_000,
            86_400_000);

    /** Time for which the results of a job stay readable after it has ended. */
    public static final Setting<Duration> RETENTION = Setting.ofMillis(
            "batch-retention-ms",
            "the time in milliseconds for which results stay readable after a job ended",
            "2592000000",
            1_000,
            31_536_000_000L);

    /**
     * Priority of the requests for permits: {@code on} for that of batch, {@code off} for that of online requests,
     * which serves as a baseline for measurements.
     */
    public static final Setting<Priority> YIELD = new Setting<>(
            "batch-yield",
            "whether batch takes only what online leaves: on, or off as a baseline for measuring",
            "on",
            BatchPlugin::priority);

    /** Interval between two sweeps of uploads and ended jobs. */
    private static final Duration SWEEP_INTERVAL = Duration.ofSeconds(15);

    /** Maximum time to finish and report chunks at a stop, in seconds. */
    private static final long DRAIN_TIMEOUT_SECONDS = 25;

    /** Steward, worker and sweeper that have been started, the last started first. */
    private final Deque<AutoCloseable> duties = new ArrayDeque<>();

    /** The worker; {@code null} before the start. */
    @Nullable
    private Worker worker;

    /** Creates the plug-in; its duties run only after {@link #start}. */
    public BatchPlugin() {
        // The work starts with start().
    }

    /** {@inheritDoc} */
    @Override
    public String name() {
        return NAME;
    }

    /** {@inheritDoc} */
    @Override
    public Set<String> requires() {
        return Set.of("http", "platform", "wire", "membership", "budget", "target");
    }

    /** {@inheritDoc} */
    @Override
    public List<Setting<?>> settings() {
        return List.of(
                CHUNK_ITEMS,
                CONCURRENCY,
                LEASE_DURATION,
                WAITING_BYTES,
                SCAN_INTERVAL,
                UPLOAD_EXPIRY,
                RETENTION,
                YIELD);
    }

    /** {@inheritDoc} */
    @Override
    public void start(Context context) {
        Membership membership = context.service(Membership.class);
        BatchMetrics metrics = BatchMetrics.of(context.metrics());
        JobStore store = JobStore.of(context.service(TableService.class), context.service(ObjectStore.class), metrics);
        BatchPeers peers = new BatchPeers(context.service(PeerLink.class), membership);
        startDuties(context, store, peers, metrics);
        JobIntake intake = new JobIntake(
                store,
                membership,
                context.events(),
                context.time(),
                new JobIntake.Limits(
                        Math.toIntExact(context.settings().value(CHUNK_ITEMS)),
                        context.settings().value(UPLOAD_EXPIRY).dividedBy(2)));
        JobCancel cancel = new JobCancel(store, peers, context.time());
        new BatchEndpoints(store, intake, cancel, peers, membership, context.time())
                .register(context.service(HttpEndpoints.class));
    }

    /** {@inheritDoc} */
    @Override
    public void drain() {
        if (worker == null) {
            return;
        }
        try {
            worker.drain().get(DRAIN_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | TimeoutException exception) {
            // The stewards lend the unreported chunks again.
            System.getLogger(BatchPlugin.class.getName())
                    .log(System.Logger.Level.DEBUG, "not all chunks were reported before the stop", exception);
        }
    }

    /** {@inheritDoc} */
    @Override
    public void stop() {
        while (!duties.isEmpty()) {
            try {
                duties.pop().close();
            } catch (Exception exception) {
                throw new IllegalStateException(exception);
            }
        }
    }

    /**
     * Parses the setting that selects the priority of permits.
     *
     * @return The priority, or a description of the error in the text.
     */
    private static Either<String, Priority> priority(String text) {
        return switch (text) {
            case "on" -> Either.right(Priority.BATCH);
            case "off" -> Either.right(Priority.ONLINE);
            default -> Either.left("must be on or off, but is " + text);
        };
    }

    /**
     * Starts the steward, the worker and the sweeper, and registers the handler of peer requests.
     *
     * @param context The services and settings of this process.
     * @param store Reads and writes jobs and their results.
     * @param peers Sends requests to the other instances.
     */
    private void startDuties(Context context, JobStore store, BatchPeers peers, BatchMetrics metrics) {
        Membership membership = context.service(Membership.class);
        Settings settings = context.settings();
        BatchTiming timing = new BatchTiming(settings.value(LEASE_DURATION), settings.value(SCAN_INTERVAL));
        Steward steward = new Steward(store, peers, membership, context.events(), metrics, context.time(), timing);
        duties.push(steward);
        Worker started = new Worker(
                store,
                peers,
                membership,
                context.service(Targets.class),
                context.service(TargetClient.class),
                metrics,
                context.events(),
                context.time(),
                new Worker.Limits(
                        Math.toIntExact(settings.value(CONCURRENCY)),
                        timing.lease(),
                        settings.value(WAITING_BYTES),
                        settings.value(YIELD)));
        worker = started;
        duties.push(started);
        Sweeper.Limits limits =
                new Sweeper.Limits(SWEEP_INTERVAL, settings.value(UPLOAD_EXPIRY), settings.value(RETENTION));
        duties.push(new Sweeper(store, membership, context.events(), context.time(), limits));
        peers.handle(new BatchDispatch(steward, started)::handle);
    }
}
