package org.tanagermoor.gateway.edge;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class ServingEndTest {

    /** A request is accepted only if its longest duration fits into the time that is left; clocks may be negative. */
    @ParameterizedTest
    @CsvSource({"100, 99, 1, true", "100, 99, 2, false", "100, 100, 0, true", "100, 101, 0, false", "-5, -9, 4, true"})
    void admitsWhatFitsIntoTheTimeLeft(long end, long now, long max, boolean admitted) {
        assertThat(new ServingEnd.Planned(end).admits(max, now), is(admitted));
        assertThat(new ServingEnd.Open().admits(max, now), is(true));
    }
}
