package org.tanagermoor.gateway.dispatch;

import java.lang.management.ManagementFactory;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.tanagermoor.gateway.fleet.FleetTeam;
import org.tanagermoor.gateway.forward.TargetLoad;
import org.tanagermoor.policy.budget.RateLimit;

/**
 * Prints the processor time that the dispatcher takes for a request, its return and its part of the ticks, with 300
 * instances, 40 targets and 200 requests per second. Not part of the build; run it by its name.
 */
final class DecisionTimeMeasurement extends DispatcherFixture {

    private static final int HOLDERS = 300;

    private static final int TARGETS = 40;

    private static final int PLACES = 8;

    private static final int TEAMS = 83;

    private static final int PER_SECOND = 200;

    /** The simulated time, of which the first half warms the compiler up, in milliseconds. */
    private static final int MILLIS = 240_000;

    /** Prints the time by load relative to the places, with and without fair shares and reports of the speed. */
    @ParameterizedTest
    @CsvSource({"0.8,false,false", "0.8,true,true", "1.3,false,false", "1.3,true,true"})
    void printsTheTimeOfADecision(double load, boolean fair, boolean reports) {
        dispatcher = dispatcher();
        dispatcher.fairSharing(fair);
        rates.teams(
                IntStream.range(0, TEAMS)
                        .mapToObj(team -> new FleetTeam("team-" + team, RateLimit.of(1e6 / (team + 1), 1e6), true))
                        .toList(),
                now);
        dispatcher.targets(
                IntStream.range(0, TARGETS)
                        .mapToObj(index -> target("t" + index, PLACES, 0))
                        .toList(),
                service -> 0,
                now);
        Random random = new Random(1);
        int runMillis = (int) (load * TARGETS * PLACES / PER_SECOND * 1_000);
        List<Deque<Ask>> ends = new ArrayList<>();
        IntStream.range(0, MILLIS + 2 * runMillis).forEach(millis -> ends.add(new ArrayDeque<>()));
        List<Ask> asks = new ArrayList<>();
        Deque<Ask> granted = new ArrayDeque<>();
        onDecision = ask -> {
            if (decisions.get(ask.permit()) instanceof PlacementDecision.Granted) {
                granted.add(ask);
            }
        };
        var threads = ManagementFactory.getThreadMXBean();
        long counted = 0;
        long refused = 0;
        long spent = 0;
        for (int millis = 0; millis < MILLIS; millis++) {
            now += TimeUnit.MILLISECONDS.toNanos(1);
            asks.clear();
            if (random.nextDouble() < PER_SECOND / 1_000.0) {
                asks.add(ask(
                        "h" + random.nextInt(HOLDERS),
                        millis + 1,
                        false,
                        5_000,
                        "team-" + random.nextInt(TEAMS),
                        Set.of()));
            }
            List<RunAnswer> answers = ends.get(millis).stream()
                    .map(ask -> reports
                            ? new RunAnswer(
                                    false,
                                    TimeUnit.MILLISECONDS.toNanos(20),
                                    10,
                                    TimeUnit.MILLISECONDS.toNanos(runMillis),
                                    Optional.of(new LoadReport(new TargetLoad(1, 0, 8, 80 + random.nextInt(100)), now)))
                            : RunAnswer.NONE)
                    .toList();
            long before = threads.getCurrentThreadCpuTime();
            int answer = 0;
            for (Ask ended : ends.get(millis)) {
                dispatcher.release(ended.holder(), ended.permit(), PlaceOutcome.SERVED, answers.get(answer++), now);
            }
            for (Ask ask : asks) {
                Optional<PlacementDecision> decision = dispatcher.ask(ask, now);
                if (decision.isPresent() && decision.get() instanceof PlacementDecision.Granted) {
                    granted.add(ask);
                } else if (decision.isPresent()) {
                    refused++;
                }
            }
            if (millis % 25 == 0) {
                dispatcher.tick(now);
            }
            if (millis >= MILLIS / 2) {
                spent += threads.getCurrentThreadCpuTime() - before;
                counted += asks.size();
            }
            for (Ask ask = granted.poll(); ask != null; ask = granted.poll()) {
                ends.get(millis + runMillis / 2 + 1 + random.nextInt(runMillis)).add(ask);
            }
            decisions.clear();
            decidedPermits.clear();
        }
        System.out.printf(
                Locale.ROOT,
                "load %.1f, fair shares %s, reports %s: %.1f us per request, %d requests, %d refused at once%n",
                load,
                fair,
                reports,
                spent / 1e3 / counted,
                counted,
                refused);
    }
}
