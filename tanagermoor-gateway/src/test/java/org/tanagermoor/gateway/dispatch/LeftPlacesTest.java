package org.tanagermoor.gateway.dispatch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the estimate of the fraction of the places that online requests leave free. */
final class LeftPlacesTest {

    /** The tolerance of means. */
    private static final double TOLERANCE = 0.06;

    /**
     * Bursts that occupy all places for a fraction of the time leave the rest; a permanent one leaves the minimum
     * fraction.
     */
    @ParameterizedTest
    @CsvSource({"0, 1.0", "1, 0.75", "2, 0.5", "4, 0.2"})
    void estimatesTheFractionOfTheTimeThatBurstsLeave(int burstQuarters, double fraction) {
        HeadroomEstimator estimator = HeadroomEstimator.of();
        long now = TimeUnit.SECONDS.toNanos(5);
        for (int step = 0; step < 400; step++) {
            estimator.observe(step % 4 < burstQuarters ? 0 : 1, now);
            now += TimeUnit.MILLISECONDS.toNanos(250);
        }
        assertThat(estimator.fraction(), is(closeTo(fraction, TOLERANCE)));
    }

    /** A long-term estimate taken over from another dispatcher outweighs a few seconds of a burst. */
    @Test
    void resumesFromAnotherEstimate() {
        HeadroomEstimator estimator = HeadroomEstimator.after(0.5);
        long now = TimeUnit.SECONDS.toNanos(5);
        estimator.observe(0, now);
        estimator.observe(0, now + TimeUnit.SECONDS.toNanos(2));
        assertThat(estimator.fraction(), is(closeTo(0.45, TOLERANCE)));
    }
}
