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

/** What the parts of the steward share. Used by the thread of the duty, but for {@link #deliver}. */
final class StewardContext {

    /** The delay before a message that found the ring full is offered again. */
    private static final Duration OFFER_RETRY_DELAY = Duration.ofMillis(10);

    /** The store. */
    private final JobStore store;

    /** The instances. */
    private final BatchPeers peers;

    /** The membership. */
    private final Membership membership;

    /** The log. */
    private final EventLog events;

    /** The metrics. */
    private final BatchMetrics metrics;

    /** The source of the present time. */
    private final TimeSource time;

    /** The duration of leases. */
    private final Duration lease;

    /** The jobs that are taken over, by identity. */
    private final Map<String, JobRun> runs = new HashMap<>();

    /** Offers a message to the duty. */
    private final Predicate<StewardMessage> offer;

    /**
     * Creates a context.
     *
     * @param store The store.
     * @param peers The instances.
     * @param membership The membership.
     * @param events The log.
     * @param metrics The metrics.
     * @param time The source of the present time.
     * @param lease The duration of leases.
     * @param offer Offers a message to the duty.
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

    /**
     * Returns the store.
     *
     * @return The store.
     */
    JobStore store() {
        return store;
    }

    /**
     * Returns the instances.
     *
     * @return The instances.
     */
    BatchPeers peers() {
        return peers;
    }

    /**
     * Returns the membership.
     *
     * @return The membership.
     */
    Membership membership() {
        return membership;
    }

    /**
     * Returns the log.
     *
     * @return The log.
     */
    EventLog events() {
        return events;
    }

    /**
     * Returns the metrics.
     *
     * @return The metrics.
     */
    BatchMetrics metrics() {
        return metrics;
    }

    /**
     * Returns the source of the present time.
     *
     * @return The source of the present time.
     */
    TimeSource time() {
        return time;
    }

    /**
     * Returns the duration of leases.
     *
     * @return The duration of leases.
     */
    Duration lease() {
        return lease;
    }

    /**
     * Returns the jobs that are taken over, by identity.
     *
     * @return The jobs that are taken over, by identity.
     */
    Map<String, JobRun> runs() {
        return runs;
    }

    /**
     * Returns the identity of this instance.
     *
     * @return The identity of this instance.
     */
    InstanceId self() {
        return membership.self().id();
    }

    /**
     * Returns the run of a job.
     *
     * @param id The identity of the job.
     * @return The run, if the job is taken over.
     */
    Optional<JobRun> run(String id) {
        return Optional.ofNullable(runs.get(id));
    }

    /**
     * Returns whether this instance may act as a steward now.
     *
     * @return Whether it has standing and its view is accepted.
     */
    boolean mayAct() {
        long now = time.nanos();
        return membership.standing(now).serves() && membership.viewAccepted(now);
    }

    /**
     * Returns whether this instance is the steward of a job.
     *
     * @param key The key of the job.
     * @return Whether it is.
     */
    boolean isSteward(JobKey key) {
        return peers.steward(key)
                .filter(member -> member.id().equals(membership.self().id()))
                .isPresent();
    }

    /**
     * Offers the result of a step to the duty, and again while the ring is full.
     *
     * @param message The message.
     */
    void deliver(StewardMessage message) {
        if (!offer.test(message)) {
            Mono.delay(OFFER_RETRY_DELAY).subscribe(ignored -> deliver(message));
        }
    }

    /**
     * Returns the failure of a step that met a defect.
     *
     * @param error The error.
     * @return The failure.
     */
    static Failure defect(Throwable error) {
        return Failure.unknown(Failure.Kind.INTERNAL, "batch.steward", Failure.LOCAL, String.valueOf(error));
    }
}
