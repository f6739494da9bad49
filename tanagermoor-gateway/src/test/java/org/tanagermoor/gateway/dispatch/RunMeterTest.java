package org.tanagermoor.gateway.dispatch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Optional;
import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.tanagermoor.gateway.forward.TargetHead;
import org.tanagermoor.gateway.forward.TargetLoad;

/** Tests the measurement of runs. */
final class RunMeterTest {

    private static final TargetLoad LOAD = new TargetLoad(3, 1, 8, 120);

    /** The times count from the request, and the time per event does not include the wait for the first one. */
    @Test
    void measuresAStream() {
        RunMeter meter = RunMeter.of(1_000);
        meter.head(head(200, false, true), 1_050);
        for (long now = 1_100; now <= 1_400; now += 100) {
            meter.event(now);
        }
        RunAnswer answer = meter.end(1_400);
        assertThat(answer, is(new RunAnswer(false, 100, 4, 400, Optional.of(new LoadReport(LOAD, 1_050)))));
        assertThat(answer.nanosPerEvent(), is(100L));
    }

    /**
     * A status of 500 or above is a failure, unless the target states that it did not run the request. The head of an
     * answer without events counts as its first event, so that a slow version shows on routes without streams too.
     */
    @ParameterizedTest
    @CsvSource({"200, false, false", "422, false, false", "499, false, false", "500, false, true", "503, true, false"})
    void recognizesAFailure(int status, boolean notRun, boolean failed) {
        RunMeter meter = RunMeter.of(0);
        meter.head(head(status, notRun, false), 70);
        RunAnswer answer = meter.end(90);
        assertThat(answer.failedAnswer(), is(failed));
        assertThat(answer.firstEventNanos(), is(70L));
        assertThat(answer.nanosPerEvent(), is(0L));
    }

    /** A run that ends at once is known to have been sent, and no run is known not to have been. */
    @Test
    void tellsARunFromNone() {
        assertThat(RunMeter.of(5).end(5).sent(), is(true));
        assertThat(RunMeter.idle().end(5), is(RunAnswer.NONE));
        assertThat(RunAnswer.NONE.sent(), is(false));
    }

    private static TargetHead head(int status, boolean notRun, boolean events) {
        return new TargetHead(
                status, "", notRun, false, true, events, false, 0, Optional.of(LOAD), OptionalDouble.empty());
    }
}
