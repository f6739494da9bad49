package org.tanagermoor.batch.worker;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.tanagermoor.batch.BatchMetrics;
import org.tanagermoor.batch.item.LineSplitter;
import org.tanagermoor.batch.peer.BatchPeers;
import org.tanagermoor.batch.proto.BatchAnswer;
import org.tanagermoor.batch.proto.LentChunk;
import org.tanagermoor.batch.proto.Revoke;
import org.tanagermoor.batch.store.JobStore;
import org.tanagermoor.kernel.duty.Duty;
import org.tanagermoor.kernel.event.EventLog;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.kernel.time.TimeSource;
import org.tanagermoor.membership.Membership;
import org.tanagermoor.policy.configuration.Configuration;
import org.tanagermoor.policy.configuration.Service;
import org.tanagermoor.policy.configuration.Team;
import org.tanagermoor.policy.fleet.InstanceId;
import org.tanagermoor.policy.fleet.ServiceName;
import org.tanagermoor.policy.fleet.TeamId;
import org.tanagermoor.target.client.TargetClient;
import org.tanagermoor.target.lease.Priority;
import org.tanagermoor.target.lease.Targets;
import reactor.core.publisher.Mono;

/**
 * Runs the items of batch jobs on this instance. The worker requests chunks from the stewards of jobs, which lend each
 * chunk under a lease; it runs the items on targets, stores their results and reports them to the steward. All state
 * belongs to the thread of one duty (event loop).
 */
public final class Worker implements Duty.Work<WorkerMessage>, AutoCloseable {

    /** Maximum number of messages that wait for the duty. */
    private static final int RING_CAPACITY = 16_384;

    /** Interval between two ticks in nanoseconds. */
    private static final long TICK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

    /** Delay before a failed step is retried, in nanoseconds. */
    private static final long RETRY_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    /** Time without progress after which a chunk is returned to its steward, in nanoseconds. */
    private static final long STALL_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(20);

    /** Maximum number of items of a chunk that are marked as started before they have a permit. */
    private static final int MAX_MARKED_ITEMS = 8;

    /** Delay before a message is offered again that was refused because the ring of the duty was full. */
    private static final Duration OFFER_RETRY_DELAY = Duration.ofMillis(10);

    private final Membership membership;

    private final BatchMetrics metrics;

    private final TimeSource time;

    private final ItemRunner runner;

    private final ChunkSteps steps;

    private final StewardCalls calls;

    /** Maximum number of items that run or wait for a permit at once. */
    private final int concurrency;

    /** Number of bytes of unrecorded results from which on no more chunks are requested. */
    private final long waitingBytes;

    /** Chunks that are currently lent to this instance. */
    private final LeaseBook leases = new LeaseBook();

    /** Completes when all chunks have been reported during a drain. */
    private final CompletableFuture<Boolean> drained = new CompletableFuture<>();

    /** The duty; {@code null} until the constructor has started it. */
    @Nullable
    private volatile Duty<WorkerMessage> duty;

    /** Whether this worker is draining: no more chunks are requested and no more items start. */
    private volatile boolean draining;

    /**
     * Creates a worker and starts its duty.
     *
     * @param store Reads and writes jobs and their results.
     * @param peers Sends requests to the other instances.
     * @param membership Provides the configuration and the standing of this instance.
     * @param targets Grants permits for targets.
     * @param client Sends requests to targets.
     * @param metrics The metrics to update.
     * @param events The event log.
     * @param time The source of the current time.
     */
    public Worker(
            JobStore store,
            BatchPeers peers,
            Membership membership,
            Targets targets,
            TargetClient client,
            BatchMetrics metrics,
            EventLog events,
            TimeSource time,
            Limits limits) {
        this.membership = membership;
        this.metrics = metrics;
        this.time = time;
        concurrency = limits.concurrency();
        waitingBytes = limits.waitingBytes();
        runner = new ItemRunner(targets, client, time, limits.priority());
        steps = new ChunkSteps(store, peers, membership.self().id().toString(), this::deliver);
        calls = new StewardCalls(peers, this::deliver, limits.lease(), time.nanos());
        duty = Duty.start("batch-worker", RING_CAPACITY, TICK_INTERVAL_NANOS, time, events, this);
    }

    /**
     * Records that an instance may have chunks to lend, so that it is asked first.
     *
     * @param steward The instance that may have chunks.
     */
    public void hint(InstanceId steward) {
        offer(new WorkerMessage.Hinted(steward));
    }

    /**
     * Drops the chunk of a lease that its steward revokes.
     *
     * @param revoke The request that names the lease.
     * @return An answer once no item of the chunk can start any more, or a failure.
     */
    public Mono<Either<Failure, BatchAnswer>> revoke(Revoke revoke) {
        return Mono.create(sink -> {
            if (!offer(new WorkerMessage.Revoked(revoke.getLease(), sink))) {
                sink.success(Either.left(Failure.notRun(
                        Failure.Kind.OVERLOADED, "batch.worker", Failure.LOCAL, "too many requests wait")));
            }
        });
    }

    /**
     * Stops requesting chunks. The items that already run are finished.
     *
     * @return Completes when all chunks that are lent to this instance have been reported.
     */
    public CompletableFuture<Boolean> drain() {
        draining = true;
        return drained;
    }

    /** {@inheritDoc} */
    @Override
    public void handle(WorkerMessage message, long now) {
        switch (message) {
            case WorkerMessage.Hinted hinted -> calls.hint(hinted.steward(), now);
            case WorkerMessage.Lent lent -> lent(lent, now);
            case WorkerMessage.Renewed renewed -> renewed(renewed);
            case WorkerMessage.ItemsRead read -> itemsRead(read, now);
            case WorkerMessage.StartsRead read -> startsRead(read, now);
            case WorkerMessage.Marked marked -> marked(marked, now);
            case WorkerMessage.Ended ended -> ended(ended, now);
            case WorkerMessage.Stored stored -> stored(stored, now);
            case WorkerMessage.Reported reported -> reported(reported, now);
            case WorkerMessage.Revoked revoked -> revoked(revoked);
        }
    }

    /** {@inheritDoc} */
    @Override
    public void tick(long now) {
        for (ChunkRun run : leases.all()) {
            closeIfDue(run, now);
            advance(run, now);
        }
        calls.renew(leases.all(), now);
        if (draining && leases.all().isEmpty()) {
            drained.complete(true);
        }
        startItems(now);
    }

    /** Stops the duty. Chunks that have not been reported are lent again when their leases expire. */
    @Override
    public void close() {
        Duty<WorkerMessage> started = duty;
        if (started != null) {
            started.close();
        }
    }

    /**
     * Cancels a chunk whose lease has expired, and closes one that has stalled or that is to be returned during a
     * drain.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    private void closeIfDue(ChunkRun run, long now) {
        if (run.closed()) {
            return;
        }
        if (run.expired(now)) {
            run.cancel();
        } else if (draining || run.stalled(now, STALL_TIMEOUT_NANOS)) {
            run.close();
        }
    }

    /**
     * Runs the next step of a chunk, if it is due.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    private void advance(ChunkRun run, long now) {
        if (run.finished()) {
            finish(run, now);
        }
        if (!leases.contains(run)) {
            return;
        }
        if (run.stage() == ChunkRun.Stage.RUNNING) {
            List<Integer> items = run.itemsToMark(MAX_MARKED_ITEMS);
            if (!items.isEmpty() && run.begin(now)) {
                steps.mark(run, items);
            }
        } else if (run.begin(now)) {
            steps.next(run);
        }
    }

    /**
     * Moves a chunk without running items to the stage that stores or reports its results. A chunk whose lease has
     * expired is dropped if there is nothing to report.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    private void finish(ChunkRun run, long now) {
        if (run.expired(now) && !run.results().hasOutcomeOrLoss()) {
            leases.remove(run);
            return;
        }
        run.results().buildObject();
        run.stage(run.results().hasNoOutcome() ? ChunkRun.Stage.REPORTING : ChunkRun.Stage.STORING);
        metrics.resultsWaiting().inc();
    }

    /**
     * Starts items and requests chunks while there is capacity.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    private void startItems(long now) {
        if (!membership.standing(now).serves()) {
            return;
        }
        int active = 0;
        int queued = 0;
        long waiting = 0;
        for (ChunkRun run : leases.all()) {
            active += run.active();
            queued += run.queued();
            waiting += run.results().content().length;
        }
        while (active < concurrency && startNextItem(now)) {
            active++;
            queued--;
        }
        if (!draining && queued < concurrency / 2 && waiting < waitingBytes) {
            calls.ask(concurrency - queued, now);
        }
    }

    /**
     * Starts the next item of the job with the earliest due time.
     *
     * @param now The current monotonic time in nanoseconds.
     * @return Whether an item was started.
     */
    private boolean startNextItem(long now) {
        List<ChunkRun> ordered = leases.all().stream()
                .filter(run -> run.queued() > 0 && !run.expired(now) && !run.backingOff(now))
                .sorted(Comparator.comparingLong(run -> run.chunk().getDueMillis()))
                .toList();
        for (ChunkRun run : ordered) {
            Optional<Integer> index = run.next();
            if (index.isPresent()) {
                start(run, index.get());
                return true;
            }
        }
        return false;
    }

    /**
     * Starts a run of an item.
     *
     * @param index The index of the item.
     */
    private void start(ChunkRun run, int index) {
        Configuration configuration = membership.configuration();
        ServiceName name = ServiceName.of(run.chunk().getService());
        Service service = configuration
                .services()
                .get(name)
                .getOrElse(() ->
                        Service.of(name, Service.Kind.MODEL, false, run.chunk().getRepeatable()));
        double weight = configuration
                .teams()
                .get(TeamId.of(run.chunk().getTeam()))
                .map(Team::weight)
                .getOrElse(1.0);
        runner.run(run.task(index, service, weight))
                .subscribe(end -> deliver(new WorkerMessage.Ended(run, index, end)));
    }

    /**
     * Adds chunks that were lent. Their leases count from the time of the request, so that they expire here no later
     * than at the steward.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    private void lent(WorkerMessage.Lent message, long now) {
        calls.answered(message, now);
        if (message.result().isLeft()) {
            return;
        }
        for (LentChunk chunk : message.result().get().getChunksList()) {
            long expiry = message.requestedAt() + TimeUnit.MILLISECONDS.toNanos(chunk.getLeaseMillis());
            ChunkRun run = new ChunkRun(chunk, message.steward(), expiry, now, this::gate);
            if (leases.add(run)) {
                advance(run, now);
            }
        }
    }

    /** Returns the gate that lets items of a chunk start only while its lease is valid and this instance may serve. */
    private StartGate gate(ChunkRun run) {
        return new StartGate(() -> {
            long now = time.nanos();
            return !run.expired(now) && membership.standing(now).serves();
        });
    }

    /** Processes the answer to a request to renew leases. */
    private void renewed(WorkerMessage.Renewed message) {
        message.result()
                .peek(answer -> leases.renewed(message.requestedAt(), message.requested(), answer.getRenewedList()));
    }

    /**
     * Adds the items that were read to their chunk.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    private void itemsRead(WorkerMessage.ItemsRead message, long now) {
        ChunkRun run = message.run();
        run.end(message.result().isRight() ? now : now + RETRY_DELAY_NANOS);
        if (message.result().isRight() && !run.closed()) {
            steps.cacheObject(run, message.result().get());
            run.load(new LineSplitter(Integer.MAX_VALUE).add(message.result().get()));
        }
        advance(run, now);
        startItems(now);
    }

    /**
     * Processes the start marks of a cell that were read.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    private void startsRead(WorkerMessage.StartsRead message, long now) {
        ChunkRun run = message.run();
        run.end(message.result().isRight() ? now : now + RETRY_DELAY_NANOS);
        if (!run.closed()) {
            message.result().peek(run::starts);
        }
        advance(run, now);
        startItems(now);
    }

    /**
     * Processes the write that marks items as started. If the marks or the row of the job were changed by others, the
     * chunk is returned to its steward.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    private void marked(WorkerMessage.Marked message, long now) {
        ChunkRun run = message.run();
        run.end(message.result().isRight() ? now : now + RETRY_DELAY_NANOS);
        if (message.result().isRight()) {
            message.result().get().ifPresentOrElse(starts -> run.marked(message.items(), starts), run::close);
        }
        advance(run, now);
        startItems(now);
    }

    /**
     * Processes the end of a run of an item.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    private void ended(WorkerMessage.Ended message, long now) {
        message.run().ended(message.index(), message.end(), now);
        if (message.end() instanceof ItemEnd.Returned) {
            metrics.itemsReturned().mark();
        } else if (message.end() instanceof ItemEnd.Settled) {
            metrics.itemsRun().mark();
        }
        advance(message.run(), now);
        startItems(now);
    }

    /**
     * Processes the write of a result object.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    private void stored(WorkerMessage.Stored message, long now) {
        ChunkRun run = message.run();
        run.end(message.result().isRight() ? now : now + RETRY_DELAY_NANOS);
        message.result().peek(name -> {
            run.results().stored(name);
            run.stage(ChunkRun.Stage.REPORTING);
        });
        advance(run, now);
    }

    /**
     * Processes the answer to a report. A failed report is repeated, unless the lease has expired and no item
     * has an outcome or lost its target.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    private void reported(WorkerMessage.Reported message, long now) {
        ChunkRun run = message.run();
        run.end(now + RETRY_DELAY_NANOS);
        boolean nothingToReport = run.expired(now) && !run.results().hasOutcomeOrLoss();
        if (message.result().isRight() || nothingToReport) {
            leases.remove(run);
            metrics.resultsWaiting().dec();
            startItems(now);
        }
    }

    /** Drops the chunk of a lease that its steward revokes. */
    private void revoked(WorkerMessage.Revoked message) {
        leases.revoke(message.lease());
        message.answer().success(StewardCalls.done());
    }

    /**
     * Offers a message to the duty, if it has been started.
     *
     * @return Whether the message was accepted.
     */
    private boolean offer(WorkerMessage message) {
        Duty<WorkerMessage> started = duty;
        return started != null && started.offer(message);
    }

    /** Delivers the result of a step to the duty. Retries while the ring is full. */
    private void deliver(WorkerMessage message) {
        if (!offer(message)) {
            Mono.delay(OFFER_RETRY_DELAY).subscribe(ignored -> deliver(message));
        }
    }

    /**
     * The limits within which a worker runs.
     *
     * @param concurrency The maximum number of items that run or wait for a permit at once.
     * @param lease The duration of the lease of a chunk.
     * @param waitingBytes The number of bytes of unrecorded results from which on no more chunks are requested.
     * @param priority The priority of the requests for permits.
     */
    public record Limits(int concurrency, Duration lease, long waitingBytes, Priority priority) {}
}
