package org.tanagermoor.policy.quarantine;

import java.util.List;

/** What is done next for the suspects of a service. */
public sealed interface IsolationStep {

    /** Nothing can be done now. */
    record Wait() implements IsolationStep {}

    /**
     * A target is reserved: it gets no other requests from now on, and those that it has end or go elsewhere.
     *
     * @param target The identity of the target.
     */
    record Reserve(String target) implements IsolationStep {}

    /**
     * The reservation of a target ends.
     *
     * @param target The identity of the target.
     * @param reason Why, for people.
     */
    record Release(String target, String reason) implements IsolationStep {}

    /**
     * Suspects run at the reserved target.
     *
     * @param target The identity of the target.
     * @param runs The identities of their runs, at least one.
     */
    record Run(String target, List<String> runs) implements IsolationStep {}
}
