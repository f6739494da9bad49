package org.tanagermoor.session;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.tanagermoor.cli.ExitCode;

/** Tests the withdrawal of a key while its callers are connected and receive streams. */
class WithdrawnKeyTest {

    private static final List<String> INSTANCES = List.of("e1", "e2", "e3");

    /** The maximum time that the brief allows between the acceptance of a key's withdrawal and its full effect. */
    private static final long MAX_WITHDRAWAL_NANOS = 3_000_000_000L;

    private static final int MAX_TOKENS = 1_500;

    private static final int ANSWER_COUNT = 30;

    private final Http http = new Http();

    private Fleet fleet = new Fleet();

    @AfterEach
    void close() {
        fleet.close();
    }

    @Test
    void nothingRunsAndStreamsEndOnceAKeyOfConnectedCallersIsWithdrawn() {
        fleet = Fleet.startServing("1000", "--token-millis", "20");
        String key = fleet.key();
        String otherKey = fleet.giveKey();
        fleet.await("the other key is served", () -> isServed(otherKey));
        List<CompletableFuture<EndedStream>> streams = new ArrayList<>();
        for (String name : INSTANCES) {
            streams.add(http.sendPrompt(fleet.address(name), key, "stream at " + name, MAX_TOKENS)
                    .thenApply(response -> new EndedStream(response, System.nanoTime())));
        }
        fleet.await("the streams run", () -> runningRequests() >= INSTANCES.size());
        Callers callers = Callers.start(INSTANCES.stream().map(fleet::address).toList(), 1, key);
        fleet.await("connected callers are answered", () -> callers.count() >= ANSWER_COUNT);

        assertThat(fleet.run(List.of("key", "withdraw"), key).code(), is(ExitCode.DONE));
        long acceptedAt = System.nanoTime();

        for (CompletableFuture<EndedStream> stream : streams) {
            EndedStream ended = stream.join();
            assertThat(ended.endedAt() - acceptedAt, lessThanOrEqualTo(MAX_WITHDRAWAL_NANOS));
            assertThat(ended.response().body(), containsString("\"kind\":\"unauthenticated\""));
            assertThat(ended.response().body(), containsString("\"run\":\"unknown\""));
            assertThat(ended.response().body(), not(containsString("[DONE]")));
        }
        fleet.await("no request runs at the targets", () -> runningRequests() == 0);
        assertThat(System.nanoTime() - acceptedAt, lessThanOrEqualTo(MAX_WITHDRAWAL_NANOS));
        int answersBefore = callers.count();
        fleet.await("connected callers are answered", () -> callers.count() >= answersBefore + ANSWER_COUNT);
        for (Callers.Answer answer : callers.stopAndGetServed()) {
            assertThat(answer.answeredAt() - acceptedAt, lessThanOrEqualTo(MAX_WITHDRAWAL_NANOS));
        }
        assertThat(isServed(otherKey), is(true));
    }

    private boolean isServed(String key) {
        return http.sendPromptAndWait(fleet.address("e1"), key, "other")
                .filter(response -> response.statusCode() == 200)
                .isPresent();
    }

    /** Returns the number of requests that the targets are currently running. */
    private int runningRequests() {
        int count = 0;
        for (String target : List.of("t1", "t2", "t3")) {
            for (JsonNode request : http.get(fleet.address(target), "/record").path("requests")) {
                count += request.path("state").asText().equals("running") ? 1 : 0;
            }
        }
        return count;
    }

    /** A stream that has ended, with the monotonic time of its end in nanoseconds. */
    private record EndedStream(HttpResponse<String> response, long endedAt) {}
}
