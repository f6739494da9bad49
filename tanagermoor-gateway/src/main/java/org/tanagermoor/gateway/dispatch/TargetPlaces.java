package org.tanagermoor.gateway.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.tanagermoor.gateway.fleet.TargetEntry;
import org.tanagermoor.policy.budget.RateLimit;
import org.tanagermoor.policy.budget.TokenBucket;

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

    private TargetEntry entry;

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

    /**
     * Creates the places of a target, none of them in use; a cold one accepts the given requests per second, 0 for no
     * limit.
     */
    TargetPlaces(TargetEntry entry, double coldPerSecond, long now) {
        this.entry = entry;
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

    /** Returns the number of places that are not in use; below 0 if the capacity was reduced. */
    int free() {
        return entry.capacity() - online - batch;
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
        return !entry.draining() && now - avoidUntil >= 0;
    }

    /**
     * Returns whether a request may be sent now: the target is usable, has a free place, and is warm or below its cold
     * rate.
     */
    boolean available(long now) {
        return usable(now)
                && free() > 0
                && (now - coldUntil >= 0 || cold.refill(cold.limit().burst(), now) >= 1);
    }

    /** Returns whether the target accepts requests at any rate, because it is warm or its service has no cold rate. */
    boolean atFullRate(long now) {
        return now - coldUntil >= 0 || unlimited;
    }

    /** Occupies a place, and charges the cold rate if the target is cold. */
    void take(boolean forBatch, long now) {
        if (now - coldUntil < 0) {
            cold.take(1, now);
        }
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

    private void avoid(long now) {
        long nanos = UNREACHABLE_AVOID_NANOS << Math.min(failures, MAX_DOUBLINGS);
        failures++;
        avoidUntil = Math.max(avoidUntil, now + nanos);
    }
}
