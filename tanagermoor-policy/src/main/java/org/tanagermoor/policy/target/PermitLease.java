package org.tanagermoor.policy.target;

import java.util.LinkedHashSet;
import java.util.Set;
import org.tanagermoor.policy.configuration.Target;

/**
 * The permits of one target that an instance holds under a lease from the steward, and what the instance knows about
 * the target. A target is cold after a restart or reload; it then handles fewer requests until it has warmed up. Not
 * thread-safe.
 */
final class PermitLease {

    /**
     * The maximum number of former start marks to remember, so that a late answer from before a restart is not mistaken
     * for another restart.
     */
    private static final int MAX_FORMER_MARKS = 8;

    private Target target;

    /** The number of requests that may run at once while the lease is valid. */
    private int total;

    /** The part of the total that batch requests may use. */
    private int batch;

    /** The monotonic time at which the lease expires, in nanoseconds. */
    private long expiresAt;

    /** The monotonic time at which the target last showed a sign of being cold, in nanoseconds. */
    private long coldSignAt;

    /** Whether this lease was reduced because of a sign of cold and no steward has sent a grant since. */
    private boolean reducedForCold;

    /** The number of running online requests. */
    private int onlineUse;

    /** The number of running batch requests. */
    private int batchUse;

    /** The current capacity of the target, shared by all instances. */
    private int capacity;

    /** The number of requests that other instances run, as the steward reported it. */
    private int othersUse;

    /** The current start mark, or empty text if none is known. A target chooses a new one each time it starts. */
    private String mark = "";

    private final Set<String> formerMarks = new LinkedHashSet<>();

    /** The monotonic time at which the target started, as derived from the last grant, in nanoseconds. */
    private long startedAt;

    /** Whether a steward has reported the start time that belongs to the current start mark. */
    private boolean startKnown;

    /** The connections that the target reset since the last report. */
    private int resets;

    /** The number of first tokens received since the last report. */
    private int firstTokens;

    /** The sum of the times to these first tokens, in milliseconds. */
    private long firstTokenMillis;

    /**
     * Creates a lease without permits.
     *
     * @param target The target.
     * @param now The current monotonic time in nanoseconds.
     */
    PermitLease(Target target, long now) {
        this.target = target;
        capacity = target.capacity();
        expiresAt = now;
        coldSignAt = now;
    }

    Target target() {
        return target;
    }

    /**
     * Replaces the configuration of the target.
     *
     * @param value The target as the adopted configuration describes it.
     */
    void target(Target value) {
        target = value;
    }

    /**
     * Applies a grant, which replaces the permits held so far. A grant that was requested before the target last showed
     * a sign of cold can only lower them.
     *
     * @param grant The grant.
     * @param requestedAt The monotonic time at which it was requested, in nanoseconds.
     * @param newExpiry The monotonic time at which it expires, in nanoseconds.
     * @param now The current monotonic time in nanoseconds.
     */
    void apply(PermitGrant grant, long requestedAt, long newExpiry, long now) {
        if (requestedAt - coldSignAt < 0) {
            lower(Math.min(heldPermits(now), grant.total()), grant.batch());
            expiresAt = newExpiry;
            return;
        }
        reducedForCold = false;
        total = grant.total();
        batch = grant.batch();
        expiresAt = newExpiry;
        capacity = grant.capacity();
        othersUse = grant.othersUse();
        if (!grant.mark().isEmpty() && !formerMarks.contains(grant.mark())) {
            changeMark(grant.mark());
            startedAt = now - grant.warmMillis() * PermitBook.NANOS_PER_MILLI;
            startKnown = true;
        }
    }

    /**
     * Lowers the number of permits; never raises it.
     *
     * @param newTotal The number of requests that may run at once.
     * @param newBatch The part of them that batch requests may use.
     */
    void lower(int newTotal, int newBatch) {
        total = Math.min(total, newTotal);
        batch = Math.min(batch, newBatch);
    }

    /**
     * Returns the number of requests that may run at once.
     *
     * @param now The current monotonic time in nanoseconds.
     * @return The number of requests, 0 once the lease has expired.
     */
    int heldPermits(long now) {
        return expired(now) ? 0 : total;
    }

    /**
     * Returns whether this lease has expired. Requests that already run under it continue.
     *
     * @param now The current monotonic time in nanoseconds.
     * @return Whether this lease has expired.
     */
    boolean expired(long now) {
        return now - expiresAt >= 0;
    }

    /**
     * Returns whether one more request may start.
     *
     * @param forBatch Whether it is a batch request.
     * @param now The current monotonic time in nanoseconds.
     * @return Whether it may start.
     */
    boolean hasSparePermit(boolean forBatch, long now) {
        return onlineUse + batchUse < heldPermits(now) && (!forBatch || batchUse < batch);
    }

    /**
     * Counts a request that starts.
     *
     * @param forBatch Whether it is a batch request.
     */
    void start(boolean forBatch) {
        onlineUse += forBatch ? 0 : 1;
        batchUse += forBatch ? 1 : 0;
    }

    /**
     * Counts a request that ended.
     *
     * @param forBatch Whether it was a batch request.
     */
    void end(boolean forBatch) {
        onlineUse -= forBatch ? 0 : 1;
        batchUse -= forBatch ? 1 : 0;
    }

    /** Returns the number of running requests. */
    int use() {
        return onlineUse + batchUse;
    }

    /**
     * Returns how many running batch requests must be recalled, either because they exceed the permits for batch or
     * because waiting online requests need their permits.
     *
     * @param onlineWaiting The online requests that wait for this target.
     * @return The number of batch requests to recall.
     */
    int batchExcess(int onlineWaiting) {
        int excess = Math.max(batchUse - batch, use() + onlineWaiting - total);
        return Math.clamp(excess, 0, batchUse);
    }

    /** Returns the load of the target, as the fraction of its capacity that all instances use. */
    double load() {
        return (double) (othersUse + use()) / Math.max(1, capacity);
    }

    /**
     * Records a start mark that an answer of the target carried.
     *
     * @param observedMark The start mark.
     * @param now The current monotonic time in nanoseconds.
     * @return Whether the target restarted since the last start mark.
     */
    boolean recordStartMark(String observedMark, long now) {
        boolean restarted = !mark.isEmpty() && !observedMark.equals(mark) && !formerMarks.contains(observedMark);
        if (!observedMark.isEmpty() && !formerMarks.contains(observedMark)) {
            changeMark(observedMark);
        }
        if (restarted) {
            reduceToColdShare(now);
        }
        return restarted;
    }

    /**
     * Records that the target reset a connection.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    void recordReset(long now) {
        resets++;
        reduceToColdShare(now);
    }

    /**
     * Records that the first token of an answer was received.
     *
     * @param millis The time from the request to the first token, in milliseconds.
     */
    void recordFirstToken(long millis) {
        firstTokens++;
        firstTokenMillis += millis;
    }

    /**
     * Returns whether a sign of cold must be reported to the steward at once.
     *
     * @return Whether connections were reset, or the lease was reduced and no steward has sent a grant since.
     */
    boolean needsUrgentReport() {
        return resets > 0 || reducedForCold;
    }

    /**
     * Returns the signs of cold since the last call, and starts counting again.
     *
     * @param now The current monotonic time in nanoseconds.
     * @return The signs of cold.
     */
    PermitReport.ColdSigns coldSigns(long now) {
        long warmMillis = startKnown ? (now - startedAt) / PermitBook.NANOS_PER_MILLI : -1;
        PermitReport.ColdSigns coldSigns =
                new PermitReport.ColdSigns(mark, warmMillis, resets, firstTokens, firstTokenMillis);
        resets = 0;
        firstTokens = 0;
        firstTokenMillis = 0;
        return coldSigns;
    }

    /**
     * Creates a report to the steward.
     *
     * @param onlineWanted The number of waiting online requests.
     * @param batchWanted The number of waiting batch requests.
     * @param now The current monotonic time in nanoseconds.
     * @return The report.
     */
    PermitReport report(int onlineWanted, int batchWanted, long now) {
        return new PermitReport(
                target.id(), heldPermits(now), onlineUse, batchUse, onlineWanted, batchWanted, coldSigns(now));
    }

    /**
     * Reduces the permits to the share that a cold target can handle. They are reduced only once until a steward sends
     * a grant.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    private void reduceToColdShare(long now) {
        if (reducedForCold) {
            coldSignAt = now;
            return;
        }
        reducedForCold = true;
        coldSignAt = now;
        int coldTotal = total * target.coldCapacity() / target.capacity();
        lower(coldTotal, batch * target.coldCapacity() / target.capacity());
        capacity = Math.min(capacity, target.coldCapacity());
    }

    /**
     * Replaces the current start mark and remembers the previous one.
     *
     * @param value The new start mark.
     */
    private void changeMark(String value) {
        if (value.equals(mark)) {
            return;
        }
        if (!mark.isEmpty()) {
            formerMarks.add(mark);
            if (formerMarks.size() > MAX_FORMER_MARKS) {
                formerMarks.remove(formerMarks.iterator().next());
            }
        }
        mark = value;
        startKnown = false;
    }
}
