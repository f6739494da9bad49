package org.tanagermoor.policy.target;

import org.tanagermoor.policy.configuration.Target;

/**
 * A target that a request may use, with its load.
 *
 * @param target The target.
 * @param load The fraction of the current capacity of the target that is in use, from 0; above 1 when it is overloaded.
 */
public record Candidate(Target target, double load) {

    /**
     * Creates a candidate.
     *
     * @param target The target.
     * @param load The fraction of the current capacity of the target that is in use.
     * @return A candidate.
     */
    public static Candidate of(Target target, double load) {
        return new Candidate(target, load);
    }

    String name() {
        return target.id().value();
    }
}
