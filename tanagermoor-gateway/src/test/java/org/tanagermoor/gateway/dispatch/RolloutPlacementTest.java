package org.tanagermoor.gateway.dispatch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.startsWith;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.tanagermoor.gateway.fleet.TargetEntry;
import org.tanagermoor.policy.rollout.Rollout;
import org.tanagermoor.policy.rollout.RolloutEvidence;
import org.tanagermoor.policy.rollout.RolloutLimits;
import org.tanagermoor.policy.rollout.RolloutOrder;
import org.tanagermoor.policy.rollout.RolloutPhase;

/** Tests where a dispatcher places requests during a roll-out, and what it reports to it. */
final class RolloutPlacementTest extends DispatcherFixture {

    private static final String ROUTE = "chat";

    private static final RolloutLimits LIMITS = new RolloutLimits(0.1, 50, Duration.ofSeconds(5));

    /** The share before a good verdict. */
    private static final double SHARE = 0.05;

    private static final RunAnswer ANSWER = new RunAnswer(
            false, TimeUnit.MILLISECONDS.toNanos(100), 20, TimeUnit.MILLISECONDS.toNanos(500), Optional.empty());

    /** The share after a good verdict on every route. */
    private static final double GOOD_SHARE = 0.09;

    private Rollout rollout = rollout("v2");

    /** Gives the dispatcher two old and two new targets with four places each, and a roll-out to the new version. */
    @BeforeEach
    void beginRollout() {
        rollout = rollout("v2");
        useTargets(old("a"), old("b"), next("c"), next("d"));
        dispatcher.rollouts(Map.of(SERVICE, rollout));
    }

    /** Old targets get no request any more in a move, even if those of the new version have no free place. */
    @Test
    void usesNoOldTargetInAMove() {
        rollout.adopt(new RolloutPhase.Moving(), now);
        List<String> targets = takeTargets(20);
        assertThat(targets, hasSize(8));
        assertThat(targets, everyItem(startsWith("v2-")));
        assertThat(dispatcher.ask(routed("x", 100, true), now), is(Optional.empty()));
    }

    /** Targets of a version that was rolled back get no request any more, even if no other place is free. */
    @Test
    void usesNoNewTargetAfterARollBack() {
        rollout.adopt(new RolloutPhase.RolledBack("bad"), now);
        List<String> targets = takeTargets(20);
        assertThat(targets, hasSize(8));
        assertThat(targets, everyItem(startsWith("v1-")));
    }

    /** A target that comes later is used after a completion unless it has a version that was replaced. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void usesNoReplacedVersionAfterACompletion(boolean recorded) {
        if (recorded) {
            useTargets(next("c"), target("e", "v3"));
            dispatcher.replacedVersions(Map.of(SERVICE, Set.of("v1")));
        }
        rollout.adopt(new RolloutPhase.Completed(), now);
        dispatcher.tick(now);
        useTargets(old("a"), next("c"), target("e", "v3"));
        assertThat(Set.copyOf(takeTargets(20)), is(Set.of("v2-c", "v3-e")));
    }

    /**
     * After the order of an ended roll-out was removed, its excluded version is not used while there are targets of it,
     * and may come back afterwards. An order that is removed in the middle counts as rolled back.
     */
    @ParameterizedTest
    @CsvSource({"completed, v1-", "rolled back, v2-", "moving, v2-", "canary, v2-"})
    void excludesAVersionUntilNoTargetOfItIsLeft(String end, String excluded) {
        switch (end) {
            case "completed" -> rollout.adopt(new RolloutPhase.Completed(), now);
            case "rolled back" -> rollout.adopt(new RolloutPhase.RolledBack("bad"), now);
            case "moving" -> rollout.adopt(new RolloutPhase.Moving(), now);
            default -> {}
        }
        dispatcher.tick(now);
        dispatcher.rollouts(Map.of());
        List<String> targets = takeTargets(20);
        assertThat(targets, hasSize(8));
        assertThat(
                targets.stream().filter(target -> target.startsWith(excluded)).toList(), is(empty()));
        dispatcher.forget("x", now);
        boolean oldLeft = excluded.equals("v2-");
        useTargets(oldLeft ? old("a") : next("c"));
        useTargets(oldLeft ? old("a") : next("c"), target("z", excluded.substring(0, 2)));
        assertThat(
                takeTargets(100, 8).stream()
                        .filter(target -> target.startsWith(excluded))
                        .toList(),
                hasSize(4));
    }

    /** A newer order for the same service replaces the rules of the older one. */
    @Test
    void followsANewerOrder() {
        rollout.adopt(new RolloutPhase.RolledBack("bad"), now);
        Rollout newer = rollout("v2");
        dispatcher.rollouts(Map.of(SERVICE, newer));
        newer.adopt(new RolloutPhase.Moving(), now);
        assertThat(takeTargets(1), everyItem(startsWith("v2-")));
    }

    /** Items at old targets are recalled when the move begins, and again if they have not ended after a second. */
    @Test
    void recallsItemsAtOldTargetsWhenTheMoveBegins() {
        dispatcher.resync("x", List.of(item(1, "v1-a"), item(2, "v2-c"), online(3, "v1-a"), item(4, "gone")), now);
        dispatcher.tick(now);
        assertThat(recalled, is(empty()));
        rollout.adopt(new RolloutPhase.Moving(), now);
        dispatcher.tick(now);
        assertThat(recalled, containsInAnyOrder(1L, 4L));
        dispatcher.release("x", 4, PlaceOutcome.UNUSED, ANSWER, now);
        recalled.clear();
        advance(500);
        dispatcher.tick(now);
        assertThat(recalled, is(empty()));
        advance(500);
        dispatcher.tick(now);
        assertThat(recalled, contains(1L));
    }

    /** An online request that finds no free old place does not recall an item at a new target, which it cannot use. */
    @Test
    void recallsOnlyItemsWhosePlaceTheRequestCanUse() {
        dispatcher.resync("x", List.of(item(1, "v2-c"), item(2, "v1-a")), now);
        assertThat(takeTargets(10, 7), hasSize(7));
        assertThat(dispatcher.ask(routed("x", 30, false), now), is(Optional.empty()));
        assertThat(recalled, contains(2L));
    }

    /** The share holds for requests and items together, and for the sum of two dispatchers that do not communicate. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void keepsTheShareWithTwoDispatchers(long seed) {
        Random random = new Random(seed);
        Rollout otherRollout = rollout("v2");
        List<Dispatcher> dispatchers = List.of(dispatcher, dispatcher());
        for (Dispatcher each : dispatchers) {
            each.targets(targets(100), service -> 0, now);
        }
        dispatchers.get(1).rollouts(Map.of(SERVICE, otherRollout));
        Deque<Runnable> running = new ArrayDeque<>();
        boolean good = false;
        int placedNew = 0;
        for (int count = 1; count <= 2_000; count++) {
            good |= isGood(rollout) || isGood(otherRollout);
            Dispatcher chosen = dispatchers.get(random.nextInt(4) == 0 ? 1 : 0);
            long permit = count;
            boolean batch = random.nextInt(5) == 0;
            String target = chosen.ask(routed("x", permit, batch), now)
                    .map(decision -> ((PlacementDecision.Granted) decision).target())
                    .orElseThrow();
            placedNew += target.startsWith("v2-") ? 1 : 0;
            assertThat(
                    "after " + count, (double) placedNew, is(lessThanOrEqualTo((good ? GOOD_SHARE : SHARE) * count)));
            running.add(() -> chosen.release("x", permit, PlaceOutcome.SERVED, ANSWER, now));
            advance(10);
            if (running.size() > 50) {
                running.remove().run();
            }
        }
        assertThat(placedNew, is(greaterThan(40)));
        assertThat(
                rollout.evidence(now).newRequests() + otherRollout.evidence(now).newRequests(), is((long) placedNew));
        assertThat(
                rollout.evidence(now).oldRequests() + otherRollout.evidence(now).oldRequests(), is(2_000L - placedNew));
    }

    /** A request that the share would allow at the new version goes to an old target if no new place is free. */
    @Test
    void usesOldTargetsWhenTheNewOnesAreFull() {
        List<Dispatcher.OccupiedPlace> places = new ArrayList<>();
        for (long permit = 1; permit <= 8; permit++) {
            places.add(online(permit, permit <= 4 ? "v2-c" : "v2-d"));
        }
        dispatcher.resync("y", places, now);
        for (long permit = 1; permit <= 300; permit++) {
            assertThat(
                    dispatcher.ask(routed("x", permit, false), now).orElseThrow(),
                    instanceOf(PlacementDecision.Granted.class));
            advance(10);
            dispatcher.release("x", permit, PlaceOutcome.SERVED, ANSWER, now);
        }
        assertThat(rollout.evidence(now).newRequests(), is(0L));
        assertThat(rollout.evidence(now).oldRequests(), is(300L));
    }

    /** A release that comes twice, as one does whose acknowledgement was lost, counts once. */
    @ParameterizedTest
    @EnumSource(
            value = PlaceOutcome.class,
            names = {"SERVED", "FAILED", "UNREACHABLE", "FULL", "UNUSED"})
    void countsARepeatedReleaseOnce(PlaceOutcome outcome) {
        rollout.adopt(new RolloutPhase.Moving(), now);
        takeTargets(3);
        boolean ran = outcome == PlaceOutcome.SERVED || outcome == PlaceOutcome.FAILED;
        for (int time = 0; time < 2; time++) {
            dispatcher.release("x", 1, outcome, ran ? ANSWER : RunAnswer.NONE, now);
        }
        assertThat(rollout.evidence(now).newRequests(), is(ran ? 3L : 2L));
        assertThat(rollout.evidence(now).newBad(), is(outcome == PlaceOutcome.FAILED ? 1L : 0L));
    }

    /** An item whose place was recalled has reached its target, although its place is returned as unused. */
    @Test
    void countsARecalledItem() {
        rollout.adopt(new RolloutPhase.Moving(), now);
        takeTargets(1);
        dispatcher.release("x", 1, PlaceOutcome.UNUSED, ANSWER, now);
        assertThat(rollout.evidence(now).newRequests(), is(1L));
    }

    /** A signed failure that is passed on to the caller is a bad answer, although the target served the request. */
    @Test
    void reportsAFailedAnswer() {
        rollout.adopt(new RolloutPhase.Moving(), now);
        takeTargets(1);
        RunAnswer failed = new RunAnswer(true, 1, 0, 1, Optional.empty());
        dispatcher.release("x", 1, PlaceOutcome.SERVED, failed, now);
        assertThat(rollout.evidence(now).newBad(), is(1L));
    }

    /**
     * A place whose return was lost at a resync may have reached the new version, and counts against the share. One at
     * an old target may not have, and does not add to it. The same holds if the holder ends.
     */
    @ParameterizedTest
    @CsvSource({"false, false", "false, true", "true, false", "true, true"})
    void countsLostPlacesAgainstTheShare(boolean newVersion, boolean holderEnds) {
        if (newVersion) {
            rollout.adopt(new RolloutPhase.Moving(), now);
        }
        takeTargets(1);
        advance(2_000);
        if (holderEnds) {
            dispatcher.forget("x", now);
        } else {
            dispatcher.resync("x", List.of(), now);
        }
        assertThat(rollout.evidence(now).newRequests(), is(newVersion ? 1L : 0L));
        assertThat(rollout.evidence(now).oldRequests(), is(0L));
        assertThat(dispatcher.rolloutPlaces(SERVICE, now).oldPlacesInUse(), is(0));
    }

    /**
     * A new dispatcher learns of places at new, old and unknown targets. It has not placed them, so they do not count
     * against its share, not even when they are returned unused. Their ends are evidence, and those that may be at old
     * targets hold up the completion.
     */
    @Test
    void takesOverPlacesAtOldAndNewTargets() {
        dispatcher.resync("x", List.of(online(1, "v1-a"), online(2, "v2-c"), item(3, "v2-d"), online(4, "gone")), now);
        assertThat(dispatcher.rolloutPlaces(SERVICE, now).oldPlacesInUse(), is(2));
        takeTargets(10, 3);
        assertThat(rollout.evidence(now).newRequests(), is(0L));
        assertThat(rollout.evidence(now).oldRequests(), is(3L));
        dispatcher.release("x", 1, PlaceOutcome.UNUSED, RunAnswer.NONE, now);
        dispatcher.release("x", 2, PlaceOutcome.FAILED, ANSWER, now);
        dispatcher.release("x", 4, PlaceOutcome.SERVED, ANSWER, now);
        assertThat(rollout.evidence(now).oldRequests(), is(3L));
        assertThat(rollout.evidence(now).newBad(), is(1L));
        assertThat(dispatcher.rolloutPlaces(SERVICE, now).oldPlacesInUse(), is(3));
    }

    /** The places that a move may use exclude targets that are draining, avoided or held to a cold rate. */
    @Test
    void countsUsableNewPlaces() {
        TargetEntry cold = target("e", 4, 60_000).withVersion("v2");
        TargetEntry draining =
                new TargetEntry("f", SERVICE, cold.address(), "lisbon-a", 4, true, 0, 0).withVersion("v2");
        dispatcher.targets(List.of(old("a"), next("c"), next("d"), cold, draining), service -> 10, now);
        assertThat(dispatcher.rolloutPlaces(SERVICE, now).newPlaces(), is(8));
        rollout.adopt(new RolloutPhase.Moving(), now);
        takeTargets(1);
        release(1, PlaceOutcome.UNREACHABLE);
        assertThat(dispatcher.rolloutPlaces(SERVICE, now).newPlaces(), is(4));
    }

    /**
     * The places in use are the maximum of the last seconds, up to five sixths of the old places: as many new places as
     * old ones are enough for a move even if items of jobs use all old ones.
     */
    @Test
    void countsThePlacesThatWereInUseRecently() {
        takeTargets(3);
        for (long permit = 1; permit <= 3; permit++) {
            release(permit, PlaceOutcome.SERVED);
        }
        advance(4_000);
        dispatcher.tick(now);
        assertThat(dispatcher.rolloutPlaces(SERVICE, now).placesInUse(), is(3));
        advance(2_000);
        dispatcher.tick(now);
        assertThat(dispatcher.rolloutPlaces(SERVICE, now).placesInUse(), is(0));
        takeTargets(10, 8);
        assertThat(dispatcher.rolloutPlaces(SERVICE, now), is(new RolloutPlaces(8, 6, 8)));
    }

    /** Without old targets a request is refused at once in a move whose new targets are gone, and does not wait. */
    @Test
    void refusesWithoutTargetsThatMayBeUsed() {
        rollout.adopt(new RolloutPhase.Moving(), now);
        useTargets(old("a"));
        PlacementDecision.Refused refused = (PlacementDecision.Refused)
                dispatcher.ask(routed("x", 1, false), now).orElseThrow();
        assertThat(refused.reason(), is(PlacementDecision.Reason.NO_TARGET));
    }

    /** Asks for places for requests from number 1 on, and returns the targets of those that are granted. */
    private List<String> takeTargets(int count) {
        return takeTargets(1, count);
    }

    /** Asks for places for requests from a number on, and returns the targets of those that are granted. */
    private List<String> takeTargets(long first, int count) {
        List<String> targets = new ArrayList<>();
        for (long permit = first; permit < first + count; permit++) {
            dispatcher.ask(routed("x", permit, false), now).ifPresent(decision -> {
                if (decision instanceof PlacementDecision.Granted granted) {
                    targets.add(granted.target());
                }
            });
        }
        return targets;
    }

    private boolean isGood(Rollout judged) {
        return judged.evidence(now).sum() == RolloutEvidence.Verdict.GOOD;
    }

    private void useTargets(TargetEntry... entries) {
        dispatcher.targets(List.of(entries), service -> 0, now);
    }

    private static Rollout rollout(String version) {
        return Rollout.of(
                new RolloutOrder(SERVICE, version, Duration.ofSeconds(30)), LIMITS, TimeUnit.SECONDS.toNanos(1_000));
    }

    /** Returns two targets of each version with the given number of places. */
    private static List<TargetEntry> targets(int capacity) {
        return List.of(
                target("v1-a", capacity, 0).withVersion("v1"),
                target("v1-b", capacity, 0).withVersion("v1"),
                target("v2-c", capacity, 0).withVersion("v2"),
                target("v2-d", capacity, 0).withVersion("v2"));
    }

    private static TargetEntry old(String name) {
        return target(name, "v1");
    }

    private static TargetEntry next(String name) {
        return target(name, "v2");
    }

    /** Returns a target with four places, whose identity begins with its version. */
    private static TargetEntry target(String name, String version) {
        return target(version + "-" + name, 4, 0).withVersion(version);
    }

    private static Ask routed(String holder, long permit, boolean batch) {
        return ask(holder, permit, batch, 5_000, "", Set.of())
                .withTraits(new RequestTraits(ROUTE, 0, OptionalInt.empty()));
    }

    private static Dispatcher.OccupiedPlace item(long permit, String target) {
        return new Dispatcher.OccupiedPlace(permit, SERVICE, target, true, 0, Work.NONE).withRoute(ROUTE);
    }

    private static Dispatcher.OccupiedPlace online(long permit, String target) {
        return new Dispatcher.OccupiedPlace(permit, SERVICE, target, false, 0, Work.NONE).withRoute(ROUTE);
    }
}
