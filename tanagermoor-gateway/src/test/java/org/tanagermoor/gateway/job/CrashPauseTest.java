package org.tanagermoor.gateway.job;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.tanagermoor.gateway.dispatch.PlaceOutcome;

/** How often an item runs whose targets crash. */
final class CrashPauseTest {

    private static final long RUN_MILLIS = 200;

    private final CrashPause pause = new CrashPause();

    /** An item that crashed each target ran again 0.2 s later, 79 times in 37 s. */
    @Test
    void spacesTheRunsOfAnItemThatCrashesEachTarget() {
        int runs = 0;
        for (long time = 0; time < 37_000; time += RUN_MILLIS + pause.afterRun(PlaceOutcome.CRASHED, 0)) {
            runs++;
        }
        assertThat(runs, is(lessThanOrEqualTo(9)));
    }

    /** A run with progress ends the doubling; one that failed without any does not. */
    @ParameterizedTest
    @CsvSource({"FAILED, 5, 200", "FAILED, 0, 800", "UNREACHABLE, 0, 800"})
    void beginsAnewAfterProgress(PlaceOutcome outcome, long events, long expectedMillis) {
        assertThat(pause.afterRun(PlaceOutcome.CRASHED, 0), is(200L));
        assertThat(pause.afterRun(PlaceOutcome.CRASHED, 1), is(400L));
        assertThat(pause.afterRun(outcome, events), is(0L));
        assertThat(pause.afterRun(PlaceOutcome.CRASHED, 0), is(expectedMillis));
    }
}
