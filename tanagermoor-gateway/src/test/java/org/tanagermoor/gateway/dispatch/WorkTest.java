package org.tanagermoor.gateway.dispatch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests of what a caller gains by the work that is left of an item. */
final class WorkTest {

    /** The tolerance of fractions. */
    private static final double TOLERANCE = 1e-9;

    /** A result in time is worth ten late ones, and an item that needs half as long gains twice as much for its time. */
    @ParameterizedTest
    @CsvSource({"5000, 1.0, 1, 1.0, 1.0", "2500, 0.5, 1, 1.0, 2.0", "5000, 1.0, -1, 1.0, 0.1", "500, 0.1, -1, 1.0, 1.0"
    })
    void gainsMoreInTimeAndWithLessLeft(long millis, double left, long slackMillis, double headroom, double gain) {
        assertThat(work(millis, left).gain(nanos(slackMillis), headroom), is(closeTo(gain, TOLERANCE)));
    }

    /**
     * Where online requests leave half of the places, an item that has not begun needs twice as long as it runs; with
     * less time it gains in proportion to its chance. One that has begun gains all while it can end in time.
     */
    @ParameterizedTest
    @CsvSource({"1.0, 5001, 1.0", "1.0, 2500, 0.55", "1.0, 0, 0.1", "1.0, -1, 0.1", "0.5, 0, 2.0", "0.5, -1, 0.2"})
    void isBegunOnlyIfItEndsInTimeWithBreaks(double left, long slackMillis, double gain) {
        assertThat(work(5_000, left).gain(nanos(slackMillis), 0.5), is(closeTo(gain, TOLERANCE)));
    }

    /** Work shrinks while an item runs; one that runs longer than expected still needs a little. */
    @ParameterizedTest
    @CsvSource({"0, 0.5", "2000, 0.3", "4000, 0.1", "9000, 0.1"})
    void shrinksWhileTheItemRuns(long ranMillis, double left) {
        assertThat(work(5_000, 0.5).after(nanos(ranMillis)).left(), is(closeTo(left, TOLERANCE)));
    }

    /** Work of which nothing is known stays unknown. */
    @ParameterizedTest
    @CsvSource({"0", "9000"})
    void staysUnknown(long ranMillis) {
        assertThat(Work.NONE.after(nanos(ranMillis)), is(Work.NONE));
    }

    /** Returns work. */
    private static Work work(long millis, double left) {
        return Work.of(nanos(millis), left);
    }

    /** Returns nanoseconds. */
    private static long nanos(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }
}
