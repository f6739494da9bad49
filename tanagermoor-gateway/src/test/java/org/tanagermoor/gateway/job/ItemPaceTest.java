package org.tanagermoor.gateway.job;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

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
        pace.ended(200, TimeUnit.SECONDS.toNanos(8));
        assertThat(TimeUnit.NANOSECONDS.toMillis(pace.nanosLeft(lastEvent)), is(millis));
    }

    /** Before any item was seen a long time is expected, and an empty answer says nothing. */
    @Test
    void expectsALongTimeAtFirst() {
        ItemPace pace = ItemPace.of();
        pace.ended(0, 1);
        assertThat(pace.nanosLeft(0), is(greaterThan(TimeUnit.SECONDS.toNanos(2))));
    }
}
