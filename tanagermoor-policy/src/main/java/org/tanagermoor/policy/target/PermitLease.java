package org.tanagermoor.policy.target;

import java.util.LinkedHashSet;
import java.util.Set;
import org.tanagermoor.policy.configuration.Target;

/** The permits of one target that an instance holds, and what it knows of the target. Not safe for several threads. */
final class PermitLease {

    /** The most former start marks that are remembered. */
    private static final int FORMER_MARKS = 8;

    /** The target. */
    private Target target;

    /** The requests that may run at once, while the lease is valid. */
    private int total;

    /** The part of them that batch may use. */
    private int batch;

    /** The monotonic time at which the lease lapses, in nanoseconds. */
    private long expiry;

    /** The monotonic time at which the target last showed a sign of cold, in nanoseconds. */
    private long coldAt;

    /** Whether this lease was lowered since, and no steward spoke after it. */
    private boolean fallen;

    /** The online requests that run. */
    private int onlineUse;

    /** The batch requests that run. */
    private int batchUse;

    /** What the target bears at present, over all instances together. */
    private int capacity;

    /** What other instances use. */
    private int othersUse;

    /** The start mark that is known, or empty text. */
    private String mark = "";

    /** The start marks that were known before. */
    private final Set<String> formerMarks = new LinkedHashSet<>();

    /** The monotonic time at which the target started, as a steward told it, in nanoseconds. */
    private long startedAt;

    /** Whether a steward told the start of the target for the known start mark. */
    private boolean startKnown;

    /** The connections that were reset since the last report. */
    private int resets;

    /** The first tokens since the last report. */
    private int firstTokens;

    /** The sum of the times to these first tokens, in milliseconds. */
    private long firstTokenMillis;

    /**
     * Creates an empty lease.
     *
     * @param target The target.
     * @param now The present monotonic time in nanoseconds.
     */
    PermitLease(Target target, long now) {
        this.target = target;
        capacity = target.capacity();
        expiry = now;
        coldAt = now;
    }

    /**
     * Returns the target.
     *
     * @return The target.
     */
    Target target() {
        return target;
    }

    /**
     * Changes what the configuration says of the target.
     *
     * @param value The target.
     */
    void target(Target value) {
        target = value;
    }

    /**
     * Applies a grant in place of what was held. One that was asked for before the target showed a sign of cold only
     * lowers what is held.
     *
     * @param grant The grant.
     * @param asked The monotonic time at which it was asked for, in nanoseconds.
     * @param lapses The monotonic time at which it lapses, in nanoseconds.
     * @param now The present monotonic time in nanoseconds.
     */
    void apply(PermitGrant grant, long asked, long lapses, long now) {
        if (asked - coldAt < 0) {
            lower(Math.min(held(now), grant.total()), grant.batch());
            expiry = lapses;
            return;
        }
        fallen = false;
        total = grant.total();
        batch = grant.batch();
        expiry = lapses;
        capacity = grant.capacity();
        othersUse = grant.othersUse();
        if (!grant.mark().isEmpty() && !formerMarks.contains(grant.mark())) {
            changeMark(grant.mark());
            startedAt = now - grant.warmMillis() * PermitBook.NANOS_PER_MILLI;
            startKnown = true;
        }
    }

    /**
     * Lowers what is held. A recall never raises it.
     *
     * @param newTotal The requests that may run at once.
     * @param newBatch The part of them that batch may use.
     */
    void lower(int newTotal, int newBatch) {
        total = Math.min(total, newTotal);
        batch = Math.min(batch, newBatch);
    }

    /**
     * Returns the requests that may run at once.
     *
     * @param now The present monotonic time in nanoseconds.
     * @return The requests that may run at once, 0 once the lease has lapsed.
     */
    int held(long now) {
        return lapsed(now) ? 0 : total;
    }

    /**
     * Returns whether this lease has lapsed. What runs under it goes on.
     *
     * @param now The present monotonic time in nanoseconds.
     * @return Whether this lease has lapsed.
     */
    boolean lapsed(long now) {
        return now - expiry >= 0;
    }

    /**
     * Returns whether one more request may run.
     *
     * @param forBatch Whether it is a batch request.
     * @param now The present monotonic time in nanoseconds.
     * @return Whether it may run.
     */
    boolean spare(boolean forBatch, long now) {
        return onlineUse + batchUse < held(now) && (!forBatch || batchUse < batch);
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

    /**
     * Returns the requests that run.
     *
     * @return The requests that run.
     */
    int use() {
        return onlineUse + batchUse;
    }

    /**
     * Returns the batch requests that run beyond what batch may use.
     *
     * @param onlineWaiting The online requests that wait for this target.
     * @return The number of batch requests to recall.
     */
    int batchExcess(int onlineWaiting) {
        int beyond = Math.max(batchUse - batch, use() + onlineWaiting - total);
        return Math.clamp(beyond, 0, batchUse);
    }

    /**
     * Returns the part of what the target bears that is in use.
     *
     * @return The load.
     */
    double load() {
        return (double) (othersUse + use()) / Math.max(1, capacity);
    }

    /**
     * Notes a start mark that an answer of the target carried.
     *
     * @param seen The start mark.
     * @param now The present monotonic time in nanoseconds.
     * @return Whether the target started anew since the last one.
     */
    boolean recordStartMark(String seen, long now) {
        boolean restarted = !mark.isEmpty() && !seen.equals(mark) && !formerMarks.contains(seen);
        if (!seen.isEmpty() && !formerMarks.contains(seen)) {
            changeMark(seen);
        }
        if (restarted) {
            fallToColdShare(now);
        }
        return restarted;
    }

    /**
     * Notes that the target reset a connection.
     *
     * @param now The present monotonic time in nanoseconds.
     */
    void recordReset(long now) {
        resets++;
        fallToColdShare(now);
    }

    /**
     * Notes a first token.
     *
     * @param millis The time to it in milliseconds.
     */
    void recordFirstToken(long millis) {
        firstTokens++;
        firstTokenMillis += millis;
    }

    /**
     * Returns whether the steward must be told of a sign of cold at once.
     *
     * @return Whether connections were reset, or the lease was lowered and no steward spoke since.
     */
    boolean alarmed() {
        return resets > 0 || fallen;
    }

    /**
     * Returns the signs of cold since the last call.
     *
     * @param now The present monotonic time in nanoseconds.
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
     * Returns a report to the steward.
     *
     * @param onlineWanted The online requests that wait.
     * @param batchWanted The batch requests that wait.
     * @param now The present monotonic time in nanoseconds.
     * @return The report.
     */
    PermitReport report(int onlineWanted, int batchWanted, long now) {
        return new PermitReport(target.id(), held(now), onlineUse, batchUse, onlineWanted, batchWanted, coldSigns(now));
    }

    /**
     * Lowers what is held to the part that a cold target bears. Once is enough until a steward speaks.
     *
     * @param now The present monotonic time in nanoseconds.
     */
    private void fallToColdShare(long now) {
        if (fallen) {
            coldAt = now;
            return;
        }
        fallen = true;
        coldAt = now;
        int cold = total * target.coldCapacity() / target.capacity();
        lower(cold, batch * target.coldCapacity() / target.capacity());
        capacity = Math.min(capacity, target.coldCapacity());
    }

    /**
     * Changes the start mark that is known.
     *
     * @param value The start mark.
     */
    private void changeMark(String value) {
        if (value.equals(mark)) {
            return;
        }
        if (!mark.isEmpty()) {
            formerMarks.add(mark);
            if (formerMarks.size() > FORMER_MARKS) {
                formerMarks.remove(formerMarks.iterator().next());
            }
        }
        mark = value;
        startKnown = false;
    }
}
