package org.tanagermoor.gateway.dispatch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.nullValue;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.tanagermoor.policy.prompt.Prompt;
import org.tanagermoor.policy.quarantine.IsolationStep;

/** What the dispatcher does with items of jobs whose prompts have a part that is held back. */
final class SuspectsTest extends DispatcherFixture {

    private static final String PART = "part";

    /** Also lets the targets start again whose crashes have accused the part. */
    @BeforeEach
    void holdThePartBack() {
        holdBack(PART);
        dispatcher.ask(suspect("y", 10), now);
        dispatcher.tick(now);
        dispatcher.release("y", 10, PlaceOutcome.UNUSED, now);
        advance(3_000);
    }

    /** An item runs at a target that has no other requests, which end there or are recalled first. */
    @Test
    void reservesATargetForAnItemThatIsHeldBack() {
        ask(1, true);
        ask(2, true);
        assertThat(dispatcher.ask(suspect("y", 11), now), is(Optional.empty()));
        dispatcher.tick(now);
        IsolationStep.Reserve reserve = (IsolationStep.Reserve) isolation.get(0);
        assertThat(decisions.get(11L), is(nullValue()));
        assertThat(recalled.size(), is(1));
        release(recalled.get(0), PlaceOutcome.UNUSED);
        assertThat(decisions.get(11L), is(new PlacementDecision.Granted(reserve.target())));
        assertThat(target(3), is(not(reserve.target())));
    }

    /** A recall for an online request would leave the crash of the target unproven. */
    @Test
    void doesNotRecallAnIsolatedRun() {
        runSuspect(11);
        for (long permit = 1; permit <= 3; permit++) {
            ask(permit, false);
        }
        assertThat(recalled, is(empty()));
    }

    /** An online request waited for a place of an isolated run, which is not recalled, and was late. */
    @Test
    void refusesWhatOnlyAnIsolatedRunCouldMakeRoomFor() {
        runSuspect(11);
        for (long permit = 1; permit <= 3; permit++) {
            ask(permit, false);
        }
        assertThat(ask(4, false).orElseThrow(), is(instanceOf(PlacementDecision.Refused.class)));
    }

    /** An item that waits when its part is held back is neither refused nor forgotten. */
    @Test
    void keepsQueuedItemsWhenTheirPartIsHeldBack() {
        dispatcher.batchPaused(true, now);
        Ask ask = ask("y", 11, true, 10_000, "", Set.of()).withPrompt(new Prompt(List.of("other"), "own"));
        assertThat(dispatcher.ask(ask, now), is(Optional.empty()));
        holdBack("other");
        dispatcher.batchPaused(false, now);
        dispatcher.tick(now);
        assertThat(isolation, is(empty()));
        advance(3_000);
        dispatcher.ask(ask, now);
        dispatcher.tick(now);
        assertThat(isolation.get(0), is(instanceOf(IsolationStep.Reserve.class)));
        assertThat(decisions.get(11L), is(instanceOf(PlacementDecision.Granted.class)));
    }

    /** An item that waits when its part is released waits for any target, and no target stays reserved. */
    @Test
    void letsQueuedItemsRunAnywhereWhenTheirPartIsReleased() {
        runSuspect(11);
        dispatcher.ask(suspect("y", 12), now);
        advance(100);
        dispatcher.release("y", 11, PlaceOutcome.SERVED, now);
        assertThat(quarantined.get(quarantined.size() - 1).held(), is(false));
        assertThat(decisions.get(12L), is(instanceOf(PlacementDecision.Granted.class)));
    }

    /** Without a second target none can be reserved, but the item still gets the trials of the whole fleet. */
    @Test
    void runsATrialAtTheOnlyTargetOfAService() {
        dispatcher.targets(List.of(target("a", 2, 0)), service -> 0, now);
        dispatcher.ask(suspect("y", 11), now);
        dispatcher.ask(suspect("y", 12), now);
        dispatcher.tick(now);
        dispatcher.tick(now);
        assertThat(decisions.get(11L), is(instanceOf(PlacementDecision.Granted.class)));
        assertThat(decisions.get(12L), is(nullValue()));
        assertThat(isolation, is(empty()));
    }

    /** An instance that is lost, or that no longer reports its run, does not keep the target reserved. */
    @ParameterizedTest
    @EnumSource
    void goesOnAfterTheLossOfARun(Loss loss) {
        runSuspect(11);
        advance(2_000);
        switch (loss) {
            case HOLDER -> dispatcher.forget("y", now);
            case REPORT -> dispatcher.resync("y", List.of(), now);
        }
        dispatcher.ask(suspect("x", 12), now);
        dispatcher.tick(now);
        assertThat(decisions.get(12L), is(instanceOf(PlacementDecision.Granted.class)));
    }

    /** Requests were sent to a target while it started again after a crash that was certain. */
    @Test
    void avoidsATargetThatCrashedAlone() {
        String crashed = runSuspect(11);
        advance(100);
        dispatcher.release("y", 11, PlaceOutcome.CRASHED, now);
        assertThat(verdicts.get(0).single(), is(true));
        assertThat(List.of(target(1), target(2)), not(hasItem(crashed)));
    }

    /** Lets an item run at a reserved target, which is returned. */
    private String runSuspect(long permit) {
        dispatcher.ask(suspect("y", permit), now);
        dispatcher.tick(now);
        return ((PlacementDecision.Granted) decisions.get(permit)).target();
    }

    private static Ask suspect(String holder, long permit) {
        return ask(holder, permit, true, 10_000, "", Set.of())
                .withPrompt(new Prompt(List.of("first", PART), "own-" + permit));
    }

    private enum Loss {
        HOLDER,
        REPORT
    }
}
