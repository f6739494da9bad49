package org.tanagermoor.gateway.job;

import org.tanagermoor.gateway.proto.JobRow;

/**
 * The row of a job, with the version at which it was read or written.
 *
 * @param row The content of the row.
 * @param version The version of the row. Every write for the job is conditional on it, so that a writer that knows only
 *     an earlier state fails.
 */
public record JobRecord(JobRow row, long version) {

    /** Returns whether the job has not been ended and has items without a recorded result. */
    public boolean open() {
        return !row.getEnded() && row.getRecorded() < row.getTotal();
    }
}
