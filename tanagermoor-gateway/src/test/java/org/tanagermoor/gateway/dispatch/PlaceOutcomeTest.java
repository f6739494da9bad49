package org.tanagermoor.gateway.dispatch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What the end of a connection says about the request. */
final class PlaceOutcomeTest {

    /** Connections that targets reset before any byte of an answer were taken for crashes under a sound part. */
    @ParameterizedTest
    @CsvSource({
        "false, 0, true, FAILED",
        "false, 0, false, FAILED",
        "true, 0, true, CRASHED",
        "true, 1, false, CRASHED",
        "true, 2, true, FAILED",
        "true, 2, false, BROKEN_OFF"
    })
    void takesOnlyAnAnswerThatHadBegunForACrash(
            boolean accepted, long events, boolean resumable, PlaceOutcome outcome) {
        assertThat(PlaceOutcome.ofEarlyEnd(accepted, events, resumable), is(outcome));
    }
}
