package org.tanagermoor.gateway.job;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Simulates the jobs of several instances under faults, and checks what is listed in the end. */
final class JobFleetTest {

    private static final long FAULTY_MILLIS = 30_000;

    /**
     * The time after the last fault within which all items are listed, in milliseconds: a lost instance is noticed, a
     * pause between attempts ends, and the job is written, read and run.
     */
    private static final long RECOVERY_MILLIS = 20_000;

    static LongStream seeds() {
        return LongStream.range(0, 40);
    }

    /** An item of an accepted job that nobody runs any more, or that is listed twice so that another one is left out. */
    @ParameterizedTest
    @MethodSource("seeds")
    void listsEachItemOnceAfterFaults(long seed) {
        JobFleet fleet = JobFleet.of(seed).runWithFaults(FAULTY_MILLIS).runSoundly(RECOVERY_MILLIS);
        assertThat(fleet.problems(), is(empty()));
        assertThat(fleet.acceptedCount() > 0, is(true));
    }
}
