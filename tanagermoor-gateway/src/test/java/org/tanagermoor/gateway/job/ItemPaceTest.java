package org.tanagermoor.gateway.job;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.both;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the estimates of the time that items need. */
final class ItemPaceTest {

    /**
     * A partly completed item needs the rest of its time, and one with more events than the mean still needs a minimum.
     */
    @ParameterizedTest
    @CsvSource({"0, 8000", "100, 4000", "200, 800", "400, 800"})
    void estimatesTheRemainderOfAnItem(long lastEvent, long millis) {
        ItemPace pace = ItemPace.of();
        for (int item = 0; item < 300; item++) {
            pace.recordRun(200, TimeUnit.SECONDS.toNanos(8));
            pace.recordEnd(200);
        }
        assertThat(
                TimeUnit.NANOSECONDS.toMillis(pace.remaining(lastEvent).nanos()),
                is(both(greaterThan(millis - 2)).and(lessThan(millis + 2))));
    }

    /** Without observations the estimate is a long time, and a run without events does not change it. */
    @Test
    void estimatesALongTimeInitially() {
        ItemPace pace = ItemPace.of();
        pace.recordRun(0, 1);
        assertThat(pace.remaining(0).nanos(), is(greaterThan(TimeUnit.SECONDS.toNanos(2))));
    }

    /** Before any item has completed, an item that has produced many events is expected to need little time. */
    @Test
    void estimatesLittleForAnAdvancedItemBeforeAnyCompleted() {
        assertThat(ItemPace.of().remaining(240).nanos(), is(lessThan(TimeUnit.SECONDS.toNanos(1))));
    }
}
