package org.tanagermoor.batch.http;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Locale;
import org.tanagermoor.batch.proto.JobRow;
import org.tanagermoor.batch.store.JobRecord;
import org.tanagermoor.batch.store.ProgressLog;
import org.tanagermoor.http.Json;
import org.tanagermoor.policy.batch.Outcomes;
import org.tanagermoor.policy.batch.Progress;

/** Formats the state and the outcomes of jobs as JSON. */
final class JobStatus {

    private JobStatus() {}

    /** Sums up the outcomes that a progress log records. */
    static Outcomes outcomes(ProgressLog log) {
        return log.entries().stream().map(Progress::outcomes).reduce(Outcomes.NONE, Outcomes::plus);
    }

    /** Returns the outcomes that the row of a finished job holds. */
    static Outcomes outcomes(JobRow row) {
        return Outcomes.of(row.getCompleted(), row.getFailed(), row.getUnknown());
    }

    /** Formats the answer to the submission of a job, which is also its entry in a list of jobs. */
    static ObjectNode accepted(JobRecord job) {
        return Json.mapper()
                .createObjectNode()
                .put("job", job.row().getKey())
                .put("items", job.row().getItems())
                .put("state", state(job.row()));
    }

    /** Formats the status of a job. */
    static ObjectNode status(JobRecord job, Outcomes outcomes) {
        return Json.mapper()
                .createObjectNode()
                .put("job", job.row().getKey())
                .put("state", state(job.row()))
                .put("items", job.row().getItems())
                .put("completed", outcomes.completed())
                .put("failed", outcomes.failed())
                .put("unknown", outcomes.unknown())
                .put("due", job.row().getDueMillis());
    }

    /**
     * Returns the name of a job's state in lower case.
     *
     * @param row The row of the job.
     */
    static String state(JobRow row) {
        return row.getState().name().toLowerCase(Locale.ROOT);
    }
}
