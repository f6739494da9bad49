package org.tanagermoor.policy.target;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a target that gets more, or far fewer, requests than it takes. */
final class RequestLimitTest {

    private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

    private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(4);

    private long now = TimeUnit.SECONDS.toNanos(1_000);

    /** In no window of 4 s may a target get more than 1.5 times its limit and 5, however the requests arrive. */
    @ParameterizedTest
    @ValueSource(doubles = {0, 0.2, 1, 2, 3.3, 10, 250})
    void admitsTheLimitInAnyWindow(double perSecond) {
        Random random = new Random(1);
        RequestLimit limit = RequestLimit.none(now);
        limit.report(OptionalDouble.of(perSecond), now, now);
        List<Long> sent = new ArrayList<>();
        long from = now;
        while (now - from < TimeUnit.SECONDS.toNanos(60)) {
            boolean asked = (now - from) / TimeUnit.SECONDS.toNanos(3) % 2 == 0 || random.nextInt(50) == 0;
            while (asked && limit.allowed(now) > 0) {
                limit.take(now);
                sent.add(now);
            }
            now += STEP_NANOS;
        }
        assertThat((double) most(sent), is(lessThanOrEqualTo(6 * perSecond + 5)));
        assertThat((double) sent.size(), is(greaterThanOrEqualTo(25 * perSecond)));
    }

    /**
     * Two dispatchers that do not know of each other may not send a target more than one may. The second one is told
     * what the instances that ask it have sent.
     */
    @ParameterizedTest
    @CsvSource({"0, 0.5", "1, 0.5", "3.3, 0.1", "40, 0.35", "40, 0.75"})
    void admitsTheLimitAtTwoDispatchersTogether(double perSecond, double firstShares) {
        RequestLimit first = RequestLimit.none(now);
        RequestLimit second = RequestLimit.none(now);
        first.report(OptionalDouble.of(perSecond), now, now);
        second.report(OptionalDouble.of(perSecond), now, now);
        List<Long> sent = new ArrayList<>();
        List<Long> ofSecond = new ArrayList<>();
        long from = now;
        while (now - from < TimeUnit.SECONDS.toNanos(30)) {
            if (now - from == TimeUnit.SECONDS.toNanos(10)) {
                first.shares(firstShares, now);
                second.shares(1 - firstShares, now);
                second.sent(ofSecond);
            }
            boolean both = now - from >= TimeUnit.SECONDS.toNanos(10);
            for (RequestLimit limit : both ? List.of(first, second) : List.of(first)) {
                while (limit.allowed(now) > 0) {
                    limit.take(now);
                    sent.add(now);
                    if ((int) (sent.size() * (1 - firstShares)) > ofSecond.size()) {
                        ofSecond.add(now);
                    }
                }
            }
            now += STEP_NANOS;
        }
        assertThat((double) most(sent), is(lessThanOrEqualTo(6 * perSecond + 5)));
    }

    /** A dispatcher without shares sends nothing, and one with few shares something from time to time. */
    @Test
    void admitsThePartOfItsShares() {
        RequestLimit limit = RequestLimit.none(now);
        limit.report(OptionalDouble.of(10), now, now);
        assertThat(limit.allowed(now), is(64));
        limit.shares(0.25, now);
        assertThat(limit.allowed(now), is(8));
        assertThat(limit.allowed(now + millis(4_200)), is(16));
        limit.shares(0, now);
        assertThat(limit.allowed(now), is(0));
        limit.shares(0.0125, now);
        assertThat(limit.allowed(now), is(0));
        now += TimeUnit.SECONDS.toNanos(7);
        assertThat(limit.allowed(now), is(1));
    }

    /** A new dispatcher sends nothing before it knows what was sent for the last one, and that counts. */
    @Test
    void countsWhatOthersHaveSent() {
        RequestLimit limit = RequestLimit.none(now);
        limit.report(OptionalDouble.of(2), now, now);
        limit.blocked(true);
        assertThat(limit.allowed(now), is(0));
        limit.sent(List.of(now - millis(3_900), now - millis(300), now - millis(200)));
        limit.blocked(false);
        assertThat(limit.allowed(now), is(13));
        assertThat(limit.allowed(now + millis(500)), is(14));
    }

    /** Answers that were received earlier, and are reported later, must not end a limit or bring it back. */
    @Test
    void followsTheLastAnswer() {
        RequestLimit limit = RequestLimit.none(now);
        assertThat(limit.report(OptionalDouble.empty(), now, now), is(false));
        assertThat(limit.report(OptionalDouble.of(5), now + millis(10), now + millis(20)), is(true));
        assertThat(limit.report(OptionalDouble.empty(), now + millis(5), now + millis(30)), is(false));
        assertThat(limit.report(OptionalDouble.empty(), now + millis(60), now + millis(61)), is(false));
        assertThat(limit.named(), is(true));
        assertThat(limit.report(OptionalDouble.empty(), now + millis(200), now + millis(201)), is(true));
        assertThat(limit.report(OptionalDouble.of(5), now + millis(150), now + millis(220)), is(false));
        assertThat(limit.named(), is(false));
        assertThat(limit.allowed(now), is(Integer.MAX_VALUE));
    }

    /** A limit that is not named may not reduce the places that are counted, and a low one must. */
    @Test
    void keepsInUseWhatTheLimitAdmits() {
        RequestLimit limit = RequestLimit.none(now);
        assertThat(limit.usefulPlaces(8, 500e6), is(8.0));
        limit.report(OptionalDouble.of(4), now, now);
        assertThat(limit.usefulPlaces(8, 500e6), is(closeTo(28 / 4.2 / 2, 1e-6)));
        limit.report(OptionalDouble.of(400), now, now);
        assertThat(limit.usefulPlaces(8, 500e6), is(8.0));
    }

    private static long millis(long value) {
        return TimeUnit.MILLISECONDS.toNanos(value);
    }

    private static int most(List<Long> sent) {
        int most = 0;
        int from = 0;
        for (int to = 0; to < sent.size(); to++) {
            while (sent.get(to) - sent.get(from) >= WINDOW_NANOS) {
                from++;
            }
            most = Math.max(most, to - from + 1);
        }
        return most;
    }
}
