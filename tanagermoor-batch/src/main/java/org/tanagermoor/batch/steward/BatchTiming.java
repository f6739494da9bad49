package org.tanagermoor.batch.steward;

import java.time.Duration;

/**
 * The timing of batch.
 *
 * @param lease The duration of the lease of a chunk, after which a worker that does not renew it loses the chunk.
 * @param scan The interval between two scans for jobs.
 */
public record BatchTiming(Duration lease, Duration scan) {}
