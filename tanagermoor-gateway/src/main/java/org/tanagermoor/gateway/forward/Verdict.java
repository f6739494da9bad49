package org.tanagermoor.gateway.forward;

import io.netty.handler.codec.http.HttpStatusClass;
import java.util.Set;

/** What the head of a target's answer says about the run of a request. */
public sealed interface Verdict {

    /** The statuses that promise a caller that its request has not run. */
    Set<Integer> PROMISES = Set.of(408, 429, 503);

    /**
     * Returns what a head says.
     *
     * @param head The final head of an answer that names the request, not an informational one.
     * @return The verdict.
     */
    static Verdict of(TargetHead head) {
        if (head.notRun() || head.misdirected()) {
            return new NotRun();
        }
        boolean success = HttpStatusClass.valueOf(head.status()) == HttpStatusClass.SUCCESS;
        if (!head.signed() && (success || PROMISES.contains(head.status()))) {
            return new Unproven(head.status());
        }
        return success ? new Succeeded() : new Failed(head.status());
    }

    /** The target states that it did not run the request. */
    record NotRun() implements Verdict {}

    /** The target has signed a success, which is complete with the rest of the answer. */
    record Succeeded() implements Verdict {}

    /**
     * The status is that of a success, or promises that the request has not run, but nothing shows that the answer is
     * the target's own.
     *
     * @param status The HTTP status.
     */
    record Unproven(int status) implements Verdict {}

    /**
     * The request failed at the target.
     *
     * @param status The HTTP status, which is no success.
     */
    record Failed(int status) implements Verdict {}
}
