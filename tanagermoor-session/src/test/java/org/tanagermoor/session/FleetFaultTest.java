package org.tanagermoor.session;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.tanagermoor.cli.ExitCode;
import org.tanagermoor.http.Json;

/** Tests the guarantees of the system under faults, planned changes and competing operators. */
class FleetFaultTest {

    private static final List<String> INSTANCES = List.of("e1", "e2", "e3");

    private static final int ITEM_COUNT = 60;

    private final Http http = new Http();

    private Fleet fleet = new Fleet();

    @AfterEach
    void close() {
        fleet.close();
    }

    @Test
    void anInstanceThatWakesServesNoWithdrawnKey() {
        fleet = Fleet.startServing("1000");
        String key = fleet.key();
        fleet.process("e3").signal("STOP");
        fleet.excludeInstance("e3");
        assertThat(fleet.run(List.of("key", "withdraw"), key).code(), is(ExitCode.DONE));

        List<CompletableFuture<HttpResponse<String>>> pendingRequests = new ArrayList<>();
        for (int index = 0; index < 50; index++) {
            pendingRequests.add(http.sendPrompt(fleet.address("e3"), key, "waits for its waking", 2));
        }

        fleet.process("e3").signal("CONT");

        for (CompletableFuture<HttpResponse<String>> request : pendingRequests) {
            assertThat(request.join().statusCode(), not(200));
            assertThat(request.join().headers().firstValue("x-tanagermoor-run").orElse(""), is("no"));
        }
        for (String name : List.of("e1", "e2")) {
            assertThat(status(name, key), is(401));
        }
        fleet.await("e3 refuses the withdrawn key", () -> status("e3", key) == 401);
    }

    @Test
    void anInstanceThatWakesAndHearsNobodySaysThatItHasNoStanding() {
        fleet = Fleet.startServing("1000");
        String key = fleet.key();
        fleet.process("e3").signal("STOP");
        fleet.excludeInstance("e3");
        assertThat(fleet.run(List.of("key", "withdraw"), key).code(), is(ExitCode.DONE));
        List.of("e1", "e2", "platform").forEach(name -> fleet.process(name).signal("STOP"));

        fleet.process("e3").signal("CONT");

        for (int attempt = 0; attempt < 20; attempt++) {
            HttpResponse<String> response =
                    http.sendPromptAndWait(fleet.address("e3"), key, "late").orElseThrow();
            assertThat(response.body(), containsString("\"kind\":\"no_standing\""));
            assertThat(response.body(), containsString("\"run\":\"no\""));
        }
    }

    @Test
    void goesOnWhileTheStoreIsDown() {
        fleet = Fleet.startServing("1000");
        http.put(fleet.address("platform"), "/faults", "{\"operation\":\"all\",\"down\":true}");
        for (String name : INSTANCES) {
            fleet.await(
                    name + " serves with a frozen view", () -> standing(name).equals("outage"));
        }

        for (String name : INSTANCES) {
            for (int attempt = 0; attempt < 10; attempt++) {
                assertThat(name, status(name, fleet.key()), is(200));
            }
        }
        assertThat(fleet.run("team put birch --rate 1 --burst 1").code(), not(ExitCode.DONE));

        http.delete(fleet.address("platform"), "/faults");
        for (String name : INSTANCES) {
            fleet.await(name + " has full standing", () -> standing(name).equals("full"));
        }
        fleet.runUntil("team put birch --rate 1 --burst 1", result -> result.code() == ExitCode.DONE);
    }

    @Test
    void aMinorityTakesNothingWhileTheStoreIsDown() {
        fleet = Fleet.startServing("1000");
        http.put(fleet.address("platform"), "/faults", "{\"operation\":\"all\",\"down\":true}");
        fleet.process("e1").kill();
        fleet.process("e2").kill();
        fleet.await("e3 has no standing", () -> standing("e3").equals("none"));

        HttpResponse<String> response = http.sendPromptAndWait(fleet.address("e3"), fleet.key(), "alone")
                .orElseThrow();

        assertThat(response.statusCode(), is(503));
        assertThat(response.body(), containsString("\"kind\":\"no_standing\""));
        assertThat(response.body(), containsString("\"run\":\"no\""));
    }

    @ParameterizedTest
    @ValueSource(strings = {"e1", "e2", "e3"})
    void everyItemHasOneOutcomeWhenAnInstanceIsKilled(String killedInstance) {
        fleet = Fleet.startServing("1000", "--token-millis", "15", "--first-token-millis", "15");
        StringBuilder items = new StringBuilder();
        for (int index = 0; index < ITEM_COUNT; index++) {
            items.append("{\"id\":\"i")
                    .append(index)
                    .append("\",\"repeatable\":")
                    .append(index % 4 != 0);
            items.append(",\"body\":{\"prompt\":\"sheet ").append(index).append(".\",\"max_tokens\":6}}\n");
        }
        Fleet.Result accepted = fleet.run(
                List.of("submit", "batch", "--job", "night", "--service", Fleet.MODEL, "-"), items.toString());
        assertThat(accepted.toString(), accepted.code(), is(ExitCode.DONE));
        fleet.await("some items were executed", () -> executions().size() > 4);

        fleet.process(killedInstance).kill();
        fleet.excludeInstance(killedInstance);
        fleet.runUntil("job status night", result -> result.out().contains("state: done"));

        List<JsonNode> results = fleet.runOrFail("job results night")
                .out()
                .lines()
                .map(line -> Json.read("result", line.getBytes(StandardCharsets.UTF_8))
                        .get())
                .toList();
        assertThat(results.size(), is(ITEM_COUNT));
        Map<String, Integer> executions = executions();
        for (int index = 0; index < ITEM_COUNT; index++) {
            JsonNode result = results.get(index);
            assertThat(result.path("id").asText(), is("i" + index));
            if (index % 4 == 0) {
                assertThat(executions.getOrDefault("sheet " + index + ".", 0), lessThanOrEqualTo(1));
            } else {
                assertThat(result.toString(), result.path("outcome").asText(), is("completed"));
            }
        }
    }

    @Test
    void aFailureDomainTakenOutGetsNothingNewAndReturns() {
        fleet = Fleet.startServing("1000");
        fleet.runOrFail("domain out d1");
        int requestsBefore = requests("t1");

        for (int attempt = 0; attempt < 30; attempt++) {
            assertThat(status(INSTANCES.get(attempt % 3), fleet.key(), "prompt " + attempt), is(200));
        }
        assertThat(requests("t1"), is(requestsBefore));
        assertThat(fleet.runOrFail("directory").out(), not(containsString(fleet.address("e1"))));

        fleet.runOrFail("domain back d1");
        int[] attempt = new int[1];
        fleet.await("t1 is used again", () -> {
            status(INSTANCES.get(attempt[0] % 3), fleet.key(), "again " + attempt[0]++);
            return requests("t1") > requestsBefore;
        });
        for (String target : List.of("t1", "t2", "t3")) {
            assertThat(http.get(fleet.address(target), "/record").toString(), not(containsString(fleet.key())));
        }
    }

    @Test
    void aPlannedStopCutsNoRequest() {
        fleet = Fleet.startServing("1000", "--token-millis", "20");
        List<CompletableFuture<HttpResponse<String>>> runningRequests = new ArrayList<>();
        int requestsBefore = requests();
        for (int index = 0; index < 8; index++) {
            runningRequests.add(http.sendPrompt(fleet.address("e1"), fleet.key(), "long " + index, 150));
        }
        fleet.await("all requests run", () -> requests() >= requestsBefore + 8);

        fleet.process("e1").terminate();

        for (CompletableFuture<HttpResponse<String>> request : runningRequests) {
            assertThat(request.join().statusCode(), is(200));
            assertThat(request.join().body(), containsString("data: [DONE]"));
        }
        fleet.excludeInstance("e1");
        assertThat(fleet.runOrFail("directory").out(), not(containsString(fleet.address("e1"))));
    }

    @Test
    void allInstancesTogetherAdmitNoMoreThanRateAndBurst() {
        fleet = Fleet.startServing("1000");
        int rate = 5;
        fleet.runOrFail("team put alder --rate " + rate + " --burst " + rate);
        long start = System.nanoTime();
        int admitted = 0;
        for (int round = 0; round < 12; round++) {
            List<CompletableFuture<HttpResponse<String>>> burst = new ArrayList<>();
            for (String name : INSTANCES) {
                for (int index = 0; index < 5; index++) {
                    burst.add(http.sendPrompt(fleet.address(name), fleet.key(), "many " + round + "-" + index, 1));
                }
            }
            for (CompletableFuture<HttpResponse<String>> request : burst) {
                int status = request.join().statusCode();
                admitted += status == 200 ? 1 : 0;
                assertThat(status == 200 || status == 429 || status == 503, is(true));
            }
        }
        double seconds = (System.nanoTime() - start) / 1e9;

        assertThat(admitted, greaterThan(0));
        assertThat((double) admitted, lessThanOrEqualTo(rate + rate * seconds));
    }

    @Test
    void ofTwoOperatorsWhoActOnTheSameVersionOneWins() {
        fleet = Fleet.startServing("1000");
        fleet.runOrFail("preset put peak");
        fleet.runOrFail("preset put maintenance");
        long version = fleet.status("e1").path("version").asLong();
        List<CompletableFuture<Fleet.Result>> activations = new ArrayList<>();
        for (String[] instanceAndPreset : new String[][] {{"e1", "peak"}, {"e2", "maintenance"}}) {
            activations.add(
                    CompletableFuture.supplyAsync(() -> fleet.run("--instances " + fleet.address(instanceAndPreset[0])
                            + " preset activate " + instanceAndPreset[1] + " --if-version " + version)));
        }
        List<Fleet.Result> results =
                activations.stream().map(CompletableFuture::join).toList();

        assertThat(
                results.toString(),
                results.stream()
                        .filter(result -> result.code() == ExitCode.DONE)
                        .count(),
                is(1L));
        assertThat(
                results.toString(),
                results.stream()
                        .filter(result -> result.err().contains("CONFLICT"))
                        .count(),
                is(1L));
    }

    private String standing(String name) {
        return fleet.status(name).path("standing").asText();
    }

    private int status(String name, String key) {
        return status(name, key, "hello");
    }

    private int status(String name, String key, String prompt) {
        return http.sendPromptAndWait(fleet.address(name), key, prompt)
                .map(HttpResponse::statusCode)
                .orElse(0);
    }

    private int requests(String target) {
        return http.get(fleet.address(target), "/record").path("requests").size();
    }

    private int requests() {
        return requests("t1") + requests("t2") + requests("t3");
    }

    /** Returns the number of executions that the targets recorded for each prompt of the batch job. */
    private Map<String, Integer> executions() {
        Map<String, Integer> result = new HashMap<>();
        for (String target : List.of("t1", "t2", "t3")) {
            for (JsonNode request : http.get(fleet.address(target), "/record").path("requests")) {
                JsonNode body = Json.read(
                                "record", request.path("body").asText().getBytes(StandardCharsets.UTF_8))
                        .getOrElse(Json.mapper().createObjectNode());
                if (request.path("executed").asBoolean()
                        && body.path("prompt").asText().startsWith("sheet")) {
                    result.merge(body.path("prompt").asText(), 1, Integer::sum);
                }
            }
        }
        return result;
    }
}
