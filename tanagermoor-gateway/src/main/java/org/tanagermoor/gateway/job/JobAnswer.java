package org.tanagermoor.gateway.job;

import org.tanagermoor.gateway.edge.Refusal;

/** The answer to a caller's request about a job. */
public sealed interface JobAnswer {

    /** The job has been accepted and stored durably. */
    record Accepted() implements JobAnswer {}

    /**
     * Results of a job.
     *
     * @param page The results that fit into one answer.
     */
    record Results(JobPage page) implements JobAnswer {}

    /**
     * The body of an item.
     *
     * @param body The bytes that are sent to the target.
     */
    @SuppressWarnings("ArrayRecordComponent")
    record Item(byte[] body) implements JobAnswer {}

    /** The job has ended: none of its items remain to be run. */
    record Ended() implements JobAnswer {}

    /**
     * The request is refused.
     *
     * @param refusal The kind and the detail of the refusal, and when the caller can retry.
     */
    record Refused(Refusal refusal) implements JobAnswer {}
}
