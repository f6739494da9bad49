package org.tanagermoor.gateway.dispatch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.both;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.tanagermoor.gateway.fleet.TargetEntry;

/** Guards against places that are free, but at which a request limit allows no request. */
final class DispatcherLimitTest extends DispatcherFixture {

    private long lastPermit = 100;

    /** Requests go to a target without a limit while it has free places, and then to the other as its limit allows. */
    @Test
    void sparesATargetWithALimit() {
        limit("a", OptionalDouble.of(0));
        assertThat(target(1), is("b"));
        assertThat(target(2), is("b"));
        assertThat(target(3), is("a"));
        assertThat(ask(4, false), is(Optional.empty()));
        release(3, PlaceOutcome.SERVED);
        assertThat(decisions.containsKey(4L), is(false));
        release(1, PlaceOutcome.SERVED);
        assertThat(decisions.get(4L), is(new PlacementDecision.Granted("b")));
    }

    /** A target that got nothing for a second is asked, since only its answer shows that its limit has ended. */
    @Test
    void sendsATargetWithALimitARequestFromTimeToTime() {
        limit("a", OptionalDouble.of(4));
        assertThat(target(1), is("b"));
        release(1, PlaceOutcome.SERVED);
        advance(1_000);
        assertThat(target(2), is("a"));
        release(2, PlaceOutcome.SERVED);
        assertThat(target(3), is("b"));
    }

    /** A caller that the limits cannot serve in time is refused at once, and told when they can. */
    @ParameterizedTest
    @CsvSource({"0, 2100", "0.25, 700", "0.5, 420"})
    void tellsACallerWhenTheLimitsAllowItsRequest(double perSecond, long waitMillis) {
        limit("a", OptionalDouble.of(perSecond));
        limit("b", OptionalDouble.of(perSecond));
        PlacementDecision.Refused refused = (PlacementDecision.Refused) useUp().orElseThrow();
        assertThat(refused.reason(), is(PlacementDecision.Reason.OVERLOADED));
        assertThat(
                refused.retryAfterMillis(),
                is(both(greaterThanOrEqualTo(waitMillis - 1)).and(lessThanOrEqualTo(waitMillis + 1))));
    }

    /** Items of jobs do not take the last request that is allowed, and get some when online requests need few. */
    @Test
    void keepsTheLastAllowedRequestForOnlineRequests() {
        limit("a", OptionalDouble.of(0));
        limit("b", OptionalDouble.of(0));
        assertThat(ask(1, true).orElseThrow(), is(instanceOf(PlacementDecision.Granted.class)));
        assertThat(ask(2, true), is(Optional.empty()));
        assertThat(ask(3, false).orElseThrow(), is(instanceOf(PlacementDecision.Granted.class)));
        advance(2_200);
        assertThat(ask(2, true), is(Optional.empty()));
        advance(2_200);
        dispatcher.tick(now);
        assertThat(decisions.get(2L), is(instanceOf(PlacementDecision.Granted.class)));
    }

    /** An item of a job is not recalled for a request that its target may not get. */
    @Test
    void recallsNothingFromATargetThatTakesNoRequest() {
        ask(1, true);
        ask(2, true);
        limit("a", OptionalDouble.of(0));
        limit("b", OptionalDouble.of(0));
        assertThat(ask(5, false).orElseThrow(), is(instanceOf(PlacementDecision.Granted.class)));
        assertThat(ask(6, false).orElseThrow(), is(instanceOf(PlacementDecision.Granted.class)));
        ask(7, false);
        assertThat(recalled, is(empty()));
    }

    /** A new dispatcher sends nothing to a target with a limit before it knows what was sent for the last one. */
    @Test
    void waitsForWhatOthersHaveSent() {
        dispatcher.limits().sendsKnown(false, now);
        limit("a", OptionalDouble.of(1));
        limit("b", OptionalDouble.of(1));
        ask(1, false);
        assertThat(decisions.containsKey(1L), is(false));
        dispatcher.limits().sendsKnown(true, now);
        assertThat(ask(2, false).orElseThrow(), is(instanceOf(PlacementDecision.Granted.class)));
    }

    /** A report may come before the entry of its target; one about another process must not count. */
    @Test
    void appliesALimitToTheProcessThatNamedIt() {
        dispatcher.limits().report(new LimitReport("c", 7, OptionalDouble.of(0), now), now);
        dispatcher.limits().report(new LimitReport("a", 7, OptionalDouble.of(0), now), now);
        dispatcher.limits().report(new LimitReport("b", -7, OptionalDouble.of(0), now), now);
        dispatcher.targets(List.of(startedAt("c", 7), target("a", 2, 0), target("b", 2, 0)), service -> 0, now);
        assertThat(dispatcher.limits().find(SERVICE, "c").isPresent(), is(true));
        assertThat(dispatcher.limits().find(SERVICE, "a").isPresent(), is(false));
        assertThat(dispatcher.limits().find(SERVICE, "b").isPresent(), is(false));
        dispatcher.targets(List.of(startedAt("c", 8), startedAt("a", 7)), service -> 0, now);
        assertThat(dispatcher.limits().find(SERVICE, "c").isPresent(), is(false));
        assertThat(dispatcher.limits().find(SERVICE, "a").isPresent(), is(true));
    }

    /** Requests that wait for a limit go on at once when it ends. */
    @Test
    void servesWaitingRequestsWhenALimitEnds() {
        limit("a", OptionalDouble.of(2));
        limit("b", OptionalDouble.of(2));
        assertThat(useUp(), is(Optional.empty()));
        advance(110);
        limit("a", OptionalDouble.empty());
        assertThat(decisions.get(lastPermit), is(instanceOf(PlacementDecision.Granted.class)));
    }

    /** Places that a limit cannot keep in use are no headroom for items of jobs. */
    @Test
    void countsNoHeadroomThatALimitDoesNotAllow() {
        limit("a", OptionalDouble.of(0.5));
        limit("b", OptionalDouble.of(0.5));
        for (int check = 0; check < 2_400; check++) {
            advance(25);
            dispatcher.tick(now);
        }
        assertThat(dispatcher.headroom(SERVICE), is(lessThan(0.3)));
    }

    /** Asks for places until none is granted, and returns the last decision; empty if the ask is queued. */
    private Optional<PlacementDecision> useUp() {
        while (true) {
            lastPermit++;
            Optional<PlacementDecision> decision = ask(lastPermit, false);
            if (!(decision.orElse(null) instanceof PlacementDecision.Granted)) {
                return decision;
            }
            release(lastPermit, PlaceOutcome.SERVED);
        }
    }

    private void limit(String target, OptionalDouble perSecond) {
        dispatcher.limits().report(new LimitReport(target, 0, perSecond, now), now);
    }

    private static TargetEntry startedAt(String id, long millis) {
        TargetEntry entry = target(id, 2, 0);
        return new TargetEntry(id, SERVICE, entry.address(), entry.domain(), 2, false, 0, millis);
    }
}
