package org.tanagermoor.gateway.dispatch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests of what is held against a target. */
final class TargetRecordTest {

    /** One failure is no proof, a part of few requests is, and a rare failure among many is none. */
    @ParameterizedTest
    @CsvSource({"1, 1, false", "2, 2, true", "2, 5, false", "20, 50, true", "2, 50, false"})
    void suspectsATargetThatFailsAPart(int failures, int requests, boolean suspected) {
        TargetRecord record = new TargetRecord(0);
        for (int request = 0; request < requests; request++) {
            record.note(request >= failures, 0);
        }
        assertThat(record.suspected(0), is(suspected));
    }

    /** What happened long ago is forgotten, so that a target gets another chance. */
    @ParameterizedTest
    @CsvSource({"0, true", "4, true", "60, false"})
    void forgets(long seconds, boolean suspected) {
        TargetRecord record = new TargetRecord(0);
        for (int request = 0; request < 10; request++) {
            record.note(false, 0);
        }
        assertThat(record.suspected(TimeUnit.SECONDS.toNanos(seconds)), is(suspected));
    }
}
