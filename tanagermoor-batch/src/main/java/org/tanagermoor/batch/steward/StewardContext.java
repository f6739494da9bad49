package org.tanagermoor.batch.steward;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.tanagermoor.batch.BatchMetrics;
import org.tanagermoor.batch.peer.BatchPeers;
import org.tanagermoor.batch.store.JobKey;
import org.tanagermoor.batch.store.JobStore;
import org.tanagermoor.kernel.event.EventLog;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.kernel.time.TimeSource;
import org.tanagermoor.membership.Membership;
import org.tanagermoor.policy.fleet.InstanceId;
import reactor.core.publisher.Mono;

/**
 * The services and the state that the parts of the steward share. Used only by the thread of the duty, except for
 * {@link #deliver}.
 */
final class StewardContext {

    /** The delay before a message is offered again if the ring was full. */
    private static final Duration OFFER_RETRY_DELAY = Duration.ofMillis(10);

    private final JobStore store;

    private final BatchPeers peers;

    private final Membership membership;

    private final EventLog events;

    private final BatchMetrics metrics;

    private final TimeSource time;

    /** The duration of the lease of a chunk. */
    private final Duration lease;

    /** The jobs that this instance has taken over, by identity. */
    private final Map<String, JobRun> runs = new HashMap<>();

    private final Predicate<StewardMessage> offer;

    /**
     * Creates a context without jobs.
     *
     * @param time The source of the current time.
     * @param lease The duration of the lease of a chunk.
     * @param offer Offers a message to the duty; returns {@code false} if the ring is full.
     */
    StewardContext(
            JobStore store,
            BatchPeers peers,
            Membership membership,
            EventLog events,
            BatchMetrics metrics,
            TimeSource time,
            Duration lease,
            Predicate<StewardMessage> offer) {
        this.store = store;
        this.peers = peers;
        this.membership = membership;
        this.events = events;
        this.metrics = metrics;
        this.time = time;
        this.lease = lease;
        this.offer = offer;
    }

    JobStore store() {
        return store;
    }

    BatchPeers peers() {
        return peers;
    }

    Membership membership() {
        return membership;
    }

    EventLog events() {
        return events;
    }

    BatchMetrics metrics() {
        return metrics;
    }

    TimeSource time() {
        return time;
    }

    /** Returns the duration of the lease of a chunk. */
    Duration lease() {
        return lease;
    }

    /** Returns the jobs that this instance has taken over, by identity. The map may be changed. */
    Map<String, JobRun> runs() {
        return runs;
    }

    InstanceId self() {
        return membership.self().id();
    }

    /**
     * Returns the run of a job, or empty if the job is not taken over.
     *
     * @param id The identity of the job.
     */
    Optional<JobRun> run(String id) {
        return Optional.ofNullable(runs.get(id));
    }

    /** Returns whether this instance may act as a steward now: it has standing and its view is accepted. */
    boolean mayAct() {
        long now = time.nanos();
        return membership.standing(now).serves() && membership.viewAccepted(now);
    }

    /** Returns whether this instance is the steward of a job in its current view. */
    boolean isSteward(JobKey key) {
        return peers.steward(key)
                .filter(member -> member.id().equals(membership.self().id()))
                .isPresent();
    }

    /** Offers the result of an asynchronous step to the duty, and repeats that while the ring is full. */
    void deliver(StewardMessage message) {
        if (!offer.test(message)) {
            Mono.delay(OFFER_RETRY_DELAY).subscribe(ignored -> deliver(message));
        }
    }

    /** Returns the failure of a step that threw an exception, which is a defect. */
    static Failure defect(Throwable error) {
        return Failure.unknown(Failure.Kind.INTERNAL, "batch.steward", Failure.LOCAL, String.valueOf(error));
    }
}
