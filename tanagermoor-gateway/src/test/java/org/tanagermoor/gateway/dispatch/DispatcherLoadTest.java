package org.tanagermoor.gateway.dispatch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Simulates loads on a dispatcher and checks what callers get. */
final class DispatcherLoadTest extends DispatcherFixture {

    /**
     * One of two targets fails every second request while its entry says that it is ready. Few requests are sent to it
     * while the other one has free places, and it is used again after it recovers.
     */
    @Test
    void sendsLittleToATargetThatFailsAPartOfItsRequests() {
        dispatcher.targets(List.of(target("a", 8, 0), target("b", 8, 0)), service -> 0, now);
        int failed = 0;
        for (long permit = 1; permit <= 200; permit++) {
            boolean fails = target(permit).equals("a") && permit % 2 == 0;
            failed += fails ? 1 : 0;
            advance(50);
            release(permit, fails ? PlaceOutcome.FAILED : PlaceOutcome.SERVED);
        }
        assertThat(failed, is(lessThanOrEqualTo(12)));
        advance(20_000);
        Set<String> used = new HashSet<>();
        for (long permit = 201; permit <= 216; permit++) {
            used.add(target(permit));
        }
        assertThat(used, is(Set.of("a", "b")));
    }

    /** A target fails the requests of one failure domain only; the other domain continues to use it. */
    @Test
    void judgesATargetForEachFailureDomain() {
        dispatcher.targets(List.of(target("a", 8, 0), target("b", 8, 0)), service -> 0, now);
        for (long permit = 1; permit <= 40; permit++) {
            String domain = permit % 4 == 0 ? "lisbon-a" : "lisbon-b";
            PlacementDecision decision =
                    dispatcher.ask(inDomain(permit, domain), now).orElseThrow();
            boolean fails = decision.equals(new PlacementDecision.Granted("a")) && domain.equals("lisbon-a");
            advance(20);
            release(permit, fails ? PlaceOutcome.FAILED : PlaceOutcome.SERVED);
        }
        List<PlacementDecision> near = new ArrayList<>();
        List<PlacementDecision> other = new ArrayList<>();
        for (long permit = 41; permit <= 48; permit += 2) {
            near.add(dispatcher.ask(inDomain(permit, "lisbon-a"), now).orElseThrow());
            other.add(dispatcher.ask(inDomain(permit + 1, "lisbon-b"), now).orElseThrow());
        }
        assertThat(near, everyItem(equalTo(new PlacementDecision.Granted("b"))));
        assertThat(other, hasItem(new PlacementDecision.Granted("a")));
    }

    /** One of two targets takes five times as long; at half load it gets a small fraction of the requests. */
    @Test
    void sendsLittleToASlowTarget() {
        dispatcher.targets(List.of(target("slow", 8, 0), target("fast", 8, 0)), service -> 0, now);
        Map<Long, Long> ends = new HashMap<>();
        int slow = 0;
        for (long permit = 1; permit <= 400; permit++) {
            advance(50);
            for (Map.Entry<Long, Long> end : new TreeMap<>(ends).entrySet()) {
                if (end.getValue() <= now) {
                    release(end.getKey(), PlaceOutcome.SERVED);
                    ends.remove(end.getKey());
                }
            }
            boolean isSlow = target(permit).equals("slow");
            slow += isSlow ? 1 : 0;
            ends.put(permit, now + TimeUnit.MILLISECONDS.toNanos(isSlow ? 1_000 : 200));
        }
        assertThat(slow, is(lessThanOrEqualTo(400 / 5)));
    }

    /**
     * Simulates twice as many callers as the targets can serve, for eight seconds, and counts those that get a place on
     * time. Callers that are refused come back once, at the time that they were told.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void servesMostPlacesOnTimeUnderOverload(long seed) {
        Random random = new Random(seed);
        dispatcher = dispatcher();
        dispatcher.targets(List.of(target("a", 8, 0), target("b", 8, 0)), service -> 0, now);
        Map<Long, Long> arrived = new HashMap<>();
        Map<Long, Long> ends = new HashMap<>();
        Map<Long, Long> returns = new HashMap<>();
        int onTime = 0;
        int unanswered = 0;
        for (int millis = 0; millis < 8_000; millis++) {
            advance(1);
            ends.entrySet().removeIf(end -> {
                if (end.getValue() <= now) {
                    release(end.getKey(), PlaceOutcome.SERVED);
                }
                return end.getValue() <= now;
            });
            if (random.nextInt(1_000) < 46) {
                long permit = 10_000L + millis;
                arrived.put(permit, now);
                dispatcher
                        .ask(ask(permit, false, 4_900, ""), now)
                        .ifPresent(decision -> decisions.put(permit, decision));
            }
            returns.entrySet().removeIf(comeback -> {
                boolean due = comeback.getValue() <= now;
                if (due) {
                    long permit = comeback.getKey() + 1_000_000;
                    arrived.put(permit, now);
                    dispatcher
                            .ask(returning(permit, 3_000), now)
                            .ifPresent(decision -> decisions.put(permit, decision));
                }
                return due;
            });
            dispatcher.tick(now);
            for (Map.Entry<Long, PlacementDecision> entry :
                    Map.copyOf(decisions).entrySet()) {
                long waited = now - arrived.get(entry.getKey());
                if (entry.getValue() instanceof PlacementDecision.Granted) {
                    onTime += waited <= TimeUnit.MILLISECONDS.toNanos(240) ? 1 : 0;
                    ends.put(entry.getKey(), now + TimeUnit.MILLISECONDS.toNanos(700));
                } else if (entry.getKey() < 1_000_000) {
                    returns.put(entry.getKey(), now + TimeUnit.MILLISECONDS.toNanos(1_500));
                }
            }
            decisions.clear();
            arrived.keySet().stream()
                    .filter(permit -> now - arrived.get(permit) > TimeUnit.SECONDS.toNanos(4))
                    .findFirst()
                    .ifPresent(arrived::remove);
            unanswered = Math.max(unanswered, dispatcher.waiting());
        }
        assertThat("on time of about 180 that fit", onTime, greaterThan(120));
        assertThat("the longest queue", unanswered, is(lessThanOrEqualTo(70)));
    }

    /**
     * Simulates bursts of 2.2 s with a quarter more requests than places, separated by 3 s of low load. Refused callers
     * come back once at the time that they were told. Nine of ten are on time, at once or when they come back, and at
     * most one in fifty is refused twice.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void servesNearlyAllOfABurst(long seed) {
        Random random = new Random(seed);
        dispatcher.targets(List.of(target("a", 24, 0), target("b", 24, 0)), service -> 0, now);
        Map<Long, Long> arrived = new HashMap<>();
        Map<Long, Long> ends = new HashMap<>();
        Map<Long, Long> returns = new HashMap<>();
        int asked = 0;
        int onTime = 0;
        int onTimeAgain = 0;
        int refusedTwice = 0;
        for (int millis = 0; millis < 26_000; millis++) {
            advance(1);
            ends.entrySet().removeIf(end -> {
                if (end.getValue() <= now) {
                    release(end.getKey(), PlaceOutcome.SERVED);
                }
                return end.getValue() <= now;
            });
            boolean burst = millis % 5_200 >= 3_000;
            if (random.nextInt(10_000) < (burst ? 860 : 200)) {
                asked++;
                long permit = 10_000L + millis;
                arrived.put(permit, now);
                dispatcher
                        .ask(ask(permit, false, 4_900, ""), now)
                        .ifPresent(decision -> decisions.put(permit, decision));
            }
            returns.entrySet().removeIf(comeback -> {
                boolean due = comeback.getValue() <= now;
                if (due) {
                    long permit = comeback.getKey() + 1_000_000;
                    arrived.put(permit, now);
                    dispatcher
                            .ask(returning(permit, 3_000), now)
                            .ifPresent(decision -> decisions.put(permit, decision));
                }
                return due;
            });
            dispatcher.tick(now);
            for (Map.Entry<Long, PlacementDecision> entry :
                    Map.copyOf(decisions).entrySet()) {
                boolean again = entry.getKey() >= 1_000_000;
                boolean late = now - arrived.get(entry.getKey()) > TimeUnit.MILLISECONDS.toNanos(240);
                switch (entry.getValue()) {
                    case PlacementDecision.Granted ignored -> {
                        onTime += late || again ? 0 : 1;
                        onTimeAgain += late || !again ? 0 : 1;
                        long hold = 400L + random.nextInt(600);
                        ends.put(entry.getKey(), now + TimeUnit.MILLISECONDS.toNanos(hold));
                    }
                    case PlacementDecision.Refused refused
                    when !again ->
                        returns.put(entry.getKey(), now + TimeUnit.MILLISECONDS.toNanos(refused.retryAfterMillis()));
                    case PlacementDecision.Refused ignored -> refusedTwice++;
                }
            }
            decisions.clear();
        }
        String figures = "asked " + asked + ", on time " + onTime + ", on time when they came back " + onTimeAgain
                + ", refused twice " + refusedTwice;
        assertThat(figures, 10 * (onTime + onTimeAgain), greaterThan(9 * asked));
        assertThat(figures, 50 * refusedTwice, is(lessThanOrEqualTo(asked)));
    }
}
