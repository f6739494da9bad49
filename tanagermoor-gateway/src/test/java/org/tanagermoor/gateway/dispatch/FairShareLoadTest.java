package org.tanagermoor.gateway.dispatch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.tanagermoor.gateway.fleet.FleetTeam;
import org.tanagermoor.policy.budget.RateLimit;

/** Guards against a team that takes the places of others by sending several times its usual rate. */
final class FairShareLoadTest extends DispatcherFixture {

    /** The number of teams; the rate of each is smaller than that of the one before, that of the first about a third. */
    private static final int TEAMS = 40;

    private static final int TARGETS = 20;

    /** The mean time for which a request occupies a place, in milliseconds. */
    private static final int RUN_MILLIS = 500;

    /** The requests per millisecond of all teams: 0.8 of what the places serve. */
    private static final double USUAL_PER_MILLI = 0.8 * TARGETS * 8 / RUN_MILLIS;

    /** One team sends six times its usual rate for 8 s; no other team must be served less often in time. */
    @ParameterizedTest
    @ValueSource(ints = {0, 3, 20})
    void shieldsTeamsFromOneThatSendsSixTimesItsRate(int hot) {
        for (long seed = 1; seed <= 5; seed++) {
            Result usual = simulate(seed, hot, 1, true);
            Result excess = simulate(seed, hot, 6, true);
            String figures = "seed " + seed + ": others " + usual.others(hot) + ", beside the excess "
                    + excess.others(hot) + ", worst tenth " + usual.worstTenth(hot) + " and "
                    + excess.worstTenth(hot);
            assertThat(figures, usual.others(hot) - excess.others(hot), is(lessThanOrEqualTo(0.02)));
            assertThat(figures, usual.worstTenth(hot) - excess.worstTenth(hot), is(lessThanOrEqualTo(0.02)));
        }
    }

    /** What the others leave must go to the team that asks for more; no place may stay free while a request waits. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void givesWhatIsLeftToTheTeamThatAsksForMore(long seed) {
        Result excess = simulate(seed, 0, 6, true);
        assertThat("places that were free while requests waited", excess.wasted, is(0));
        assertThat(
                excess.served.get(0),
                is(greaterThan(simulate(seed, 0, 1, true).served.get(0))));
    }

    /** A higher priority must be served first while requests wait, and a lower one not be shut out. */
    @Test
    void prefersAHigherPriorityWithoutShuttingOutALowerOne() {
        dispatcher.fairSharing(true);
        dispatcher.targets(List.of(target("a", 1, 0)), service -> 0, now);
        ask(1, false);
        for (long permit = 10; permit < 30; permit++) {
            dispatcher.ask(request(permit, "low", 2, 60_000), now);
            dispatcher.ask(request(permit + 100, "high", 0, 60_000), now);
        }
        long running = 1;
        List<String> order = new ArrayList<>();
        for (int place = 0; place < 20; place++) {
            decisions.clear();
            release(running, PlaceOutcome.SERVED);
            running = decisions.keySet().iterator().next();
            order.add(running >= 100 ? "high" : "low");
        }
        List<String> later = order.subList(10, 20);
        assertThat(order.toString(), later.stream().filter("high"::equals).count(), is(8L));
    }

    /** Simulates the load for 12 s, of which a team sends more from 2 to 10 s. */
    private Result simulate(long seed, int hot, double factor, boolean fair) {
        Random random = new Random(seed);
        dispatcher = dispatcher();
        dispatcher.fairSharing(fair);
        decisions.clear();
        double[] perMilli = new double[TEAMS];
        double sum = 0;
        for (int team = 0; team < TEAMS; team++) {
            perMilli[team] = Math.pow(team + 1, -1.2);
            sum += perMilli[team];
        }
        List<FleetTeam> teams = new ArrayList<>();
        for (int team = 0; team < TEAMS; team++) {
            perMilli[team] *= USUAL_PER_MILLI / sum;
            teams.add(new FleetTeam("team-" + team, RateLimit.of(100_000 * perMilli[team], 100_000), true));
        }
        rates.teams(teams, now);
        dispatcher.targets(
                IntStream.range(0, TARGETS)
                        .mapToObj(index -> target("t" + index, 8, 0))
                        .toList(),
                service -> 0,
                now);
        Result result = new Result();
        Map<Long, Integer> teamOf = new HashMap<>();
        Set<Long> counted = new HashSet<>();
        TreeMap<Long, List<Long>> ends = new TreeMap<>();
        long permit = 0;
        long start = now;
        for (int millis = 0; millis < 12_000; millis++) {
            now = start + TimeUnit.MILLISECONDS.toNanos(millis);
            while (!ends.isEmpty() && ends.firstKey() <= millis) {
                ends.pollFirstEntry().getValue().forEach(end -> release(end, PlaceOutcome.SERVED));
            }
            boolean inExcess = millis >= 2_000 && millis < 10_000;
            for (int team = 0; team < TEAMS; team++) {
                double rate = perMilli[team] * (team == hot && inExcess ? factor : 1);
                for (double next = -Math.log(1 - random.nextDouble());
                        next < rate;
                        next -= Math.log(1 - random.nextDouble())) {
                    permit++;
                    teamOf.put(permit, team);
                    if (inExcess) {
                        result.asked.merge(team, 1, Integer::sum);
                        counted.add(permit);
                    }
                    long asked = permit;
                    dispatcher
                            .ask(request(permit, "team-" + team, 0, 240), now)
                            .ifPresent(decision -> decisions.put(asked, decision));
                }
            }
            if (millis % 25 == 0) {
                dispatcher.tick(now);
                int running = ends.values().stream().mapToInt(List::size).sum();
                boolean idle = running < TARGETS * 8 - 1 && decisions.isEmpty();
                result.wasted += dispatcher.waiting() > 0 && idle ? 1 : 0;
            }
            for (Map.Entry<Long, PlacementDecision> entry :
                    Map.copyOf(decisions).entrySet()) {
                if (entry.getValue() instanceof PlacementDecision.Granted) {
                    if (counted.contains(entry.getKey())) {
                        result.served.merge(teamOf.get(entry.getKey()), 1, Integer::sum);
                    }
                    long end = millis + RUN_MILLIS / 2L + random.nextInt(RUN_MILLIS);
                    ends.computeIfAbsent(end, key -> new ArrayList<>()).add(entry.getKey());
                }
            }
            decisions.clear();
        }
        return result;
    }

    /** Returns the ask of a team for an online request that is on time for the given milliseconds. */
    private static Ask request(long permit, String team, int rank, long onTimeMillis) {
        Ask ask = ask("x", permit, false, 60_000, team, Set.of());
        return new Ask(
                        "x",
                        permit,
                        SERVICE,
                        team,
                        ask.domain(),
                        0,
                        ask.waitNanos(),
                        TimeUnit.MILLISECONDS.toNanos(onTimeMillis),
                        Work.NONE,
                        false,
                        false,
                        Set.of())
                .withTraits(new RequestTraits("route", 0, OptionalInt.of(rank)));
    }

    /** What the teams got during the excess. */
    private static final class Result {

        private final Map<Integer, Integer> asked = new TreeMap<>();

        private final Map<Integer, Integer> served = new TreeMap<>();

        private int wasted;

        /** Returns the share of the requests of all teams but one that was served in time. */
        private double others(int excluded) {
            return share(
                    asked.keySet().stream().filter(team -> team != excluded).toList());
        }

        /** Returns the share of the worst tenth of the teams, without one. */
        private double worstTenth(int excluded) {
            return asked.keySet().stream()
                    .filter(team -> team != excluded)
                    .mapToDouble(team -> share(List.of(team)))
                    .sorted()
                    .limit(TEAMS / 10)
                    .average()
                    .orElseThrow();
        }

        private double share(List<Integer> teams) {
            double all =
                    teams.stream().mapToInt(team -> asked.getOrDefault(team, 0)).sum();
            return teams.stream().mapToInt(team -> served.getOrDefault(team, 0)).sum() / all;
        }
    }
}
