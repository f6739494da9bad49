package org.tanagermoor.policy.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.tanagermoor.policy.fleet.TeamId;

class TeamSharesTest {

    private static TeamShares.Candidate job(String team, double weight, String job, long due, long work) {
        return new TeamShares.Candidate(job, TeamId.of(team), weight, due, work);
    }

    @ParameterizedTest
    @CsvSource({"1, 1, 0.5", "3, 1, 0.75", "1, 4, 0.2"})
    void lendsInProportionToTheWeights(double first, double second, double share) {
        List<TeamShares.Candidate> jobs = List.of(job("alder", first, "a", 10, 0), job("birch", second, "b", 5, 0));
        TeamShares shares = TeamShares.NONE;
        Map<String, Integer> lent = new HashMap<>();
        for (int count = 0; count < 1_000; count++) {
            TeamShares.Candidate chosen = shares.choose(jobs, 0).orElseThrow();
            shares = shares.lent(chosen, 8);
            lent.merge(chosen.job(), 1, Integer::sum);
        }
        assertThat(lent.get("a") / 1_000.0, closeTo(share, 0.01));
    }

    @ParameterizedTest
    @CsvSource({"100, 0, 200, 0, first", "200, 0, 100, 0, second", "100, 10, 150, 90, second", "100, 0, 100, 0, first"})
    void choosesTheLeastSlackWithinATeam(long due, long work, long otherDue, long otherWork, String chosen) {
        List<TeamShares.Candidate> jobs = new ArrayList<>(
                List.of(job("alder", 1, "first", due, work), job("alder", 1, "second", otherDue, otherWork)));
        assertThat(TeamShares.NONE.choose(jobs, 0).orElseThrow().job(), is(chosen));
    }

    /**
     * Guards against an overload that makes all jobs late. Jobs of 10 to 30 s of work arrive, each due 60 s after its
     * arrival; one worker runs them in chunks of 2 s. A third more jobs arrive than it can run. Three of four of the
     * jobs that fit must be completed in time.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void completesMostFeasibleJobsInTimeUnderOverload(long seed) {
        Random random = new Random(seed);
        List<TeamShares.Candidate> open = new ArrayList<>();
        TeamShares shares = TeamShares.NONE;
        int jobs = 150;
        int arrived = 0;
        int inTime = 0;
        long arrival = 0;
        long worked = 0;
        for (long now = 0; now < jobs * 15_000L; now += 2_000) {
            for (; arrived < jobs && arrival <= now; arrival += 15_000, arrived++) {
                open.add(job("alder", 1, "job-" + arrived, arrival + 60_000, 10_000 + random.nextInt(11) * 2_000));
            }
            TeamShares.Candidate chosen = shares.choose(open, now).orElse(null);
            if (chosen != null) {
                open.remove(chosen);
                worked += 2_000;
                if (chosen.workMillis() > 2_000) {
                    open.add(job("alder", 1, chosen.job(), chosen.dueMillis(), chosen.workMillis() - 2_000));
                } else if (now + 2_000 <= chosen.dueMillis()) {
                    inTime++;
                }
            }
        }
        long fits = worked / 20_000;
        assertThat(inTime + " in time of " + fits + " that fit", 4L * inTime, greaterThan(3 * fits));
    }

    @ParameterizedTest
    @CsvSource({"-1, 50, 100, 20, second", "90, 100, 100, 20, second", "-1, 50, -1, 20, second", "-1, 20, -1, 20, first"
    })
    void choosesJobsThatCanBeCompletedInTimeFirst(long due, long work, long otherDue, long otherWork, String chosen) {
        List<TeamShares.Candidate> jobs =
                List.of(job("alder", 1, "first", due, work), job("alder", 1, "second", otherDue, otherWork));
        assertThat(TeamShares.NONE.choose(jobs, 0).orElseThrow().job(), is(chosen));
    }

    @Test
    void doesNotLetATeamThatWasIdleCatchUp() {
        TeamShares.Candidate busy = job("alder", 1, "a", 0, 0);
        TeamShares.Candidate idle = job("birch", 1, "b", 0, 0);
        TeamShares shares = TeamShares.NONE;
        for (int count = 0; count < 100; count++) {
            shares = shares.lent(shares.choose(List.of(busy), 0).orElseThrow(), 1);
        }
        int first = 0;
        for (int count = 0; count < 10; count++) {
            TeamShares.Candidate chosen = shares.choose(List.of(busy, idle), 0).orElseThrow();
            first += chosen.equals(idle) ? 1 : 0;
            shares = shares.lent(chosen, 1);
        }
        assertThat(first, is(5));
    }
}
