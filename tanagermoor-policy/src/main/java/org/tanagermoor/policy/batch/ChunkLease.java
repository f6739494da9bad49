package org.tanagermoor.policy.batch;

import org.tanagermoor.policy.fleet.InstanceId;

/**
 * A chunk that is lent to an instance.
 *
 * @param id The identity, which no other lease of the job has, also under another steward.
 * @param worker The instance.
 * @param chunk The chunk.
 * @param expiry The monotonic time in nanoseconds at which it lapses for the steward. For the worker it lapses earlier,
 *     as the worker counts from when it asked.
 */
public record ChunkLease(long id, InstanceId worker, Chunk chunk, long expiry) {

    /**
     * Returns this lease with another expiry.
     *
     * @param value The monotonic time in nanoseconds.
     * @return A lease that is otherwise equal to this one.
     */
    public ChunkLease withExpiry(long value) {
        return new ChunkLease(id, worker, chunk, value);
    }

    /**
     * Returns whether this lease has lapsed.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    public boolean lapsed(long now) {
        return now - expiry >= 0;
    }
}
