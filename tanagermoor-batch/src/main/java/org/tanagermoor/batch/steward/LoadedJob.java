package org.tanagermoor.batch.steward;

import org.tanagermoor.batch.store.JobLayout;
import org.tanagermoor.batch.store.JobRecord;
import org.tanagermoor.batch.store.ProgressLog;

/**
 * A job that was taken over.
 *
 * @param job The job, with the epoch of this steward.
 * @param layout The distribution of its items over objects.
 * @param log The recorded progress.
 */
record LoadedJob(JobRecord job, JobLayout layout, ProgressLog log) {

    /**
     * Returns whether an earlier steward may have lent chunks of the job, which is so in every epoch but the first.
     */
    boolean lentBefore() {
        return job.row().getEpoch() > 1;
    }
}
