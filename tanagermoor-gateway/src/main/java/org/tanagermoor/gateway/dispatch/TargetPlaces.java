package org.tanagermoor.gateway.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.tanagermoor.gateway.fleet.TargetEntry;
import org.tanagermoor.policy.budget.RateLimit;
import org.tanagermoor.policy.budget.TokenBucket;
import org.tanagermoor.policy.target.RequestLimit;
import org.tanagermoor.policy.target.TargetPace;
import org.tanagermoor.policy.target.TargetSpeed;

/**
 * The places of one target: its capacity for requests in progress, which of them are in use, and whether the target may
 * currently be chosen. Not thread-safe.
 */
final class TargetPlaces {

    /** How long a full target is avoided, in nanoseconds: about the time in which one of its requests ends. */
    private static final long FULL_AVOID_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** How long an unreachable target is avoided at first, in nanoseconds; doubles with each further failure. */
    private static final long UNREACHABLE_AVOID_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** The maximum number of doublings of the time for which a target is avoided. */
    private static final int MAX_DOUBLINGS = 4;

    /** The number of consecutive failures after which a target that breaks off exchanges is avoided. */
    private static final int BROKEN_THRESHOLD = 2;

    /**
     * The multiple of the mean time from which a target counts as slow: above the variation of the length of answers.
     */
    private static final double SLOW_FACTOR = 1.6;

    /** The weight of a new observation in the mean time for which a place is occupied. */
    private static final double OCCUPANCY_WEIGHT = 0.15;

    /** The fraction of the rate of a cold target that is used, since arrivals come in bunches. */
    private static final double COLD_FRACTION = 0.8;

    /** How long a target that crashed under a suspect alone is avoided, in nanoseconds: it starts again meanwhile. */
    private static final long CRASHED_AVOID_NANOS = TimeUnit.SECONDS.toNanos(1);

    private TargetEntry entry;

    /** Whether the target is reserved for requests with a part that is held back. */
    private boolean reserved;

    private int online;

    /** The number of places in use by items of jobs. */
    private int batch;

    /** The number of consecutive failures. */
    private int failures;

    /** The monotonic time in nanoseconds before which the target is avoided. */
    private long avoidUntil;

    /** The monotonic time in nanoseconds at which the target is warm. */
    private long coldUntil;

    /** Limits the rate of requests while the target is cold. */
    private final TokenBucket cold;

    /** Whether the target accepts requests at any rate while it is cold. */
    private final boolean unlimited;

    /** The outcomes of the requests of all instances. */
    private final TargetRecord record;

    /** The outcomes of requests by the failure domain of the instance that sent them. */
    private final Map<String, TargetRecord> recordsByDomain = new HashMap<>();

    /** The mean time for which an online request occupied a place, in nanoseconds; 0 before the first observation. */
    private double occupancyNanos;

    /** The speed that the target reports. */
    private final TargetSpeed speed = TargetSpeed.of();

    /** The requests per second that the target takes from all instances together. */
    private final RequestLimit requestLimit;

    /** How many requests the target may have; limits only the targets of a service that report their speed. */
    private final TargetPace pace;

    /**
     * Creates the places of a target that is not limited by its pace, none of them in use; a cold one accepts the given
     * requests per second, 0 for no limit.
     */
    TargetPlaces(TargetEntry entry, double coldPerSecond, long now) {
        this(entry, coldPerSecond, TargetPace.ofFull(now), now);
    }

    /** Creates the places of a target whose requests in progress are limited by a pace. */
    TargetPlaces(TargetEntry entry, double coldPerSecond, TargetPace pace, long now) {
        this.entry = entry;
        this.pace = pace;
        requestLimit = RequestLimit.none(now);
        avoidUntil = now;
        record = new TargetRecord(now);
        coldUntil = now + TimeUnit.MILLISECONDS.toNanos(entry.warmupLeftMillis());
        unlimited = coldPerSecond <= 0;
        double rate = coldPerSecond > 0 ? coldPerSecond * COLD_FRACTION : Double.MAX_VALUE / 2;
        cold = TokenBucket.empty(RateLimit.of(rate, Math.max(1, rate / 4)), now);
    }

    /** Replaces the entry after a new registration of the target. */
    void update(TargetEntry value, long now) {
        entry = value;
        coldUntil = now + TimeUnit.MILLISECONDS.toNanos(value.warmupLeftMillis());
    }

    TargetEntry entry() {
        return entry;
    }

    /** Returns the number of places that the target may have in use now. */
    int places(long now) {
        return pace.allowed(entry.capacity(), now);
    }

    /** Returns the number of places that are not in use; below 0 if the capacity or the pace was reduced. */
    int free(long now) {
        return places(now) - online - batch;
    }

    /** Returns the requests per second that the target takes from all instances together. */
    RequestLimit requestLimit() {
        return requestLimit;
    }

    /** Returns the number of requests that the target may get at once. */
    int freeAndAllowed(long now) {
        return Math.min(Math.max(0, free(now)), requestLimit.allowed(now));
    }

    /**
     * Returns the number of places that the target may have in use now, or fewer if its request limit cannot keep them
     * in use.
     *
     * @param occupancyNanos The mean time for which a request occupies a place, in nanoseconds.
     * @param now The current monotonic time in nanoseconds.
     */
    double usefulPlaces(double occupancyNanos, long now) {
        return requestLimit.usefulPlaces(places(now), occupancyNanos);
    }

    /** Returns whether the target has reported its speed. */
    boolean reportsSpeed() {
        return speed.reported();
    }

    /** Returns whether the pace of the target is below its capacity. */
    boolean paced() {
        return !pace.full();
    }

    /**
     * Returns how long a further request is expected to take at the target by the speed that it reports.
     *
     * @param now The current monotonic time in nanoseconds.
     * @return The time relative to that at an idle target of usual speed; lower is better.
     */
    double expectedTime(long now) {
        return speed.expectedTime(online + batch, entry.capacity(), now);
    }

    /**
     * Ends the limit by the pace, since another instance may have decided meanwhile and seen how the target answers.
     */
    void resetPace() {
        pace.reset();
    }

    /**
     * Records how the target answered a request. A caller that leaves before the first event shows nothing of the pace.
     * The answers of a slow machine are expected later.
     *
     * @param outcome How the use of the place ended.
     * @param answer The answer.
     * @param usualFirstEventNanos The usual time to the first event at the targets of the service, in nanoseconds.
     * @param now The current monotonic time in nanoseconds.
     */
    void answered(PlaceOutcome outcome, RunAnswer answer, double usualFirstEventNanos, long now) {
        answer.load().ifPresent(report -> speed.report(report.load().workPercent(), report.receivedAt()));
        boolean answered = outcome == PlaceOutcome.SERVED || (outcome.success() && answer.firstEventNanos() > 0);
        if (answered && !answer.failedAnswer()) {
            double usual = usualFirstEventNanos * Math.max(1, speed.slowness(now));
            pace.answered(answer.firstEventNanos(), (long) usual, entry.capacity(), now);
        }
    }

    /** Returns the number of places in use by online requests. */
    int online() {
        return online;
    }

    /** Returns the number of places in use by items of jobs. */
    int batch() {
        return batch;
    }

    /** Returns whether the target is neither draining nor avoided. */
    boolean usable(long now) {
        return !entry.draining() && now - avoidUntil >= 0 && places(now) > 0;
    }

    /** Returns whether the target is reserved for requests with a part that is held back. */
    boolean reserved() {
        return reserved;
    }

    /** Reserves the target for requests with a part that is held back, or ends the reservation. */
    void reserve(boolean value) {
        reserved = value;
    }

    /** Returns whether the target is usable and not reserved. */
    boolean open(long now) {
        return usable(now) && !reserved;
    }

    /** Avoids the target, which has certainly crashed, for the time that it needs to start again. */
    void crashedAlone(long now) {
        avoidUntil = Math.max(avoidUntil, now + CRASHED_AVOID_NANOS);
    }

    /**
     * Returns whether a request may be sent now: the target is usable and not reserved, has a free place, is below its
     * request limit, and is warm or below its cold rate.
     */
    boolean available(long now) {
        return open(now)
                && freeAndAllowed(now) > 0
                && (now - coldUntil >= 0 || cold.refill(cold.limit().burst(), now) >= 1);
    }

    /** Returns how many requests its request limit and, while it is cold, its cold rate admit now. */
    int admitted(long now) {
        int allowed = requestLimit.allowed(now);
        return atFullRate(now)
                ? allowed
                : Math.min(allowed, (int) cold.refill(cold.limit().burst(), now));
    }

    /** Returns whether the target accepts requests at any rate, because it is warm or its service has no cold rate. */
    boolean atFullRate(long now) {
        return now - coldUntil >= 0 || unlimited;
    }

    /** Occupies a place, and charges the request limit, and the cold rate if the target is cold. */
    void take(boolean forBatch, long now) {
        if (now - coldUntil < 0) {
            cold.take(1, now);
        }
        requestLimit.take(now);
        count(forBatch, 1);
    }

    /** Changes the number of places in use without charging the cold rate. */
    void count(boolean forBatch, int change) {
        if (forBatch) {
            batch += change;
        } else {
            online += change;
        }
    }

    /**
     * Returns whether the target has recently failed many requests of all instances, or of those in a failure domain.
     *
     * @param domain The failure domain.
     * @param now The current monotonic time in nanoseconds.
     * @return Whether other targets are preferable.
     */
    boolean suspected(String domain, long now) {
        if (pace.recovering() || (pace.trialDue(now) && online + batch == 0)) {
            return false;
        }
        TargetRecord domainRecord = recordsByDomain.get(domain);
        return record.suspected(now) || (domainRecord != null && domainRecord.suspected(now));
    }

    /**
     * Returns the load of the target with one more request: the occupied fraction of its places, multiplied by how slow
     * it is if it is slow.
     *
     * @param meanOccupancyNanos The mean time for which a request occupies a place at any target, in nanoseconds.
     * @return The load; lower is better.
     */
    double load(double meanOccupancyNanos) {
        double slowness = occupancyNanos / meanOccupancyNanos;
        return (online + batch + 1.0) / entry.capacity() * (slowness > SLOW_FACTOR ? slowness : 1);
    }

    /** Updates the mean with the time for which a served online request occupied its place. */
    void occupied(long nanos) {
        occupancyNanos = occupancyNanos == 0 ? nanos : occupancyNanos + OCCUPANCY_WEIGHT * (nanos - occupancyNanos);
    }

    /** Records how a request of an instance in a failure domain ended. */
    void recordOutcome(String domain, PlaceOutcome outcome, long now) {
        if (outcome.success() || outcome.failure()) {
            boolean success = outcome.success();
            record.recordOutcome(success, now);
            recordsByDomain
                    .computeIfAbsent(domain, name -> new TargetRecord(now))
                    .recordOutcome(success, now);
        }
    }

    /** Frees a place, and avoids the target for some time after an outcome that suggests it. */
    void release(boolean forBatch, PlaceOutcome outcome, long now) {
        count(forBatch, -1);
        switch (outcome) {
            case SERVED, ABANDONED -> failures = 0;
            case FULL -> avoidUntil = Math.max(avoidUntil, now + FULL_AVOID_NANOS);
            case UNREACHABLE -> avoid(now);
            case FAILED, CRASHED, BROKEN_OFF -> {
                if (failures + 1 >= BROKEN_THRESHOLD) {
                    avoid(now);
                } else {
                    failures++;
                }
            }
            default -> {}
        }
    }

    /**
     * Avoids the target. One that reports its speed, or is new in a service whose targets do, is then used at the pace
     * at which it answers; another one is used as before when the time is over.
     */
    private void avoid(long now) {
        if (speed.reported() || paced()) {
            pace.failed(now);
            failures++;
            return;
        }
        long nanos = UNREACHABLE_AVOID_NANOS << Math.min(failures, MAX_DOUBLINGS);
        failures++;
        avoidUntil = Math.max(avoidUntil, now + nanos);
    }
}
