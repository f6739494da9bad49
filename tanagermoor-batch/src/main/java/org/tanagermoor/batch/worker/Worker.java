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

/** The duty that runs chunks on this instance. */
public final class Worker implements Duty.Work<WorkerMessage>, AutoCloseable {

    /** The messages that may wait. */
    private static final int RING_CAPACITY = 16_384;

    /** The interval of the ticks in nanoseconds. */
    private static final long TICK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

    /** The delay before a failed step is repeated, in nanoseconds. */
    private static final long RETRY_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    /** The time without progress after which a chunk is given back, in nanoseconds. */
    private static final long STALL_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(20);

    /** The items that may be marked as started before they have a permit. */
    private static final int MAX_MARKED_ITEMS = 8;

    /** The delay before a message that found the ring full is offered again. */
    private static final Duration OFFER_RETRY_DELAY = Duration.ofMillis(10);

    /** The membership. */
    private final Membership membership;

    /** The metrics. */
    private final BatchMetrics metrics;

    /** The source of the present time. */
    private final TimeSource time;

    /** Runs items. */
    private final ItemRunner runner;

    /** The steps of chunks. */
    private final ChunkSteps steps;

    /** Asks stewards. */
    private final StewardCalls calls;

    /** The most items that run at once. */
    private final int concurrency;

    /** The bytes of finished results that may wait before no more chunks are asked for. */
    private final long waitingBytes;

    /** The chunks that are lent to this instance. */
    private final LeaseBook leases = new LeaseBook();

    /** Completes when all chunks are reported during a drain. */
    private final CompletableFuture<Boolean> drained = new CompletableFuture<>();

    /** The duty, or {@code null} while it is being started. */
    @Nullable
    private volatile Duty<WorkerMessage> duty;

    /** Whether no more chunks are asked for. */
    private volatile boolean draining;

    /**
     * Creates a worker and starts its duty.
     *
     * @param store The store.
     * @param peers The instances.
     * @param membership The membership.
     * @param targets The permits.
     * @param client Sends requests to targets.
     * @param metrics The metrics.
     * @param events The log.
     * @param time The source of the present time.
     * @param limits The limits.
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
     * Takes in that a steward may have chunks.
     *
     * @param steward The steward.
     */
    public void hint(InstanceId steward) {
        offer(new WorkerMessage.Hinted(steward));
    }

    /**
     * Drops a lease.
     *
     * @param revoke The lease.
     * @return Done once no item of the chunk can start, or a failure.
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
     * Stops asking for chunks, and completes when those at hand are reported.
     *
     * @return Completes when all chunks are reported.
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

    /** Stops the duty. */
    @Override
    public void close() {
        Duty<WorkerMessage> started = duty;
        if (started != null) {
            started.close();
        }
    }

    /**
     * Closes a chunk whose lease lapsed, that is stuck, or that is not to be begun any more.
     *
     * @param run The chunk.
     * @param now The present monotonic time in nanoseconds.
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
     * Does the next step of a chunk.
     *
     * @param run The chunk.
     * @param now The present monotonic time in nanoseconds.
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
     * Goes on to report a chunk of which nothing runs any more.
     *
     * @param run The chunk.
     * @param now The present monotonic time in nanoseconds.
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
     * Starts items and asks for chunks while there is room.
     *
     * @param now The present monotonic time in nanoseconds.
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
     * Starts the next item of the job that is due first.
     *
     * @param now The present monotonic time in nanoseconds.
     * @return Whether there was one.
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
     * Starts an item.
     *
     * @param run The chunk.
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
     * Takes chunks in.
     *
     * @param message The chunks.
     * @param now The present monotonic time in nanoseconds.
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

    /**
     * Returns the gate of a chunk.
     *
     * @param run The chunk.
     * @return The gate.
     */
    private StartGate gate(ChunkRun run) {
        return new StartGate(() -> {
            long now = time.nanos();
            return !run.expired(now) && membership.standing(now).serves();
        });
    }

    /**
     * Takes in which leases are renewed.
     *
     * @param message The leases.
     */
    private void renewed(WorkerMessage.Renewed message) {
        message.result()
                .peek(answer -> leases.renewed(message.requestedAt(), message.requested(), answer.getRenewedList()));
    }

    /**
     * Takes the items of a chunk in.
     *
     * @param message The items.
     * @param now The present monotonic time in nanoseconds.
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
     * Takes the marks of a cell in.
     *
     * @param message The marks.
     * @param now The present monotonic time in nanoseconds.
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
     * Takes in that items are marked as started. Where the marks or the row of the job were changed by others, the
     * chunk is given back.
     *
     * @param message The items.
     * @param now The present monotonic time in nanoseconds.
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
     * Takes in how a run of an item ended.
     *
     * @param message The end.
     * @param now The present monotonic time in nanoseconds.
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
     * Takes in that a result object was put.
     *
     * @param message The object.
     * @param now The present monotonic time in nanoseconds.
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
     * Takes in whether a report is recorded.
     *
     * @param message The answer.
     * @param now The present monotonic time in nanoseconds.
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

    /**
     * Drops a lease.
     *
     * @param message The lease.
     */
    private void revoked(WorkerMessage.Revoked message) {
        leases.revoke(message.lease());
        message.answer().success(StewardCalls.done());
    }

    /**
     * Offers a message to the duty.
     *
     * @param message The message.
     * @return Whether it was taken.
     */
    private boolean offer(WorkerMessage message) {
        Duty<WorkerMessage> started = duty;
        return started != null && started.offer(message);
    }

    /**
     * Offers the result of a step to the duty, and again while the ring is full.
     *
     * @param message The message.
     */
    private void deliver(WorkerMessage message) {
        if (!offer(message)) {
            Mono.delay(OFFER_RETRY_DELAY).subscribe(ignored -> deliver(message));
        }
    }

    /**
     * The limits of a worker.
     *
     * @param concurrency The most items that run or wait for a permit at once.
     * @param lease The duration of the lease of a chunk.
     * @param waitingBytes The bytes of finished results that may wait before no more chunks are asked for.
     * @param priority The priority with which permits are asked for.
     */
    public record Limits(int concurrency, Duration lease, long waitingBytes, Priority priority) {}
}
