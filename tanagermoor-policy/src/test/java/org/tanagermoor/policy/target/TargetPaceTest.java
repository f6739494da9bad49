package org.tanagermoor.policy.target;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a target that is flooded, or left idle, when it has just started or recovered. */
final class TargetPaceTest {

    private static final int CAPACITY = 8;

    private static final long USUAL = TimeUnit.MILLISECONDS.toNanos(30);

    private long now = TimeUnit.SECONDS.toNanos(1_000);

    /** A target that answers as usual must have half of its places after 2 s and all of them after 5 s. */
    @ParameterizedTest
    @ValueSource(longs = {100, 300, 500, 700, 900})
    void admitsHalfAfterTwoSecondsAndAllAfterFive(long answerMillis) {
        TargetPace pace = TargetPace.ofStart(now);
        assertThat(pace.allowed(CAPACITY, now), is(1));
        run(pace, answerMillis, USUAL, 2_000);
        assertThat(pace.allowed(CAPACITY, now), is(greaterThan(CAPACITY / 2 - 1)));
        run(pace, answerMillis, USUAL, 3_000);
        assertThat(pace.full(), is(true));
    }

    /** A target that can answer only a few requests in time must not get more, however long it is there. */
    @Test
    void admitsNoMoreThanIsAnsweredInTime() {
        TargetPace pace = TargetPace.ofStart(now);
        int bearable = 3;
        int most = 0;
        for (int round = 0; round < 50; round++) {
            int running = pace.allowed(CAPACITY, now);
            most = Math.max(most, round < 4 ? 0 : running);
            now += TimeUnit.MILLISECONDS.toNanos(400);
            for (int answer = 0; answer < running; answer++) {
                pace.answered(running > bearable ? 5 * USUAL : USUAL, USUAL, CAPACITY, now);
            }
        }
        assertThat(pace.full(), is(false));
        assertThat(most, is(lessThanOrEqualTo(2 * bearable)));
    }

    /** A target that fails again and again must get fewer requests each time. */
    @Test
    void admitsLessWithEachFailure() {
        TargetPace pace = TargetPace.ofFull(now);
        List<Integer> requests = new ArrayList<>();
        for (int attempt = 0; attempt < 5; attempt++) {
            pace.failed(now);
            int sent = 0;
            for (int step = 0; step < 40; step++) {
                now += TimeUnit.MILLISECONDS.toNanos(50);
                int allowed = pace.allowed(CAPACITY, now);
                sent += allowed;
                for (int answer = 0; answer < allowed && step % 10 == 9; answer++) {
                    pace.answered(USUAL, USUAL, 10 * CAPACITY, now);
                }
            }
            requests.add(sent);
        }
        for (int attempt = 1; attempt < requests.size(); attempt++) {
            assertThat(requests.toString(), requests.get(attempt), is(lessThanOrEqualTo(requests.get(attempt - 1))));
        }
        assertThat(requests.toString(), requests.get(4), is(lessThan(requests.get(0))));
    }

    /** The broken requests of one failure must not count as several failures. */
    @Test
    void countsRequestsThatFailTogetherOnce() {
        TargetPace pace = TargetPace.ofFull(now);
        for (int request = 0; request < CAPACITY; request++) {
            pace.failed(now);
        }
        now += TimeUnit.MILLISECONDS.toNanos(250);
        assertThat(pace.allowed(CAPACITY, now), is(1));
    }

    /** An answer from before a failure must not end its pause. */
    @Test
    void countsNoAnswerDuringAPause() {
        TargetPace pace = TargetPace.ofFull(now);
        pace.failed(now);
        pace.answered(USUAL, USUAL, CAPACITY, now);
        assertThat(pace.allowed(CAPACITY, now), is(0));
    }

    /** A target that answered nothing must be tried again within two seconds, after however many failures. */
    @Test
    void pausesForTwoSecondsAtMost() {
        TargetPace pace = TargetPace.ofFull(now);
        for (int attempt = 0; attempt < 20; attempt++) {
            pace.failed(now);
            now += TimeUnit.SECONDS.toNanos(2);
            assertThat(pace.allowed(CAPACITY, now), is(equalTo(1)));
        }
    }

    /** Runs as many requests as are admitted, each for the given time, for the given time in milliseconds. */
    private void run(TargetPace pace, long answerMillis, long firstEventNanos, long forMillis) {
        List<Long> ends = new ArrayList<>();
        long end = now + TimeUnit.MILLISECONDS.toNanos(forMillis);
        while (now < end) {
            now += TimeUnit.MILLISECONDS.toNanos(10);
            for (Long due : List.copyOf(ends)) {
                if (due <= now) {
                    ends.remove(due);
                    pace.answered(firstEventNanos, USUAL, CAPACITY, now);
                }
            }
            while (ends.size() < pace.allowed(CAPACITY, now)) {
                ends.add(now + TimeUnit.MILLISECONDS.toNanos(answerMillis));
            }
        }
    }
}
