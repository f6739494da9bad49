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

/** Tests of the time that items need. */
final class ItemPaceTest {

    /** An item that has come part of the way needs the rest, and one beyond the usual length still needs a little. */
    @ParameterizedTest
    @CsvSource({"0, 8000", "100, 4000", "200, 800", "400, 800"})
    void expectsTheRestOfAnItem(long lastEvent, long millis) {
        ItemPace pace = ItemPace.of();
        for (int item = 0; item < 300; item++) {
            pace.ran(200, TimeUnit.SECONDS.toNanos(8));
            pace.ended(200);
        }
        assertThat(
                TimeUnit.NANOSECONDS.toMillis(pace.left(lastEvent).nanos()),
                is(both(greaterThan(millis - 2)).and(lessThan(millis + 2))));
    }

    /** Before any item was seen a long time is expected, and a run without an event says nothing. */
    @Test
    void expectsALongTimeAtFirst() {
        ItemPace pace = ItemPace.of();
        pace.ran(0, 1);
        assertThat(pace.left(0).nanos(), is(greaterThan(TimeUnit.SECONDS.toNanos(2))));
    }

    /** An owner that has seen no item end knows that one that has come far needs little. */
    @Test
    void expectsLittleOfAnItemThatHasComeFarBeforeAnyEnded() {
        assertThat(ItemPace.of().left(240).nanos(), is(lessThan(TimeUnit.SECONDS.toNanos(1))));
    }
}
