package org.tanagermoor.gateway.dispatch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against targets that get more requests than the limit that they name, summed over all instances. */
final class TargetLimitLoadTest {

    /** The window in which requests are counted, in milliseconds. */
    private static final long WINDOW_MILLIS = 4_000;

    /** The time after which a limit counts that a target names, in milliseconds. */
    private static final long CONTACT_MILLIS = 500;

    /** A target got the requests of all instances as if it had named no limit. */
    @ParameterizedTest
    @CsvSource({
        "30, 2, 3.3, 0",
        "30, 5, 3.3, 0.1",
        "200, 5, 0.4, 0",
        "200, 5, 12, 0.1",
        "1000, 5, 0, 0",
        "1000, 11, 40, 0.1",
        "1000, 11, 2.5, 0.1"
    })
    void sendsNoMoreThanTheLimitOfATarget(int perSecond, int instances, double limit, double lostShare) {
        LimitFleet fleet = new LimitFleet(perSecond + instances, instances, 3);
        fleet.advance(3_000, perSecond);
        fleet.lostShare(lostShare);
        fleet.limit(0, OptionalDouble.of(limit));
        long named = fleet.millis();
        fleet.advance(20_000, perSecond);
        assertKept(fleet, 0, limit, named + CONTACT_MILLIS);
        if (lostShare == 0) {
            assertThat(
                    (double) fleet.sent(0, named + 4_000, fleet.millis()),
                    is(greaterThanOrEqualTo(0.75 * 16 * Math.min(limit, perSecond < 1_000 ? 0.9 : limit))));
        }
    }

    /** Three in ten messages are lost between many instances. */
    @Test
    void sendsNoMoreThanTheLimitWhileManyMessagesAreLost() {
        LimitFleet fleet = new LimitFleet(1_011, 11, 3);
        fleet.advance(3_000, 1_000);
        fleet.lostShare(0.3);
        fleet.limit(0, OptionalDouble.of(2.5));
        long named = fleet.millis();
        fleet.advance(20_000, 1_000);
        assertKept(fleet, 0, 2.5, named + CONTACT_MILLIS);
    }

    /** Dispatchers on both sides of a cut each sent what the target takes in all. */
    @ParameterizedTest
    @CsvSource({"2, 1", "5, 2", "11, 5", "11, 1"})
    void sendsNoMoreThanTheLimitFromBothSidesOfACut(int instances, int cutOff) {
        LimitFleet fleet = new LimitFleet(7, instances, 2);
        fleet.limit(0, OptionalDouble.of(4));
        fleet.limit(1, OptionalDouble.of(15));
        fleet.advance(5_000, 300);
        long cut = fleet.millis();
        for (int node = 0; node < cutOff; node++) {
            fleet.group(node, 1);
        }
        fleet.advance(10_000, 300);
        assertThat(fleet.dispatchers(), is(2L));
        for (int node = 0; node < cutOff; node++) {
            fleet.group(node, 0);
        }
        fleet.advance(10_000, 300);
        assertThat(fleet.dispatchers(), is(1L));
        assertKept(fleet, 0, 4, cut - 4_000);
        assertKept(fleet, 1, 15, cut - 4_000);
    }

    /** A new dispatcher knew nothing of the limits. */
    @ParameterizedTest
    @ValueSource(ints = {2, 5, 11})
    void keepsToTheLimitWhenTheDispatcherIsKilled(int instances) {
        LimitFleet fleet = new LimitFleet(11, instances, 2);
        fleet.limit(0, OptionalDouble.of(4));
        fleet.advance(6_000, 200);
        long killed = fleet.millis();
        fleet.killDispatcher();
        fleet.advance(12_000, 200);
        assertKept(fleet, 0, 4, killed - 4_000);
        assertThat(fleet.sent(0, killed + 2_000, killed + 12_000), is(greaterThan(10L)));
    }

    /** A limit that falls counts at once, one that rises too, and one that is no longer named ends. */
    @Test
    void followsALimitThatChangesAndEnds() {
        LimitFleet fleet = new LimitFleet(3, 4, 2);
        fleet.limit(0, OptionalDouble.of(20));
        fleet.advance(5_000, 200);
        fleet.limit(0, OptionalDouble.of(2));
        long lowered = fleet.millis();
        fleet.advance(8_000, 200);
        assertKept(fleet, 0, 2, lowered + CONTACT_MILLIS);
        fleet.limit(0, OptionalDouble.of(30));
        long raised = fleet.millis();
        fleet.advance(6_000, 200);
        assertKept(fleet, 0, 30, raised);
        assertThat(fleet.sent(0, raised + 2_000, raised + 6_000), is(greaterThan(90L)));
        fleet.limit(0, OptionalDouble.empty());
        long ended = fleet.millis();
        fleet.advance(6_000, 200);
        assertThat(fleet.sent(0, ended + 1_000, ended + 6_000), is(greaterThan(400L)));
    }

    /** A target that takes nothing was never asked again, so that the end of its limit was not found. */
    @Test
    void findsTheEndOfALimitOfNothing() {
        LimitFleet fleet = new LimitFleet(5, 3, 2);
        fleet.limit(0, OptionalDouble.of(0));
        fleet.advance(8_000, 100);
        fleet.limit(0, OptionalDouble.empty());
        fleet.advance(8_000, 100);
        assertThat(fleet.sent(0, fleet.millis() - 1_000, fleet.millis()), is(greaterThan(30L)));
    }

    /** The limit of a process was kept for the one that replaced it. */
    @Test
    void forgetsTheLimitOfATargetThatStartedAgain() {
        LimitFleet fleet = new LimitFleet(5, 3, 2);
        fleet.limit(0, OptionalDouble.of(0));
        fleet.advance(4_000, 100);
        fleet.restart(0);
        fleet.advance(2_000, 100);
        assertThat(fleet.sent(0, fleet.millis() - 1_000, fleet.millis()), is(greaterThan(30L)));
    }

    /** Requests above the limits of all targets are refused at once, and items of jobs still get some of them. */
    @Test
    void refusesWhatTheLimitsOfAllTargetsDoNotAdmit() {
        LimitFleet fleet = new LimitFleet(9, 3, 2);
        fleet.limit(0, OptionalDouble.of(5));
        fleet.limit(1, OptionalDouble.of(5));
        fleet.advance(3_000, 50);
        long before = fleet.refusals();
        fleet.advance(10_000, 50);
        assertThat(fleet.refusals() - before, is(greaterThan(300L)));
        long quiet = fleet.millis();
        fleet.items();
        fleet.advance(20_000, 5);
        assertThat(fleet.sentItems(), is(greaterThan(3L)));
        assertKept(fleet, 0, 5, quiet);
        assertKept(fleet, 1, 5, quiet);
    }

    private static void assertKept(LimitFleet fleet, int target, double limit, long fromMillis) {
        long most = fleet.mostSent(target, WINDOW_MILLIS, fromMillis, fleet.millis());
        assertThat("target " + target, (double) most, is(lessThanOrEqualTo(1.5 * limit * WINDOW_MILLIS / 1_000 + 5)));
    }
}
