package org.tanagermoor.session;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.tanagermoor.policy.fleet.Rendezvous;

/** Tests the budget of a team while its steward, the instance that lends shares of that budget, fails. */
class StewardFaultTest {

    private static final int RATE = 20;

    private static final int CALLERS_PER_INSTANCE = 20;

    private static final int ANSWER_COUNT = 150;

    private static final int CONSECUTIVE_ANSWERS = 5;

    private final List<String> instances = new ArrayList<>(List.of("e1", "e2", "e3"));

    private final Http http = new Http();

    private final Fleet fleet = new Fleet();

    private Callers callers;

    @BeforeEach
    void start() {
        fleet.platform();
        for (int index = 1; index <= 3; index++) {
            fleet.target("t" + index).relayedInstance("e" + index, "d" + index);
        }
        fleet.configureService("1000");
        fleet.runOrFail("team put alder --rate " + RATE + " --burst " + RATE);
    }

    @AfterEach
    void close() {
        fleet.close();
    }

    /** Uses one fleet for all three faults; the kill comes last because the killed instance is not restarted. */
    @Test
    void aTeamGetsNoMoreThanRateAndBurstWhileItsStewardIsCutOffPausedAndKilled() {
        staysWithinRate("cut off", () -> {
            List.of("e1", "e2", "e3").forEach(name -> controlLink(name, "refuse"));
            awaitMoreAnswers();
            List.of("e1", "e2", "e3").forEach(name -> controlLink(name, "heal"));
        });
        staysWithinRate("paused", () -> {
            String steward = steward();
            fleet.process(steward).signal("STOP");
            fleet.excludeInstance(steward);
            instancesExcept(steward).forEach(fleet::awaitStanding);
            fleet.process(steward).signal("CONT");
            fleet.includeInstance(steward);
            instances.forEach(fleet::awaitStanding);
        });
        staysWithinRate("killed", () -> {
            String steward = steward();
            fleet.process(steward).kill();
            fleet.excludeInstance(steward);
            instances.remove(steward);
            instances.forEach(fleet::awaitStanding);
        });
    }

    private void staysWithinRate(String fault, Runnable injectFault) {
        callers = Callers.start(instances.stream().map(fleet::address).toList(), CALLERS_PER_INSTANCE, fleet.key());
        awaitMoreAnswers();
        injectFault.run();
        awaitMoreAnswers();
        List<Callers.Answer> served = callers.stopAndGetServed();

        assertThat(fault, served.size(), greaterThan(RATE));
        assertThat(fault, Callers.excess(served, RATE), lessThanOrEqualTo((double) RATE));
        for (String name : instances) {
            int[] consecutive = new int[1];
            fleet.await(name + " serves requests within the rate after " + fault, () -> {
                boolean serves = http.sendPromptAndWait(fleet.address(name), fleet.key(), "inside")
                        .filter(response -> response.statusCode() == 200)
                        .isPresent();
                consecutive[0] = serves ? consecutive[0] + 1 : 0;
                return consecutive[0] == CONSECUTIVE_ANSWERS;
            });
        }
    }

    private void awaitMoreAnswers() {
        int answersBefore = callers.count();
        fleet.await("the callers got more answers", () -> callers.count() >= answersBefore + ANSWER_COUNT);
    }

    private List<String> instancesExcept(String steward) {
        return instances.stream().filter(name -> !name.equals(steward)).toList();
    }

    /** Returns the name of the instance that lends from the larger part of the team's budget. */
    private String steward() {
        List<String> members = new ArrayList<>();
        for (JsonNode member : fleet.status(instances.get(0)).path("members")) {
            members.add(member.path("instance").asText());
        }
        String first = Rendezvous.first("team/alder", members, name -> name).orElseThrow();
        return first.substring(0, first.indexOf('~'));
    }

    private void controlLink(String name, String action) {
        http.put(fleet.address(name + "/link/control"), "/link", "{\"action\":\"" + action + "\"}");
    }
}
