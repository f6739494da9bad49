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

/** The chunks that are lent to this instance. Used by the thread of the duty only. */
final class LeaseBook {

    /** The leases that were taken back that are remembered. */
    private static final int MAX_REVOKED_LEASES = 4_096;

    /** The chunks by lease. */
    private final Map<LeaseKey, ChunkRun> runs = new LinkedHashMap<>();

    /** The leases that were taken back lately. They may still be on their way here. */
    private final Set<LeaseKey> revokedLeases = new LinkedHashSet<>();

    /** Creates a book without leases. */
    LeaseBook() {
        // Nothing is lent yet.
    }

    /**
     * Adds a chunk, unless its lease was taken back already.
     *
     * @param run The chunk.
     * @return Whether it was added.
     */
    boolean add(ChunkRun run) {
        LeaseKey key = run.chunk().getLease();
        return !revokedLeases.contains(key) && runs.putIfAbsent(key, run) == null;
    }

    /**
     * Removes a chunk.
     *
     * @param run The chunk.
     */
    void remove(ChunkRun run) {
        runs.remove(run.chunk().getLease());
    }

    /**
     * Returns whether a chunk is lent.
     *
     * @param run The chunk.
     * @return Whether it is lent.
     */
    boolean contains(ChunkRun run) {
        return runs.containsKey(run.chunk().getLease());
    }

    /**
     * Returns all chunks.
     *
     * @return All chunks, as they are now.
     */
    List<ChunkRun> all() {
        return List.copyOf(runs.values());
    }

    /**
     * Takes in which leases are renewed. The others are over.
     *
     * @param requestedAt When it was asked, as monotonic time in nanoseconds.
     * @param requested The leases that were to be renewed.
     * @param renewed The leases that are renewed.
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

    /**
     * Takes a lease back. No item of it starts any more, also if it is still on its way here.
     *
     * @param key The lease.
     */
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
