package org.tanagermoor.budget;

import org.tanagermoor.kernel.failure.Failure;

/** Creates the failures for requests that could not take an amount from a budget. */
final class Refusals {

    /** The step that is named in the failures. */
    private static final String STEP = "budget.take";

    private Refusals() {}

    /** Returns the failure for an instance without standing, whose configuration may be outdated. */
    static Failure noStanding() {
        return Failure.notRun(
                Failure.Kind.NO_STANDING, STEP, Failure.LOCAL, "this instance may be behind and takes no new work");
    }

    /** Returns the failure for a request that exceeds the rate of its budget. */
    static Failure usedUp(String budget) {
        return Failure.notRun(Failure.Kind.RATE_LIMITED, STEP, Failure.LOCAL, "the budget is used up: " + budget);
    }

    /** Returns the failure for a budget from which no share was obtained in time. */
    static Failure noShare(String budget) {
        return Failure.notRun(
                Failure.Kind.UNAVAILABLE, STEP, Failure.LOCAL, "no share of the budget was lent in time: " + budget);
    }
}
