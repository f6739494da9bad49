package org.tanagermoor.policy.batch;

import org.tanagermoor.policy.fleet.InstanceId;

/**
 * A chunk that is lent to an instance, the worker, for a limited time.
 *
 * @param id The identity, unique among the leases of the job, also those of earlier and later stewards.
 * @param worker The instance that runs the chunk.
 * @param chunk The items that are lent, with their losses.
 * @param expiry The monotonic time in nanoseconds at which the lease lapses for the steward. For the worker it lapses
 *     earlier, because the worker counts from the time of its request.
 */
public record ChunkLease(long id, InstanceId worker, Chunk chunk, long expiry) {

    /**
     * Returns this lease with another expiry.
     *
     * @param value The monotonic time in nanoseconds.
     */
    public ChunkLease withExpiry(long value) {
        return new ChunkLease(id, worker, chunk, value);
    }

    /**
     * Returns whether this lease has expired.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    public boolean lapsed(long now) {
        return now - expiry >= 0;
    }
}
