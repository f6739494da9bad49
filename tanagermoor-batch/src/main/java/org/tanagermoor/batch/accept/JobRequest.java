package org.tanagermoor.batch.accept;

import java.util.function.BooleanSupplier;
import org.tanagermoor.batch.proto.JobRow;
import org.tanagermoor.batch.store.JobKey;
import org.tanagermoor.policy.fleet.ServiceName;

/**
 * The job that a caller asks to accept.
 *
 * @param key The key of the job.
 * @param service The service that runs the items.
 * @param dueMillis The wall-clock time in milliseconds at which the results are due.
 * @param repeatable Whether items that do not specify it may be repeated.
 * @param authorized Returns whether the key of the caller is still a key of the team; called again before the
 *     commit.
 */
public record JobRequest(
        JobKey key, ServiceName service, long dueMillis, boolean repeatable, BooleanSupplier authorized) {

    /**
     * Returns the row of the job, without the fields that are known only at the end of the upload.
     *
     * @param nowMillis The current wall-clock time in milliseconds.
     */
    JobRow row(long nowMillis) {
        return JobRow.newBuilder()
                .setTeam(key.team())
                .setKey(key.key())
                .setService(service.value())
                .setDueMillis(dueMillis)
                .setRepeatable(repeatable)
                .setState(JobRow.State.ACTIVE)
                .setAcceptedMillis(nowMillis)
                .build();
    }
}
