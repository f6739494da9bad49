package org.tanagermoor.gateway.job;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Simulates jobs beside online requests with a dispatcher, and checks what callers get. */
final class JobLoadTest {

    private static final long DURATION_MILLIS = 60_000;

    /** Jobs per second of which 32 places can run about two thirds beside bursts of online requests. */
    private static final double OVERLOAD_JOBS_PER_SECOND = 0.45;

    /**
     * 32 places, of which bursts of online requests occupy nearly all for 2.2 s of each 5.2 s, and one and a half times
     * as many items as fit into the rest. Three quarters of those that fit complete in time only if places go to items
     * that can still complete in time, instead of a short run to each item.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void completesMostItemsThatFitInTime(long seed) {
        JobLoad load = JobLoad.of(seed, 32, OVERLOAD_JOBS_PER_SECOND).simulate(DURATION_MILLIS);
        assertThat(load.toString(), 4 * load.inTime(), greaterThan(3 * load.itemsThatFit()));
    }

    /**
     * The load of the first test, while another instance becomes the dispatcher every four seconds, as during a restart
     * of the fleet.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void completesMostItemsThatFitInTimeWhileTheDispatcherChanges(long seed) {
        JobLoad load =
                JobLoad.withChanges(seed, 32, OVERLOAD_JOBS_PER_SECOND, 4_000).simulate(DURATION_MILLIS);
        assertThat(load.toString(), 4 * load.inTime(), greaterThan(3 * load.itemsThatFit()));
    }

    /**
     * The load of the first test. Started items complete even when they are late; at most one in ten waits until the
     * load ends.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void leavesFewStartedItemsBehind(long seed) {
        JobLoad load = JobLoad.of(seed, 32, OVERLOAD_JOBS_PER_SECOND).simulate(DURATION_MILLIS);
        assertThat(load.toString(), 10 * load.startedAndLate(), is(lessThanOrEqualTo(load.items())));
    }

    /** 48 places and jobs that fit beside the bursts: nineteen of twenty items complete in time. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void completesNearlyAllItemsOfJobsThatFit(long seed) {
        JobLoad load = JobLoad.of(seed, 48, 0.3).simulate(DURATION_MILLIS);
        assertThat(load.toString(), 20 * load.inTime(), greaterThan(19 * load.due()));
    }

    /**
     * The bursts of the first test with too many jobs and without jobs. Jobs may delay at most two more of a hundred
     * online requests.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void servesOnlineRequestsAsWithoutJobs(long seed) {
        JobLoad alone = JobLoad.of(seed, 32, 0).simulate(DURATION_MILLIS);
        JobLoad load = JobLoad.of(seed, 32, OVERLOAD_JOBS_PER_SECOND).simulate(DURATION_MILLIS);
        assertThat(load + "; alone: " + alone, load.onlineOnTime(), greaterThan(alone.onlineOnTime() - 20));
    }
}
