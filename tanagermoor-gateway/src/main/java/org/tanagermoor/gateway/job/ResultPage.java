package org.tanagermoor.gateway.job;

import java.util.List;

/**
 * Recorded results of a job, as one read returned them.
 *
 * @param results The results, ordered by position.
 * @param last Whether no further results were recorded at the time of the read.
 */
public record ResultPage(List<JobResult> results, boolean last) {

    /** Returns whether the read ended before the end of the first result, so that nothing is known of it. */
    boolean holdsNoResult() {
        return results.isEmpty() && !last;
    }
}
