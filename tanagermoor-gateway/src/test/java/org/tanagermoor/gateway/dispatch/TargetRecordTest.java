package org.tanagermoor.gateway.dispatch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests from which failures a target is suspected. */
final class TargetRecordTest {

    /** A single failure is not enough, a fraction of few requests is, and a rare failure among many is not. */
    @ParameterizedTest
    @CsvSource({"1, 1, false", "2, 2, true", "2, 5, false", "20, 50, true", "2, 50, false"})
    void suspectsATargetThatFailsAFraction(int failures, int requests, boolean suspected) {
        TargetRecord record = new TargetRecord(0);
        for (int request = 0; request < requests; request++) {
            record.recordOutcome(request >= failures, 0);
        }
        assertThat(record.suspected(0), is(suspected));
    }

    /** Old outcomes lose their weight, so that a target gets another chance. */
    @ParameterizedTest
    @CsvSource({"0, true", "4, true", "60, false"})
    void forgetsOldOutcomes(long seconds, boolean suspected) {
        TargetRecord record = new TargetRecord(0);
        for (int request = 0; request < 10; request++) {
            record.recordOutcome(false, 0);
        }
        assertThat(record.suspected(TimeUnit.SECONDS.toNanos(seconds)), is(suspected));
    }
}
