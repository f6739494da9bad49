package org.tanagermoor.gateway.job;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Plays jobs beside online requests against a dispatcher, and checks what the callers of jobs get. */
final class JobLoadTest {

    /** The duration of a load in milliseconds. */
    private static final long DURATION_MILLIS = 60_000;

    /** The jobs a second of which 32 places run about two of three beside bursts of online requests. */
    private static final double TOO_MANY_JOBS = 0.45;

    /**
     * Load: 32 places, of which bursts of online requests take nearly all for 2.2 s of each 5.2 s, and half as many items
     * again as fit into what is left. Three of four of those that fit end in time: work goes into items that can still
     * end in time, not a little into each.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void endsMostItemsThatFitInTime(long seed) {
        JobLoad load = JobLoad.of(seed, 32, TOO_MANY_JOBS).play(DURATION_MILLIS);
        assertThat(load.toString(), 4 * load.inTime(), greaterThan(3 * load.fits()));
    }

    /** Load: as above, and another instance dispatches every four seconds, as while a fleet is restarted. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void endsMostItemsThatFitInTimeWhileTheDispatcherChanges(long seed) {
        JobLoad load = JobLoad.withChanges(seed, 32, TOO_MANY_JOBS, 4_000).play(DURATION_MILLIS);
        assertThat(load.toString(), 4 * load.inTime(), greaterThan(3 * load.fits()));
    }

    /** Load: as above. An item that has begun ends when it is late, too; at most one of ten waits until the load is over. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void leavesFewItemsBehindThatHaveBegun(long seed) {
        JobLoad load = JobLoad.of(seed, 32, TOO_MANY_JOBS).play(DURATION_MILLIS);
        assertThat(load.toString(), 10 * load.begunAndLate(), is(lessThanOrEqualTo(load.items())));
    }

    /** Load: 48 places and jobs that fit beside the bursts. Nineteen of twenty items end in time. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void endsNearlyAllItemsOfJobsThatFit(long seed) {
        JobLoad load = JobLoad.of(seed, 48, 0.3).play(DURATION_MILLIS);
        assertThat(load.toString(), 20 * load.inTime(), greaterThan(19 * load.due()));
    }

    /** Load: the bursts of above with too many jobs and without jobs. Of a hundred online requests, two may be late more. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void servesOnlineRequestsAsWithoutJobs(long seed) {
        JobLoad alone = JobLoad.of(seed, 32, 0).play(DURATION_MILLIS);
        JobLoad load = JobLoad.of(seed, 32, TOO_MANY_JOBS).play(DURATION_MILLIS);
        assertThat(load + "; alone: " + alone, load.onlineOnTime(), greaterThan(alone.onlineOnTime() - 20));
    }
}
