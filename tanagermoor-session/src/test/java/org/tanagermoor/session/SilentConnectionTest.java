package org.tanagermoor.session;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.tanagermoor.cli.ExitCode;
import org.tanagermoor.http.Json;
import org.tanagermoor.standin.target.StandInText;

/** Tests that requests are served when open connections go silent permanently while new ones work. */
class SilentConnectionTest {

    private static final List<String> INSTANCES = List.of("e1", "e2", "e3");

    private static final List<String> TARGETS = List.of("t1", "t2", "t3");

    private static final int CALLERS_PER_INSTANCE = 4;

    private static final int ANSWER_COUNT = 40;

    private static final int MAX_TOKENS = 4;

    private static final long DEADLINE_MILLIS = 9_000;

    /** An order without an answer must not be sent again, so it waits until this deadline has passed. */
    private static final long ORDER_DEADLINE_MILLIS = 4_000;

    /** The time after which a caller abandons a silent connection. */
    private static final long CALLER_TIMEOUT_MILLIS = 3_000;

    private static final int OK = 200;

    /** The status for an answer that belongs to another request or is incomplete. */
    private static final int WRONG_ANSWER = -1;

    private final Http http = new Http();

    private final Fleet fleet = new Fleet();

    @BeforeEach
    void start() {
        fleet.platform().relayTo("platform");
        for (String target : TARGETS) {
            fleet.target(target, "--token-millis", "5", "--first-token-millis", "5")
                    .relayTo(target);
        }
        for (int index = 1; index <= 3; index++) {
            fleet.relayedInstance("e" + index, "d" + index).relay("e" + index + "/front", fleet.address("e" + index));
        }
        fleet.configureService("1000");
        fleet.runOrFail("service put orders --kind plain --not-idempotent");
        for (int index = 1; index <= 3; index++) {
            fleet.runOrFail("target put o" + index + " --service orders --domain d" + index
                    + " --capacity 16 --cold-capacity 16 --address " + fleet.reachableAddress("t" + index));
        }
        fleet.runUntil("call --service orders --body begin /begin", result -> result.code() == ExitCode.DONE);
    }

    @AfterEach
    void close() {
        fleet.close();
    }

    /** Uses one fleet for all links; their order does not matter. */
    @Test
    void servesWithinTheDeadlineWithoutCrossedOrRepeatedRequests() {
        continuesServing("between instances and platform", List.of("platform/link"));
        continuesServing("between two instances", List.of("e1/link", "e2/link", "e3/link"));
        continuesServing("between instances and targets", List.of("t1/link", "t2/link", "t3/link"));
        servesNewConnections(List.of("e1/front", "e2/front", "e3/front"));
    }

    private void continuesServing(String linkKind, List<String> links) {
        Callers prompts = Callers.start(addresses(), CALLERS_PER_INSTANCE, this::prompt);
        Callers orders = Callers.start(
                addresses(), CALLERS_PER_INSTANCE, (instance, number) -> order(linkKind, instance, number));
        awaitMoreAnswers(prompts);
        awaitMoreAnswers(orders);

        freeze(links);

        awaitMoreAnswers(prompts);
        awaitMoreAnswers(orders);
        for (Callers.Answer answer : prompts.stopAndGetAll()) {
            assertThat(linkKind + " " + answer, answer.status(), is(OK));
        }
        List<Callers.Answer> answers = orders.stopAndGetAll();
        Map<String, Integer> executions = executions();
        for (Callers.Answer answer : answers) {
            int executed = executions.getOrDefault(body(linkKind, answer.number()), 0);
            assertThat(linkKind + " " + answer, answer.status(), not(WRONG_ANSWER));
            assertThat(linkKind + " " + answer, executed, lessThanOrEqualTo(1));
            assertThat(linkKind + " " + answer, answer.status() == OK && executed == 0, is(false));
        }
    }

    private void servesNewConnections(List<String> links) {
        List<String> frontAddresses = links.stream().map(fleet::address).toList();
        Callers connected = Callers.start(
                frontAddresses,
                CALLERS_PER_INSTANCE,
                (frontAddress, number) ->
                        prompt(frontAddress, number).orTimeout(CALLER_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
        awaitMoreAnswers(connected);

        freeze(links);

        Http newClient = new Http();
        for (String frontAddress : frontAddresses) {
            HttpResponse<String> response = newClient
                    .sendPrompt(frontAddress, fleet.key(), "fresh", MAX_TOKENS, DEADLINE_MILLIS)
                    .join();
            assertThat(response.statusCode(), is(OK));
            assertThat(text(response.body()), is(StandInText.whole("fresh", MAX_TOKENS)));
        }
        for (Callers.Answer answer : connected.stopAndGetAll()) {
            assertThat(answer.toString(), answer.status() == OK || answer.status() == 0, is(true));
        }
    }

    private CompletableFuture<Integer> prompt(String instance, int number) {
        String prompt = "prompt " + number;
        return http.sendPrompt(instance, fleet.key(), prompt, MAX_TOKENS, DEADLINE_MILLIS)
                .thenApply(response -> response.statusCode() == OK
                                && !text(response.body()).equals(StandInText.whole(prompt, MAX_TOKENS))
                        ? WRONG_ANSWER
                        : response.statusCode());
    }

    private CompletableFuture<Integer> order(String linkKind, String instance, int number) {
        String body = body(linkKind, number);
        return http.callService(instance, fleet.key(), "/services/orders/take", body, ORDER_DEADLINE_MILLIS)
                .thenApply(response ->
                        response.statusCode() == OK && !response.body().contains("\"" + body + "\"")
                                ? WRONG_ANSWER
                                : response.statusCode());
    }

    private static String body(String linkKind, int number) {
        return "order " + number + " " + linkKind;
    }

    /** Returns the text of a stream, or an empty text if the stream is incomplete. */
    private static String text(String stream) {
        StringBuilder text = new StringBuilder();
        stream.lines()
                .filter(line -> line.startsWith("data: {"))
                .forEach(line -> text.append(
                        Json.read("event", line.substring("data: ".length()).getBytes(StandardCharsets.UTF_8))
                                .get()
                                .path("choices")
                                .path(0)
                                .path("text")
                                .asText()));
        return stream.contains("data: [DONE]") ? text.toString() : "";
    }

    private Map<String, Integer> executions() {
        Map<String, Integer> result = new HashMap<>();
        for (String target : TARGETS) {
            for (JsonNode request : http.get(fleet.address(target), "/record").path("requests")) {
                if (request.path("executed").asBoolean()) {
                    result.merge(request.path("body").asText(), 1, Integer::sum);
                }
            }
        }
        return result;
    }

    private void freeze(List<String> links) {
        links.forEach(link -> http.put(fleet.address(link + "/control"), "/link", "{\"action\":\"freeze\"}"));
    }

    private List<String> addresses() {
        return INSTANCES.stream().map(fleet::address).toList();
    }

    private void awaitMoreAnswers(Callers callers) {
        int answersBefore = callers.count();
        fleet.await("the callers got more answers", () -> callers.count() >= answersBefore + ANSWER_COUNT);
    }
}
