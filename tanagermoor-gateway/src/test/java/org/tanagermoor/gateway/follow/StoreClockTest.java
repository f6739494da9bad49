package org.tanagermoor.gateway.follow;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The clock of the store as an instance estimates it. */
final class StoreClockTest {

    private final StoreClock clock = StoreClock.of();

    /** An answer that states no time tells nothing. */
    @Test
    void knowsNoTimeBeforeAnAnswerStatesIt() {
        clock.observe(0, TimeUnit.SECONDS.toNanos(7));
        assertThat(clock.millis(TimeUnit.SECONDS.toNanos(8)), is(OptionalLong.empty()));
    }

    /**
     * The time of the store is 5,000 ms at 100 ms of this instance. Slow answers do not delay the estimate once there
     * was a quick one, and it is never ahead. A monotonic clock that has stood still is corrected.
     */
    @ParameterizedTest
    @CsvSource({"0, 0, 0, 5900", "300, 0, 0, 5900", "0, 700, 0, 5900", "300, 200, 0, 5700", "0, 0, 4000, 9900"})
    void keepsTheEstimateOfTheQuickestAnswer(
            long firstDelayMillis, long secondDelayMillis, long suspendedMillis, long expectedMillis) {
        clock.observe(5_000, TimeUnit.MILLISECONDS.toNanos(100 + firstDelayMillis));
        clock.observe(5_400 + suspendedMillis, TimeUnit.MILLISECONDS.toNanos(500 + secondDelayMillis));
        assertThat(clock.millis(TimeUnit.MILLISECONDS.toNanos(1_000)), is(OptionalLong.of(expectedMillis)));
    }
}
