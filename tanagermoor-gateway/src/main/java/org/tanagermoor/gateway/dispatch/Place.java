package org.tanagermoor.gateway.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.tanagermoor.gateway.fleet.TargetEntry;
import org.tanagermoor.policy.budget.RateLimit;
import org.tanagermoor.policy.budget.TokenBucket;

/** The places of one target. */
final class Place {

    /** How long a full target is passed over, in nanoseconds: about the time in which one of its requests ends. */
    private static final long FULL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** How long an unreachable target is passed over at first, in nanoseconds; doubles with each further failure. */
    private static final long UNREACHABLE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** The most doublings of the time for which a target is passed over. */
    private static final int DOUBLINGS_MOST = 4;

    /** The failures in a row after which a target that breaks exchanges is passed over. */
    private static final int BROKEN_MOST = 2;

    /** How many times the usual time a target takes before it counts as slow: more than lengths of answers differ. */
    private static final double SLOW_FACTOR = 1.6;

    /** The weight of a new observation in the mean of the time for which a place is held. */
    private static final double HOLD_WEIGHT = 0.15;

    /** The part of the rate of a cold target that is used, as arrivals bunch. */
    private static final double COLD_PART = 0.8;

    /** The entry. */
    private TargetEntry entry;

    /** The places in use by online requests. */
    private int online;

    /** The places in use by items of jobs. */
    private int batch;

    /** The failures in a row. */
    private int failures;

    /** The monotonic time in nanoseconds before which the target is passed over. */
    private long avoidUntil;

    /** The monotonic time in nanoseconds at which the target is warm. */
    private long warmAt;

    /** The requests that a cold target may get. */
    private final TokenBucket cold;

    /** How it has treated the requests of all callers. */
    private final TargetRecord record;

    /** How it has treated the requests of instances in each failure domain. */
    private final Map<String, TargetRecord> records = new HashMap<>();

    /** The mean time for which an online request held a place, in nanoseconds; 0 before one was seen. */
    private double holdNanos;

    /** Creates the places of a target. */
    Place(TargetEntry entry, double coldPerSecond, long now) {
        this.entry = entry;
        avoidUntil = now;
        record = new TargetRecord(now);
        warmAt = now + TimeUnit.MILLISECONDS.toNanos(entry.warmupLeftMillis());
        double rate = coldPerSecond > 0 ? coldPerSecond * COLD_PART : Double.MAX_VALUE / 2;
        cold = TokenBucket.empty(RateLimit.of(rate, Math.max(1, rate / 4)), now);
    }

    /** Takes a new registration in. */
    void update(TargetEntry value, long now) {
        entry = value;
        warmAt = now + TimeUnit.MILLISECONDS.toNanos(value.warmupLeftMillis());
    }

    /** Returns the entry. */
    TargetEntry entry() {
        return entry;
    }

    /** Returns the places that are not in use. */
    int free() {
        return entry.capacity() - online - batch;
    }

    /** Returns the places in use by online requests. */
    int online() {
        return online;
    }

    /** Returns the places in use by items of jobs. */
    int batch() {
        return batch;
    }

    /** Returns whether the target may be chosen. */
    boolean usable(long now) {
        return !entry.draining() && now - avoidUntil >= 0;
    }

    /** Returns whether a request may be sent now. */
    boolean open(long now) {
        return usable(now)
                && free() > 0
                && (now - warmAt >= 0 || cold.refill(cold.limit().burst(), now) >= 1);
    }

    /** Takes a place. */
    void take(boolean forBatch, long now) {
        if (now - warmAt < 0) {
            cold.take(1, now);
        }
        count(forBatch, 1);
    }

    /** Counts a place that was taken elsewhere. */
    void count(boolean forBatch, int change) {
        if (forBatch) {
            batch += change;
        } else {
            online += change;
        }
    }

    /**
     * Returns whether the target has lately failed many requests of all callers, or of those in a failure domain.
     *
     * @param domain The failure domain.
     * @param now The present monotonic time in nanoseconds.
     * @return Whether others are better.
     */
    boolean suspected(String domain, long now) {
        TargetRecord ofDomain = records.get(domain);
        return record.suspected(now) || (ofDomain != null && ofDomain.suspected(now));
    }

    /**
     * Returns how busy one more request would find the target: its part of the places, times how slow the target is.
     *
     * @param meanHoldNanos The mean time for which a request holds a place at any target, in nanoseconds.
     * @return The load; the least is best.
     */
    double load(double meanHoldNanos) {
        double slowness = holdNanos / meanHoldNanos;
        return (online + batch + 1.0) / entry.capacity() * (slowness > SLOW_FACTOR ? slowness : 1);
    }

    /** Takes in for how long an online request that was served held its place. */
    void held(long nanos) {
        holdNanos = holdNanos == 0 ? nanos : holdNanos + HOLD_WEIGHT * (nanos - holdNanos);
    }

    /** Takes in how a request of an instance in a failure domain ended. */
    void note(String domain, PlaceOutcome outcome, long now) {
        if (outcome == PlaceOutcome.SERVED || outcome == PlaceOutcome.FAILED) {
            boolean good = outcome == PlaceOutcome.SERVED;
            record.note(good, now);
            records.computeIfAbsent(domain, name -> new TargetRecord(now)).note(good, now);
        }
    }

    /** Gives a place back. */
    void release(boolean forBatch, PlaceOutcome outcome, long now) {
        count(forBatch, -1);
        switch (outcome) {
            case SERVED -> failures = 0;
            case FULL -> avoidUntil = Math.max(avoidUntil, now + FULL_NANOS);
            case UNREACHABLE -> avoid(now);
            case FAILED -> {
                if (failures + 1 >= BROKEN_MOST) {
                    avoid(now);
                } else {
                    failures++;
                }
            }
            default -> {}
        }
    }

    /** Passes the target over for a while. */
    private void avoid(long now) {
        long nanos = UNREACHABLE_NANOS << Math.min(failures, DOUBLINGS_MOST);
        failures++;
        avoidUntil = Math.max(avoidUntil, now + nanos);
    }
}
