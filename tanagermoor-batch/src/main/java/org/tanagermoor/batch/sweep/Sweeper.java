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

/** The duty that sweeps uploads that were not accepted and jobs past their retention. One instance sweeps for all. */
public final class Sweeper implements Duty.Work<Sweeper.Swept>, AutoCloseable {

    /** The key by which the instance that sweeps is found. */
    private static final String STEWARD_KEY = "batch/sweep";

    /** The messages that may wait. */
    private static final int RING = 16;

    /** The interval of the ticks in nanoseconds. */
    private static final long TICK_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** The uploads or jobs of a sweep. */
    private static final int PAGE = 32;

    /** The store. */
    private final JobStore store;

    /** The membership. */
    private final Membership membership;

    /** The log. */
    private final EventLog events;

    /** The source of the present time. */
    private final TimeSource time;

    /** The limits. */
    private final Limits limits;

    /** The duty. */
    private final Duty<Swept> duty;

    /** Whether a sweep is under way. */
    private boolean sweeping;

    /** The monotonic time of the last sweep in nanoseconds. */
    private long last;

    /**
     * Creates a sweeper and starts its duty.
     *
     * @param store The store.
     * @param membership The membership.
     * @param events The log.
     * @param time The source of the present time.
     * @param limits The limits.
     */
    public Sweeper(JobStore store, Membership membership, EventLog events, TimeSource time, Limits limits) {
        this.store = store;
        this.membership = membership;
        this.events = events;
        this.time = time;
        this.limits = limits;
        last = time.nanos();
        duty = Duty.start("batch-sweep", RING, TICK_NANOS, time, events, this);
    }

    /** {@inheritDoc} */
    @Override
    public void handle(Swept message, long now) {
        sweeping = false;
    }

    /** {@inheritDoc} */
    @Override
    public void tick(long now) {
        boolean due = !sweeping && now - last >= limits.interval().toNanos();
        if (!due || !membership.standing(now).serves() || !sweepsForAll()) {
            return;
        }
        sweeping = true;
        last = now;
        sweep(time.wallMillis()).subscribe(count -> {
            if (count > 0) {
                events.record(BatchEvent.OBJECTS_SWEPT, "count", count);
            }
            duty.offer(new Swept(count));
        });
    }

    /**
     * Sweeps once.
     *
     * @param nowMillis The present wall-clock time in milliseconds.
     * @return The number of uploads and jobs that were swept. Failures are left to the next sweep.
     */
    public Mono<Integer> sweep(long nowMillis) {
        Mono<Integer> uploads = store.uploads(PAGE)
                .flatMap(result -> count(Flux.fromIterable(result.getOrElse(List.of()))
                        .filter(upload -> old(upload, nowMillis))
                        .concatMap(store::discard)));
        Mono<Integer> jobs = store.ended(PAGE)
                .flatMap(result -> count(Flux.fromIterable(result.getOrElse(List.of()))
                        .filter(entry -> entry.position().compareTo(JobStore.endedPositionAt(cutOff(nowMillis))) < 0)
                        .concatMap(store::deleteEndedJob)));
        return uploads.flatMap(first -> jobs.map(second -> first + second)).onErrorReturn(0);
    }

    /** Stops the duty. */
    @Override
    public void close() {
        duty.close();
    }

    /**
     * Returns whether this instance sweeps for all.
     *
     * @return Whether it does.
     */
    private boolean sweepsForAll() {
        return Rendezvous.steward(STEWARD_KEY, membership.configuration().view())
                .filter(member -> member.id().equals(membership.self().id()))
                .isPresent();
    }

    /**
     * Returns whether an upload is so old that it cannot be accepted any more.
     *
     * @param upload The upload.
     * @param nowMillis The present wall-clock time in milliseconds.
     * @return Whether it is to be swept. A slow upload that is swept is not accepted, as its row is gone.
     */
    private boolean old(Upload upload, long nowMillis) {
        return nowMillis - upload.startedMillis() > limits.upload().toMillis();
    }

    /**
     * Returns the time before which a job must have ended to be deleted.
     *
     * @param nowMillis The present wall-clock time in milliseconds.
     * @return The time in milliseconds.
     */
    private long cutOff(long nowMillis) {
        return Math.max(0, nowMillis - limits.retention().toMillis());
    }

    /**
     * Counts what was swept.
     *
     * @param results Whether each was swept.
     * @return The number.
     */
    private static Mono<Integer> count(Flux<Either<Failure, Boolean>> results) {
        return results.filter(result -> result.getOrElse(false)).count().map(Math::toIntExact);
    }

    /**
     * A message to the duty that a sweep ended.
     *
     * @param count The number of uploads and jobs that were swept.
     */
    public record Swept(int count) {}

    /**
     * The limits of a sweeper.
     *
     * @param interval The interval of the sweeps.
     * @param upload The longest time of an upload.
     * @param retention The time for which results stay readable after a job ended.
     */
    public record Limits(Duration interval, Duration upload, Duration retention) {}
}
