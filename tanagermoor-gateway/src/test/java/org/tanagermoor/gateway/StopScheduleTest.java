package org.tanagermoor.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class StopScheduleTest {

    /**
     * For each grace, jobs are handed over before the process ends, the last answers have time to be written, and a
     * request that runs longer than the grace is cut in its last sixth at the earliest.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 250, 1_000, 3_000, 8_000, 60_000, 3_600_000})
    void fitsIntoTheGrace(long graceMillis) {
        Duration grace = Duration.ofMillis(graceMillis);
        StopSchedule schedule = StopSchedule.of(grace);
        assertThat(schedule.end(), is(lessThan(grace)));
        assertThat(schedule.end().multipliedBy(6), is(greaterThanOrEqualTo(grace.multipliedBy(5))));
        assertThat(schedule.answersUntil(), is(lessThan(schedule.end())));
        assertThat(schedule.answersUntil().multipliedBy(6), is(greaterThan(grace.multipliedBy(4))));
        assertThat(schedule.acceptsFor(), is(lessThanOrEqualTo(schedule.answersUntil())));
        assertThat(schedule.handsOverAfter(), is(lessThan(schedule.answersUntil())));
        assertThat(schedule.over(schedule.end().toNanos() - 1), is(false));
        assertThat(schedule.over(schedule.end().toNanos()), is(true));
    }
}
