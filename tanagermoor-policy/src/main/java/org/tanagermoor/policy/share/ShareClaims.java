package org.tanagermoor.policy.share;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * What the control store tells a dispatcher about the shares that are not lent to it. A dispatcher that lacks shares
 * claims in the store, again and again, those that it has. Shares that nobody has claimed for long belong to instances
 * that have ended, rather than to instances that are cut off from this one. Not thread-safe.
 *
 * <p>The times fit together: a share that was not claimed is no longer used ({@link #LAPSE_NANOS}) before others count
 * it as lost ({@link #LOSS_NANOS}), and a first claim is relied upon ({@link #SETTLE_NANOS}) only when nobody acts on
 * an earlier state of the store any more ({@link #READ_VALID_NANOS}).
 */
final class ShareClaims {

    /** The interval between two claims in nanoseconds. */
    static final long INTERVAL_NANOS = Duration.ofSeconds(1).toNanos();

    /**
     * The time for which a share is used without a claim after a dispatcher with most shares had it, in nanoseconds: an
     * outage of the store, or a cut from it, that callers of a few instances are to survive.
     */
    static final long LAPSE_NANOS = Duration.ofSeconds(15).toNanos();

    /** The time without a claim after which a share counts as lost, in nanoseconds. */
    private static final long LOSS_NANOS = Duration.ofSeconds(18).toNanos();

    /**
     * The same for a dispatcher with few shares, in nanoseconds. Another one that has most shares needs no claims, so
     * this is longer than an outage of the store that must be survived.
     */
    private static final long LONG_LOSS_NANOS = Duration.ofSeconds(30).toNanos();

    /** The time after its start for which a read of the store may be acted upon, in nanoseconds. */
    private static final long READ_VALID_NANOS = Duration.ofMillis(2_500).toNanos();

    /** The time after the first claim of a share before which it is not relied upon, in nanoseconds. */
    private static final long SETTLE_NANOS = Duration.ofSeconds(3).toNanos();

    /** The last claims of other dispatchers, by the name of the claimant. */
    private final Map<String, Seen> claims = new HashMap<>();

    /** The monotonic times in nanoseconds at which shares were first missed or last claimed by others, by name. */
    private final Map<String, Long> missedSince = new HashMap<>();

    /** The claims that this dispatcher has made, by the name of the instance whose share is claimed. */
    private final Map<String, Claimed> claimed = new HashMap<>();

    /** Whether the store has been read since this dispatcher last had all shares. */
    private boolean read;

    /** The monotonic time in nanoseconds at which the last successful read was sent. */
    private long readAt;

    /** Whether this dispatcher has many shares, so that no other one has most of them. */
    private boolean many;

    /** Forgets everything, as this dispatcher lacks no shares, or has none. */
    void clear() {
        claims.clear();
        missedSince.clear();
        claimed.clear();
        read = false;
    }

    /** Notes whether this dispatcher has so many shares that no other one can have most of them. */
    void many(boolean value) {
        if (value && !many) {
            // Until now another dispatcher may have used the missing shares without claims.
            missedSince.clear();
        }
        many = value;
    }

    /**
     * Records a claim that the store has taken.
     *
     * @param names The names of the instances whose shares were claimed.
     * @param sentAt The monotonic time in nanoseconds at which the claim was sent.
     * @param now The current monotonic time in nanoseconds.
     */
    void claimed(Set<String> names, long sentAt, long now) {
        claimed.keySet().retainAll(names);
        for (String name : names) {
            Claimed before = claimed.get(name);
            long since = before == null || now - before.at >= LAPSE_NANOS ? now : before.since;
            claimed.put(name, new Claimed(since, sentAt));
        }
    }

    /** Returns whether all others that read the store know that this dispatcher claims a share. */
    boolean relied(String name, long now) {
        Claimed claim = claimed.get(name);
        return claim != null && now - claim.at < LAPSE_NANOS && now - claim.since >= SETTLE_NANOS;
    }

    /**
     * Records a read of all claims.
     *
     * @param found The claims of other dispatchers.
     * @param missing The names of the instances whose shares this dispatcher lacks.
     * @param sentAt The monotonic time in nanoseconds at which the read was sent.
     * @param now The current monotonic time in nanoseconds.
     */
    void read(Collection<ShareClaim> found, Set<String> missing, long sentAt, long now) {
        read = true;
        readAt = sentAt;
        missedSince.keySet().retainAll(missing);
        missing.forEach(name -> missedSince.putIfAbsent(name, now));
        for (ShareClaim claim : found) {
            Seen before = claims.get(claim.claimant());
            Seen seen = before != null && before.version == claim.version()
                    ? before
                    : new Seen(claim.version(), claim.names(), now);
            claims.put(claim.claimant(), seen);
            for (String name : claim.names()) {
                missedSince.computeIfPresent(name, (key, since) -> since - seen.changedAt < 0 ? seen.changedAt : since);
            }
        }
    }

    /** Returns the names of the missing instances whose shares count as lost. */
    Set<String> lost(long now) {
        Set<String> result = new HashSet<>();
        if (read && now - readAt < READ_VALID_NANOS) {
            long nanos = many ? LOSS_NANOS : LONG_LOSS_NANOS;
            missedSince.forEach((name, since) -> {
                if (readAt - since >= nanos) {
                    result.add(name);
                }
            });
        }
        return result;
    }

    /**
     * A claim, as it was last read.
     *
     * @param version The version of its row.
     * @param names The names of the instances whose shares are claimed.
     * @param changedAt The monotonic time in nanoseconds at which this version was first read.
     */
    private record Seen(long version, Set<String> names, long changedAt) {}

    /**
     * The claims of one share by this dispatcher.
     *
     * @param since The monotonic time in nanoseconds at which the store had taken the first of them.
     * @param at The monotonic time in nanoseconds at which the last one was sent.
     */
    private record Claimed(long since, long at) {}
}
