package org.tanagermoor.gateway.edge;

/** A decoded request of a caller, by its purpose. */
public sealed interface CallerRequest {

    /** Asks whether this instance accepts requests. */
    record Readiness() implements CallerRequest {}

    /**
     * Asks which instances the caller may use.
     *
     * @param domain The failure domain of the caller.
     */
    record Directory(String domain) implements CallerRequest {}

    /**
     * A request that is served by a route of the configuration: an online request or the submission of a job.
     *
     * @param head The request line and the headers.
     */
    record Routed(CallHead head) implements CallerRequest {}

    /**
     * Asks for results of a job.
     *
     * @param head The request line and the headers.
     * @param job The identity of the job.
     * @param after The position of the first result that is wanted.
     * @param waitMillis How long the request may wait for a result, in milliseconds.
     */
    record ReadResults(CallHead head, String job, int after, long waitMillis) implements CallerRequest {}

    /**
     * Asks for the body of an item of a job.
     *
     * @param head The request line and the headers.
     * @param job The identity of the job.
     * @param item The identity of the item.
     */
    record ReadItem(CallHead head, String job, String item) implements CallerRequest {}

    /**
     * Asks to end a job.
     *
     * @param head The request line and the headers.
     * @param job The identity of the job.
     */
    record EndJob(CallHead head, String job) implements CallerRequest {}

    /**
     * A request that cannot be decoded.
     *
     * @param detail The reason, for the caller.
     */
    record Malformed(String detail) implements CallerRequest {}
}
