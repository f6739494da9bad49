package org.tanagermoor.batch.sweep;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.tanagermoor.batch.BatchEvent;
import org.tanagermoor.batch.store.JobStore;
import org.tanagermoor.batch.store.Upload;
import org.tanagermoor.kernel.duty.Duty;
import org.tanagermoor.kernel.event.EventLog;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.kernel.time.TimeSource;
import org.tanagermoor.membership.Membership;
import org.tanagermoor.policy.fleet.Rendezvous;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Sweeps, that is deletes, uploads that were not accepted and jobs past their retention. Only one instance, the sweep
 * steward, sweeps for all.
 */
public final class Sweeper implements Duty.Work<Sweeper.Swept>, AutoCloseable {

    /** Rendezvous key that selects the instance that sweeps. */
    private static final String STEWARD_KEY = "batch/sweep";

    /** Maximum number of messages that wait for the duty. */
    private static final int RING_CAPACITY = 16;

    /** Interval between two ticks in nanoseconds. */
    private static final long TICK_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Maximum number of uploads, and of jobs, that one sweep reads. */
    private static final int PAGE_SIZE = 32;

    private final JobStore store;

    private final Membership membership;

    private final EventLog events;

    private final TimeSource time;

    private final Limits limits;

    private final Duty<Swept> duty;

    /** Whether a sweep is in progress. */
    private boolean sweeping;

    /** Monotonic time in nanoseconds at which the last sweep started; at first that of the creation. */
    private long lastSweepAt;

    /**
     * Creates a sweeper and starts its duty.
     *
     * @param store Reads and writes jobs and their results.
     * @param membership Provides the configuration and the standing of this instance.
     * @param events The event log.
     * @param time The source of the current time.
     * @param limits The interval of the sweeps and the ages at which data is deleted.
     */
    public Sweeper(JobStore store, Membership membership, EventLog events, TimeSource time, Limits limits) {
        this.store = store;
        this.membership = membership;
        this.events = events;
        this.time = time;
        this.limits = limits;
        lastSweepAt = time.nanos();
        duty = Duty.start("batch-sweep", RING_CAPACITY, TICK_INTERVAL_NANOS, time, events, this);
    }

    /** {@inheritDoc} */
    @Override
    public void handle(Swept message, long now) {
        sweeping = false;
    }

    /** {@inheritDoc} */
    @Override
    public void tick(long now) {
        boolean due = !sweeping && now - lastSweepAt >= limits.interval().toNanos();
        if (!due || !membership.standing(now).serves() || !isSweepSteward()) {
            return;
        }
        sweeping = true;
        lastSweepAt = now;
        sweep(time.wallMillis()).subscribe(count -> {
            if (count > 0) {
                events.record(BatchEvent.OBJECTS_SWEPT, "count", count);
            }
            duty.offer(new Swept(count));
        });
    }

    /**
     * Runs one sweep.
     *
     * @param nowMillis The current wall-clock time in milliseconds.
     * @return The number of uploads and jobs that were deleted. What fails is left to the next sweep.
     */
    public Mono<Integer> sweep(long nowMillis) {
        Mono<Integer> uploads = store.uploads(PAGE_SIZE)
                .flatMap(result -> count(Flux.fromIterable(result.getOrElse(List.of()))
                        .filter(upload -> isExpired(upload, nowMillis))
                        .concatMap(store::discard)));
        Mono<Integer> jobs = store.ended(PAGE_SIZE)
                .flatMap(result -> count(Flux.fromIterable(result.getOrElse(List.of()))
                        .filter(entry ->
                                entry.position().compareTo(JobStore.endedPositionAt(retentionCutoff(nowMillis))) < 0)
                        .concatMap(store::deleteEndedJob)));
        return uploads.flatMap(first -> jobs.map(second -> first + second)).onErrorReturn(0);
    }

    /** Stops the duty, so that no more sweeps start. */
    @Override
    public void close() {
        duty.close();
    }

    /** Returns whether this instance is the one that sweeps for all. */
    private boolean isSweepSteward() {
        return Rendezvous.steward(STEWARD_KEY, membership.configuration().view())
                .filter(member -> member.id().equals(membership.self().id()))
                .isPresent();
    }

    /**
     * Returns whether an upload is so old that it can no longer be accepted. If a slow upload is swept, it is not
     * accepted, as its row is gone.
     *
     * @param nowMillis The current wall-clock time in milliseconds.
     */
    private boolean isExpired(Upload upload, long nowMillis) {
        return nowMillis - upload.startedMillis() > limits.upload().toMillis();
    }

    /**
     * Returns the wall-clock time in milliseconds before which a job must have ended to be deleted.
     *
     * @param nowMillis The current wall-clock time in milliseconds.
     */
    private long retentionCutoff(long nowMillis) {
        return Math.max(0, nowMillis - limits.retention().toMillis());
    }

    /**
     * Counts the uploads or jobs that were deleted.
     *
     * @param results Whether each one was deleted; failures count as not deleted.
     */
    private static Mono<Integer> count(Flux<Either<Failure, Boolean>> results) {
        return results.filter(result -> result.getOrElse(false)).count().map(Math::toIntExact);
    }

    /**
     * Tells the duty that a sweep has ended.
     *
     * @param count The number of uploads and jobs that were deleted.
     */
    public record Swept(int count) {}

    /**
     * The interval of the sweeps and the ages at which data is deleted.
     *
     * @param interval The time between the starts of two sweeps.
     * @param upload The age at which an upload that was not accepted is deleted.
     * @param retention The time for which results stay readable after a job has ended.
     */
    public record Limits(Duration interval, Duration upload, Duration retention) {}
}
