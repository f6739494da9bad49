package org.tanagermoor.policy.retry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.tanagermoor.kernel.failure.Execution;
import org.tanagermoor.kernel.failure.Failure;

class RetryDecisionTest {

    @ParameterizedTest
    @CsvSource({
        "UNAVAILABLE, UNKNOWN, true, false, 1, true",
        "UNAVAILABLE, UNKNOWN, false, false, 1, false",
        "UNAVAILABLE, NOT_RUN, false, false, 1, true",
        "UNAVAILABLE, NOT_RUN, true, true, 1, false",
        "UNAVAILABLE, UNKNOWN, true, false, 3, false",
        "OVERLOADED, UNKNOWN, true, false, 1, true",
        "OVERLOADED, UNKNOWN, false, false, 1, false",
        "TIMEOUT, UNKNOWN, true, false, 2, true",
        "CORRUPT, UNKNOWN, true, false, 1, true",
        "CORRUPT, UNKNOWN, false, false, 1, false",
        "UNAUTHENTICATED, NOT_RUN, true, false, 1, false",
        "NO_STANDING, NOT_RUN, true, false, 1, false",
        "TOO_LARGE, UNKNOWN, true, false, 1, false",
    })
    void allowsOnlySafeRetries(
            Failure.Kind kind,
            Execution execution,
            boolean idempotent,
            boolean answered,
            int attempts,
            boolean expected) {
        Failure failure = new Failure(kind, "step", "peer", "", execution);
        assertThat(RetryDecision.allows(failure, idempotent, answered, attempts), is(expected));
    }
}
