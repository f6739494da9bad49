package org.tanagermoor.gateway.dispatch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.tanagermoor.policy.budget.RateLimit;

/** Explores which part of a rate all instances together admit, whichever of them reach each other. */
final class ShareExplorationTest {

    /** The window in which a rate is measured, in milliseconds. */
    private static final long WINDOW_MILLIS = 5_000;

    private static final RateLimit LIMIT = RateLimit.of(100, 50);

    private static final int MOST = most(LIMIT);

    /** The limits of the explored fleets, in turn. */
    private static final List<RateLimit> LIMITS =
            List.of(LIMIT, RateLimit.of(20, 62), RateLimit.of(8, 4), RateLimit.of(1_000, 1_000));

    /** Returns the most requests of a window: those of the limit, a tenth of them, and 20. */
    private static int most(RateLimit limit) {
        return (int) ((limit.perSecond() * WINDOW_MILLIS / 1_000 + limit.burst()) * 1.1 + 20);
    }

    static LongStream seeds() {
        return LongStream.rangeClosed(1, Long.getLong("tanagermoor.share.seeds", 40));
    }

    /**
     * On both sides of a cut one instance acted as the dispatcher and admitted the whole rate. Together they stay
     * within the limit whatever happens to whom.
     */
    @ParameterizedTest
    @MethodSource("seeds")
    void staysWithinTheLimit(long seed) {
        RateLimit limit = LIMITS.get((int) (seed % LIMITS.size()));
        int most = most(limit);
        ShareExploration fleet = new ShareExploration(seed, 2 + (int) (seed % 11), limit);
        Random random = fleet.random();
        fleet.agreeOnRanks();
        fleet.advance(5_000);
        for (int round = 0; round < 40; round++) {
            disturb(fleet, random);
            fleet.advance(200 + random.nextInt(3_000));
            assertThat(fleet.describe(), fleet.mostAdmitted(WINDOW_MILLIS), is(lessThanOrEqualTo(most)));
            assertThat(fleet.usedTwice(), is(empty()));
        }
        heal(fleet);
        fleet.advance(70_000);
        assertThat(fleet.describe(), fleet.mostAdmitted(WINDOW_MILLIS), is(lessThanOrEqualTo(most)));
        assertThat(fleet.describe(), fleet.fractions(), is(closeTo(1, 0.001)));
    }

    /** A cut in two, as the users saw it: each side admits its part, and no more than the whole is admitted together. */
    @ParameterizedTest
    @CsvSource({
        "11, 4, BOTH", "11, 4, NONE", "11, 4, ONE", "11, 4, OTHER", "11, 1, BOTH", "11, 1, ONE", "11, 1, OTHER",
        "11, 5, BOTH", "11, 5, ONE", "11, 5, OTHER", "11, 10, BOTH", "3, 1, BOTH", "3, 1, NONE", "3, 1, ONE",
        "3, 1, OTHER", "2, 1, BOTH", "2, 1, ONE", "2, 1, NONE", "13, 4, BOTH", "95, 33, BOTH", "95, 33, NONE",
        "95, 33, OTHER"
    })
    void dividesTheRateOverACut(int size, int cutOff, StoreReachedBy store) {
        ShareExploration fleet = new ShareExploration(size * 100L + cutOff, size, LIMIT);
        fleet.agreeOnRanks();
        fleet.advance(10_000);
        assertThat(fleet.fractions(), is(closeTo(1, 0.001)));
        for (int node = 0; node < size; node++) {
            boolean one = node < cutOff;
            fleet.group(node, one ? 1 : 0);
            fleet.storeReachable(
                    node, store == StoreReachedBy.BOTH || store == (one ? StoreReachedBy.ONE : StoreReachedBy.OTHER));
        }
        fleet.advance(16_000);
        assertThat(fleet.mostAdmitted(WINDOW_MILLIS), is(lessThanOrEqualTo(MOST)));
        assertThat(fleet.mostFractions(), is(lessThanOrEqualTo(1.001)));
        assertThat(fleet.usedTwice(), is(empty()));
        if (store == StoreReachedBy.BOTH) {
            assertThat(fleet.describe(), fleet.fractions(), is(closeTo(1, 0.02)));
        }
        heal(fleet);
        fleet.advance(10_000);
        assertThat(fleet.mostAdmitted(WINDOW_MILLIS), is(lessThanOrEqualTo(MOST)));
        assertThat(fleet.describe(), fleet.fractions(), is(closeTo(1, 0.001)));
    }

    /**
     * Instances are lost for good, and nobody can tell at first that they are not cut off. The others admit their part
     * at once, and soon the whole rate.
     *
     * @param withinMillis The time within which the whole rate is admitted again.
     */
    @ParameterizedTest
    @CsvSource({
        "11, 1, 22000",
        "11, 4, 22000",
        "11, 7, 22000",
        "11, 10, 35000",
        "3, 1, 22000",
        "3, 2, 35000",
        "2, 1, 22000"
    })
    void admitsTheWholeRateAgainAfterLosses(int size, int lost, long withinMillis) {
        ShareExploration fleet = new ShareExploration(size * 100L + lost, size, LIMIT);
        fleet.agreeOnRanks();
        fleet.advance(10_000);
        for (int node = 0; node < lost; node++) {
            fleet.kill(node, -1);
        }
        fleet.advance(2_500);
        double part = (double) (size - lost) / size;
        assertThat(fleet.describe(), fleet.fractions(), is(closeTo(part, 0.02)));
        fleet.advance(withinMillis - 2_500);
        assertThat(fleet.describe(), fleet.fractions(), is(closeTo(1, 0.001)));
        assertThat(fleet.mostAdmitted(WINDOW_MILLIS), is(lessThanOrEqualTo(MOST)));
    }

    /** All processes end at once and start again: the rate is soon admitted again, and not several times. */
    @ParameterizedTest
    @CsvSource({"11, 1000", "11, 8000", "3, 1000", "95, 1500"})
    void admitsTheRateAgainAfterARestartOfAll(int size, long downMillis) {
        ShareExploration fleet = new ShareExploration(size, size, LIMIT);
        fleet.agreeOnRanks();
        fleet.advance(10_000);
        for (int node = 0; node < size; node++) {
            fleet.kill(node, downMillis + fleet.random().nextInt(300));
        }
        fleet.advance(downMillis + 300 + 8_000);
        assertThat(fleet.describe(), fleet.fractions(), is(closeTo(1, 0.001)));
        assertThat((double) fleet.admittedWithin(4_000), is(greaterThan(0.5 * 4 * LIMIT.perSecond())));
        assertThat(fleet.mostAdmitted(WINDOW_MILLIS), is(lessThanOrEqualTo(MOST)));
    }

    /**
     * An instance announced its stop, the others divided its share, and its next run, which started behind a cut, used
     * the share as well: the store shows the claims of the run, but the others, who missed nobody, did not read them.
     */
    @ParameterizedTest
    @CsvSource({"2", "3", "4", "11"})
    void usesNoShareTwiceAfterAPlannedStopAndAStartBehindACut(int size) {
        ShareExploration fleet = new ShareExploration(size, size, LIMIT);
        fleet.agreeOnRanks();
        fleet.advance(10_000);
        fleet.leave(0);
        fleet.advance(2_000);
        fleet.group(0, 1);
        fleet.advance(20_000);
        assertThat(fleet.describe(), fleet.mostFractions(), is(lessThanOrEqualTo(1.001)));
        assertThat(fleet.mostAdmitted(WINDOW_MILLIS), is(lessThanOrEqualTo(MOST)));
        heal(fleet);
        fleet.advance(10_000);
        assertThat(fleet.describe(), fleet.fractions(), is(closeTo(1, 0.001)));
        assertThat(fleet.mostAdmitted(WINDOW_MILLIS), is(lessThanOrEqualTo(MOST)));
    }

    static void disturb(ShareExploration fleet, Random random) {
        int node = random.nextInt(fleet.size());
        switch (random.nextInt(10)) {
            case 0, 1 -> {
                int groups = 1 + random.nextInt(4);
                for (int index = 0; index < fleet.size(); index++) {
                    fleet.group(index, random.nextInt(groups));
                }
            }
            case 2 -> heal(fleet);
            case 3 -> fleet.kill(node, 100 + random.nextInt(12_000));
            case 4 -> fleet.freeze(node, random.nextInt(6_000));
            case 5 -> fleet.leave(node);
            case 6 -> fleet.shuffleRanks(node);
            case 7 -> fleet.agreeOnRanks();
            case 8 -> {
                boolean all = random.nextBoolean();
                boolean reachable = random.nextBoolean();
                for (int index = 0; index < fleet.size(); index++) {
                    fleet.storeReachable(index, all ? reachable : random.nextBoolean());
                }
            }
            default -> fleet.maxDelays(1 + random.nextInt(300), random.nextInt(6_000));
        }
    }

    /** Which sides of a cut reach the store. */
    enum StoreReachedBy {
        BOTH,
        ONE,
        OTHER,
        NONE
    }

    /** Ends all disturbances. */
    private static void heal(ShareExploration fleet) {
        fleet.maxDelays(5, 0);
        fleet.agreeOnRanks();
        for (int node = 0; node < fleet.size(); node++) {
            fleet.group(node, 0);
            fleet.storeReachable(node, true);
        }
    }
}
