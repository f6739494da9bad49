package org.tanagermoor.gateway.dispatch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.tanagermoor.gateway.fleet.TargetEntry;
import org.tanagermoor.kernel.setting.Address;
import org.tanagermoor.policy.prompt.Prompt;
import org.tanagermoor.policy.quarantine.QuarantineEntry;

/** Items of jobs with a part that is held back, among online requests and other items at ten targets. */
final class HeldItemsLoadTest extends DispatcherFixture {

    private static final int TARGETS = 10;

    private static final int PLACES = 8;

    private static final String PART = "part";

    private static final long STEP_MILLIS = 5;

    private static final long JOB_MILLIS = 60_000;

    private static final int ATTEMPTS = 3;

    private static final long OFFER_MILLIS = JOB_MILLIS / ATTEMPTS;

    /** The pause of an item that is held back after a run that failed, in milliseconds. */
    private static final long PAUSE_MILLIS = 16_000;

    private static final long RESTART_MILLIS = 3_000;

    private static final long ONLINE_INTERVAL_MILLIS = 40;

    private static final long ONLINE_MILLIS = 300;

    private static final long ITEM_MILLIS = 3_000;

    private static final long CRASH_MILLIS = 60;

    private final Random random = new Random(1);

    private final long start = now;

    private final List<Request> requests = new ArrayList<>();

    private final Map<Long, Request> byPermit = new HashMap<>();

    private final Map<String, Long> downUntil = new HashMap<>();

    /** When the process of each target started that has crashed before. */
    private final Map<String, Long> startedAt = new HashMap<>();

    private final Set<String> faulty = new HashSet<>();

    private long permits;

    private int crashes;

    private int onlineTrials;

    /** The other requests that a crash broke off since the part was held back. */
    private final List<String> lost = new ArrayList<>();

    private long heldAtMillis = -1;

    /**
     * Sound items waited for trials that came ever more rarely and met targets with faults of their own, until the time
     * for their job was over.
     */
    @ParameterizedTest
    @ValueSource(ints = {0, 5, 8})
    void runsItemsThatAreHeldBackWithinTheirJobsTime(int faultyTargets) {
        IntStream.range(0, faultyTargets).forEach(number -> faulty.add("t-" + number));
        List<Request> items = items(24, PART, false);
        holdBack();
        run(JOB_MILLIS);
        assertThat(items.stream().filter(item -> !item.done).toList(), is(empty()));
    }

    /** Items with a part that crashes targets were neither run nor ended. */
    @ParameterizedTest
    @CsvSource({"1, 0", "5, 0", "24, 0", "40, 0", "24, 3"})
    void offersARunToEachItemThatIsHeldBackInTime(int count, int faultyTargets) {
        IntStream.range(0, faultyTargets).forEach(number -> faulty.add("t-" + number));
        List<Request> items = items(count, PART, true);
        items(100, "sound", false);
        holdBack();
        run(JOB_MILLIS);
        for (Request item : items) {
            long before = heldAtMillis;
            for (long offered : item.runs) {
                assertThat(item + " " + item.runs, offered - before, is(lessThanOrEqualTo(OFFER_MILLIS)));
                before = offered;
            }
            assertThat(item + " " + item.runs, JOB_MILLIS - before, is(lessThanOrEqualTo(OFFER_MILLIS)));
            assertThat(item.runs.size(), is(lessThanOrEqualTo(ATTEMPTS + 1)));
        }
        assertThat(lost, is(empty()));
        int crashesOfARound = Math.min(count, 2 + (count + PLACES - 1) / PLACES);
        assertThat(crashes, is(lessThanOrEqualTo((ATTEMPTS + 1) * crashesOfARound)));
    }

    /** The items without the part start at once although others of their jobs wait. */
    @Test
    void doesNotDelayOtherItems() {
        holdBack();
        run(1_000);
        items(40, PART, true);
        List<Request> sound = items(16, "sound", false);
        run(10_000);
        assertThat(sound.stream().filter(item -> !item.done).toList(), is(empty()));
    }

    /** Online requests with the part reach targets as rarely as without any items that have it. */
    @ParameterizedTest
    @ValueSource(ints = {0, 24})
    void letsOnlineRequestsThroughAsRarelyAsBefore(int items) {
        items(items, PART, true);
        holdBack();
        IntStream.range(0, 600).forEach(number -> new Request(PART, true, false, 100L * number));
        run(JOB_MILLIS);
        assertThat(onlineTrials, is(3));
    }

    private List<Request> items(int count, String part, boolean deadly) {
        return IntStream.range(0, count)
                .mapToObj(number -> new Request(part, deadly, true, millis()))
                .toList();
    }

    private void holdBack() {
        startTargets();
        holdBack(PART);
        assertThat(held(), is(true));
        heldAtMillis = millis();
    }

    private boolean held() {
        return quarantined.stream()
                .filter(entry -> entry.part().equals(PART))
                .reduce((before, after) -> after)
                .filter(QuarantineEntry::held)
                .isPresent();
    }

    private long millis() {
        return TimeUnit.NANOSECONDS.toMillis(now - start);
    }

    /** Makes the targets known that are up. */
    private void startTargets() {
        dispatcher.targets(
                IntStream.range(0, TARGETS)
                        .mapToObj(number -> "t-" + number)
                        .map(id -> new TargetEntry(
                                id,
                                SERVICE,
                                Address.of("127.0.0.1", 1),
                                "lisbon-a",
                                PLACES,
                                false,
                                0,
                                startedAt.getOrDefault(id, 0L)))
                        .toList(),
                service -> 0,
                now);
    }

    private void run(long untilMillis) {
        while (millis() < untilMillis) {
            if (millis() % ONLINE_INTERVAL_MILLIS == 0) {
                new Request("sound", false, false, millis());
            }
            if (millis() % 25 == 0) {
                dispatcher.tick(now);
            }
            List<String> back = downUntil.keySet().stream()
                    .filter(target -> downUntil.get(target) <= millis())
                    .toList();
            if (!back.isEmpty()) {
                back.forEach(target -> startedAt.put(target, downUntil.remove(target)));
                startTargets();
            }
            for (Request request : List.copyOf(requests)) {
                request.step();
            }
            requests.removeIf(request -> request.done);
            advance(STEP_MILLIS);
        }
    }

    private static Prompt prompt(String part, String own) {
        return new Prompt(List.of("first", part), own);
    }

    /** An online request, which asks once, or an item of a job. */
    private final class Request {

        private final String part;

        private final boolean deadly;

        private final boolean item;

        private final Prompt prompt;

        private long nextAskMillis;

        private long failedAtMillis = -PAUSE_MILLIS;

        private long permit;

        private long askedMillis;

        private String target = "";

        private long startedMillis;

        private boolean done;

        private final List<Long> runs = new ArrayList<>();

        Request(String part, boolean deadly, boolean item, long atMillis) {
            this.part = part;
            this.deadly = deadly;
            this.item = item;
            prompt = prompt(part, "own-" + random.nextLong());
            nextAskMillis = atMillis;
            requests.add(this);
        }

        void step() {
            if (done || millis() < nextAskMillis) {
                return;
            }
            if (permit == 0) {
                ask();
            } else if (target.isEmpty()) {
                PlacementDecision decision = decisions.remove(permit);
                if (decision != null) {
                    decided(decision);
                } else if (millis() - askedMillis >= (item ? 1_000 : 200)) {
                    repeat();
                }
            } else {
                proceed();
            }
        }

        private void ask() {
            if (item && held() && part.equals(PART) && millis() - failedAtMillis < PAUSE_MILLIS) {
                nextAskMillis = millis() + 200;
                return;
            }
            permit = ++permits;
            byPermit.put(permit, this);
            repeat();
        }

        private void repeat() {
            askedMillis = millis();
            Ask ask = ask(item ? "y" : "x", permit, item, item ? OFFER_MILLIS : 2_000, "", Set.of())
                    .withPrompt(prompt);
            dispatcher.ask(ask, now).ifPresent(this::decided);
        }

        private Ask ask(String holder, long number, boolean batch, long wait, String team, Set<String> excluded) {
            return DispatcherFixture.ask(holder, number, batch, wait, team, excluded);
        }

        private void decided(PlacementDecision decision) {
            switch (decision) {
                case PlacementDecision.Granted granted -> {
                    target = granted.target();
                    startedMillis = millis();
                    if (downUntil.getOrDefault(target, 0L) > millis()) {
                        end(PlaceOutcome.UNREACHABLE);
                        return;
                    }
                    runs.add(millis());
                    onlineTrials += !item && part.equals(PART) ? 1 : 0;
                }
                case PlacementDecision.Refused refused -> {
                    permit = 0;
                    nextAskMillis = millis() + Math.min(1_000, Math.max(200, refused.retryAfterMillis()));
                    done = !item;
                }
            }
        }

        private void proceed() {
            long ranMillis = millis() - startedMillis;
            if (recalled.remove(permit)) {
                end(PlaceOutcome.UNUSED);
            } else if (item && faulty.contains(target)) {
                end(PlaceOutcome.FAILED);
            } else if (deadly && ranMillis >= CRASH_MILLIS) {
                crash();
            } else if (ranMillis >= (item ? ITEM_MILLIS : ONLINE_MILLIS)) {
                end(PlaceOutcome.SERVED);
            }
        }

        private void crash() {
            crashes++;
            String crashed = target;
            downUntil.put(crashed, millis() + RESTART_MILLIS);
            for (Request other : List.copyOf(requests)) {
                if (other.target.equals(crashed)) {
                    if (!other.part.equals(PART)) {
                        lost.add(other + " by " + this);
                    }
                    other.end(other.deadly ? PlaceOutcome.CRASHED : PlaceOutcome.FAILED);
                }
            }
        }

        private void end(PlaceOutcome outcome) {
            long ended = permit;
            boolean sent = outcome != PlaceOutcome.UNREACHABLE;
            permit = 0;
            target = "";
            done = outcome == PlaceOutcome.SERVED || !item;
            if (outcome.failure()) {
                failedAtMillis = millis();
            }
            nextAskMillis = millis() + (outcome.failure() ? 200 : 5);
            dispatcher.release(
                    item ? "y" : "x", ended, outcome, new RunAnswer(false, 0, 0, sent ? 1 : 0, Optional.empty()), now);
        }

        /** {@inheritDoc} */
        @Override
        public String toString() {
            return (item ? "item" : "online") + " with " + part + " at " + millis();
        }
    }
}
