package org.tanagermoor.gateway.job;

import java.util.List;

/**
 * The results of a job that fit into one answer.
 *
 * @param total The number of items of the job.
 * @param next The position after the last of these results.
 * @param results The results, ordered by position.
 */
public record JobPage(int total, int next, List<JobResult> results) {}
