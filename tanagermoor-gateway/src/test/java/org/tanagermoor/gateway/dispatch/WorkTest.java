package org.tanagermoor.gateway.dispatch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the benefit to a caller of granting a place, by the remaining work of an item. */
final class WorkTest {

    /** The tolerance of fractions. */
    private static final double TOLERANCE = 1e-9;

    /**
     * A result in time is worth ten late ones, and an item that needs half as long has twice the benefit relative to
     * its time.
     */
    @ParameterizedTest
    @CsvSource({"5000, 1.0, 1, 1.0, 1.0", "2500, 0.5, 1, 1.0, 2.0", "5000, 1.0, -1, 1.0, 0.1", "500, 0.1, -1, 1.0, 1.0"
    })
    void benefitsMoreInTimeAndWithLessRemaining(
            long millis, double remaining, long slackMillis, double headroom, double benefit) {
        assertThat(work(millis, remaining).benefit(nanos(slackMillis), headroom), is(closeTo(benefit, TOLERANCE)));
    }

    /**
     * If online requests leave half of the places free, an item that has not started needs twice its running time; with
     * less time its benefit decreases in proportion to its chance. A started item has the full benefit as long as it
     * can end in time.
     */
    @ParameterizedTest
    @CsvSource({"1.0, 5001, 1.0", "1.0, 2500, 0.55", "1.0, 0, 0.1", "1.0, -1, 0.1", "0.5, 0, 2.0", "0.5, -1, 0.2"})
    void startsOnlyIfItEndsInTimeWithInterruptions(double remaining, long slackMillis, double benefit) {
        assertThat(work(5_000, remaining).benefit(nanos(slackMillis), 0.5), is(closeTo(benefit, TOLERANCE)));
    }

    /** The work decreases while an item runs; an item that runs longer than expected keeps a minimum of work. */
    @ParameterizedTest
    @CsvSource({"0, 0.5", "2000, 0.3", "4000, 0.1", "9000, 0.1"})
    void shrinksWhileTheItemRuns(long elapsedMillis, double remaining) {
        assertThat(work(5_000, 0.5).after(nanos(elapsedMillis)).remaining(), is(closeTo(remaining, TOLERANCE)));
    }

    /** Work of unknown length remains unknown. */
    @ParameterizedTest
    @CsvSource({"0", "9000"})
    void staysUnknown(long elapsedMillis) {
        assertThat(Work.NONE.after(nanos(elapsedMillis)), is(Work.NONE));
    }

    private static Work work(long millis, double remaining) {
        return Work.of(nanos(millis), remaining);
    }

    private static long nanos(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }
}
