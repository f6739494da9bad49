package org.tanagermoor.batch.store;

import org.tanagermoor.batch.proto.JobRow;

/**
 * The row of a job as it was read.
 *
 * @param row The content of the row.
 * @param version The version of the row, which a conditional write names.
 */
public record JobRecord(JobRow row, long version) {

    /** Returns the key of the job, which the row contains. */
    public JobKey key() {
        return JobKey.of(row.getTeam(), row.getKey());
    }

    /** Returns whether the job is neither done nor cancelled. */
    public boolean active() {
        return row.getState() == JobRow.State.ACTIVE;
    }
}
