package org.tanagermoor.gateway.dispatch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** What is held back while targets fail for reasons of their own, some hundred requests a second at 40 targets. */
final class PartGuardLoadTest {

    /** The number of seeds; more of them only on request, as each takes some seconds. */
    private static final long SEEDS = Long.getLong("tanagermoor.crash.seeds", 2);

    /** Parts that many requests share, and requests, were held back because a few targets broke them off. */
    @ParameterizedTest
    @MethodSource("faults")
    void holdsNothingBackForFaultsOfTargets(CrashLoad.Fault fault, int faultyTargets, long seed) {
        CrashLoad load = new CrashLoad(fault, faultyTargets, seed).run(33_000, CrashLoad.Deadly.NONE);
        assertThat(load.soundHeld(), is(empty()));
        assertThat(load.served(), is(greaterThan(4_000)));
    }

    /**
     * Faults of targets must not hide a part that crashes targets, nor let a sound one take the blame. A crash whose
     * report is lost or late may not count.
     */
    @ParameterizedTest
    @MethodSource("faults")
    void holdsADeadlyPartBackBesideFaultsOfTargets(CrashLoad.Fault fault, int faultyTargets, long seed) {
        CrashLoad load = new CrashLoad(fault, faultyTargets, seed).run(65_000, CrashLoad.Deadly.ONE_AFTER_THE_OTHER);
        assertThat(load.soundHeld(), is(empty()));
        assertThat(load.crashesWhenHeld(), is(allOf(greaterThan(0), lessThanOrEqualTo(5 + load.deadlyUnreported()))));
        assertThat(load.deadlyReachedLate(), is(lessThanOrEqualTo(3L)));
    }

    /** Requests with the part that crash targets at the same time count as one crash, and must not delay the end. */
    @ParameterizedTest
    @MethodSource("faults")
    void holdsADeadlyPartBackWhoseRequestsOverlap(CrashLoad.Fault fault, int faultyTargets, long seed) {
        CrashLoad load = new CrashLoad(fault, faultyTargets, seed).run(65_000, CrashLoad.Deadly.AT_RANDOM);
        assertThat(load.soundHeld(), is(empty()));
        assertThat(load.crashesWhenHeld(), is(greaterThan(0)));
        assertThat(load.deadlyReachedLate(), is(lessThanOrEqualTo(3L)));
    }

    private static Stream<Arguments> faults() {
        return Stream.of(CrashLoad.Fault.values())
                .flatMap(fault -> Stream.of(4, 10)
                        .flatMap(targets -> Stream.iterate(1L, seed -> seed <= SEEDS, seed -> seed + 1)
                                .map(seed -> Arguments.of(fault, targets, seed))));
    }
}
