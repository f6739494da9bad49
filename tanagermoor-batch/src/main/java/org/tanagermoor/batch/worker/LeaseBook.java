package org.tanagermoor.batch.worker;

import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.tanagermoor.batch.proto.LeaseKey;

/** The chunks that are lent to this instance, by their leases. Only for use by the thread of the duty. */
final class LeaseBook {

    /** Maximum number of revoked leases that are remembered. */
    private static final int MAX_REVOKED_LEASES = 4_096;

    private final Map<LeaseKey, ChunkRun> runs = new LinkedHashMap<>();

    /** Leases that were revoked recently. The answer that lends their chunks may still arrive. */
    private final Set<LeaseKey> revokedLeases = new LinkedHashSet<>();

    /** Creates a book without leases. */
    LeaseBook() {
        // No chunk is lent yet.
    }

    /**
     * Adds a chunk, unless its lease was already revoked or is already known.
     *
     * @return Whether it was added.
     */
    boolean add(ChunkRun run) {
        LeaseKey key = run.chunk().getLease();
        return !revokedLeases.contains(key) && runs.putIfAbsent(key, run) == null;
    }

    /** Removes a chunk, for example when it is reported. */
    void remove(ChunkRun run) {
        runs.remove(run.chunk().getLease());
    }

    /** Returns whether a chunk is still lent. */
    boolean contains(ChunkRun run) {
        return runs.containsKey(run.chunk().getLease());
    }

    /**
     * Returns all chunks that are lent.
     *
     * @return A copy, which later changes do not affect.
     */
    List<ChunkRun> all() {
        return List.copyOf(runs.values());
    }

    /**
     * Extends the leases that a steward has renewed, and cancels the chunks of the requested leases that it has not.
     *
     * @param requestedAt The monotonic time of the request in nanoseconds.
     * @param requested The leases that the request named.
     * @param renewed The leases that the steward has renewed.
     */
    void renewed(long requestedAt, List<LeaseKey> requested, Collection<LeaseKey> renewed) {
        Set<LeaseKey> renewedKeys = new HashSet<>(renewed);
        for (LeaseKey key : requested) {
            ChunkRun run = runs.get(key);
            if (run == null) {
                continue;
            }
            if (renewedKeys.contains(key)) {
                run.renew(
                        requestedAt + TimeUnit.MILLISECONDS.toNanos(run.chunk().getLeaseMillis()));
            } else if (!run.closed()) {
                run.cancel();
            }
        }
    }

    /** Revokes a lease. No item of its chunk starts any more, even if the chunk arrives later. */
    void revoke(LeaseKey key) {
        ChunkRun run = runs.get(key);
        if (run != null) {
            run.cancel();
        }
        revokedLeases.add(key);
        if (revokedLeases.size() > MAX_REVOKED_LEASES) {
            revokedLeases.remove(revokedLeases.iterator().next());
        }
    }
}
