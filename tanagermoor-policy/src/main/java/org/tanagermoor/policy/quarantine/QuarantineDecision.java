package org.tanagermoor.policy.quarantine;

import org.tanagermoor.policy.prompt.Prompt;

/** The decision on a request by the parts that its prompt has. */
public sealed interface QuarantineDecision {

    /** No part is held back. */
    record Admitted() implements QuarantineDecision {}

    /**
     * A part is held back, and a request is due that finds out whether targets bear it again.
     *
     * @param entry What is known of the part.
     */
    record TrialDue(QuarantineEntry entry) implements QuarantineDecision {}

    /**
     * The request is refused for a part that is held back.
     *
     * @param entry What is known of the part.
     * @param remainingNanos The time until the next trial, in nanoseconds.
     */
    record Refused(QuarantineEntry entry, long remainingNanos) implements QuarantineDecision {

        /** Describes the part, or the content of the request, and the evidence against it for people. */
        public String detail() {
            String mark = entry.part();
            return (mark.startsWith(Prompt.CONTENT_PREFIX) ? mark : "part " + mark + " of the prompt") + ": "
                    + entry.evidence();
        }
    }
}
