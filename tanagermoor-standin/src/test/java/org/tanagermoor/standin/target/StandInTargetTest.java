package org.tanagermoor.standin.target;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

@Timeout(60)
class StandInTargetTest {

    private final HttpClient client = HttpClient.newHttpClient();
    private StandInTarget target;

    @AfterEach
    void stop() {
        target.close();
    }

    @ParameterizedTest
    @CsvSource({"true, 409", "false, 200"})
    void refusesOldFencingNumbersIfItChecksThem(boolean checks, int expected) throws Exception {
        start("--checks-fencing=" + checks);
        assertThat(
                send("POST", "/orders", "{\"fence\":2,\"order\":\"load\",\"model\":\"a\"}")
                        .statusCode(),
                is(200));
        assertThat(
                send("POST", "/orders", "{\"fence\":1,\"order\":\"load\",\"model\":\"a\"}")
                        .statusCode(),
                is(expected));
        assertThat(
                send("POST", "/orders", "{\"fence\":2,\"order\":\"load\",\"model\":\"a\"}")
                        .statusCode(),
                is(200));
    }

    /** Polls of another process, to a port that was used again, counted as executions and took faults. */
    @ParameterizedTest
    @CsvSource({
        "a~1, a~1-7, GET, '', 200, 1",
        "'', '', GET, '', 200, 1",
        "a~1, '', GET, '', 421, 0",
        "a~1, '', POST, work, 421, 0",
        "a~1, b~1-7, GET, '', 421, 0",
        "a~1, b~1-7, POST, work, 421, 0"
    })
    void runsOnlyRequestsOfItsCaller(String caller, String id, String method, String body, int expected, int recorded)
            throws Exception {
        start("--caller=" + caller);
        target.faults()
                .replace(List.of(Fault.of(Fault.Kind.LATE, Fault.Stage.RECEIVED).withDelayMillis(1)));
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://" + target.address() + "/health"))
                .method(method, HttpRequest.BodyPublishers.ofString(body));
        HttpRequest sent = id.isEmpty()
                ? request.build()
                : request.header("x-request-id", id).build();
        int status = client.send(sent, HttpResponse.BodyHandlers.ofString()).statusCode();
        assertThat(status, is(expected));
        assertThat(target.log().entries().size(), is(recorded));
        assertThat(target.faults().takeForRequest().isPresent(), is(recorded == 0));
    }

    @Test
    void refusesWhatDoesNotFitAndSaysSo() throws Exception {
        start("--capacity=1", "--first-token-millis=600000");
        CompletableFuture<HttpResponse<String>> running = sendAsync("running");
        CompletableFuture<HttpResponse<String>> waiting = sendAsync("waiting");
        HttpResponse<String> refused = CompletableFuture.anyOf(running, waiting, sendAsync("refused"))
                .thenApply(StandInTargetTest::response)
                .get();
        assertThat(refused.statusCode(), is(503));
        assertThat(refused.headers().firstValue("x-run").orElse(""), is("no"));
        assertThat(send("GET", "/load", "").body(), containsString("\"running\":1,\"waiting\":1"));
    }

    @Test
    void fallsOverWhenItGetsMoreThanItBearsWhileCold() throws Exception {
        start("--capacity=8", "--cold-capacity=2", "--warm-up-millis=3600000", "--first-token-millis=600000");
        String before = send("GET", "/load", "").body();
        List<CompletableFuture<HttpResponse<String>>> sent = new ArrayList<>();
        for (int request = 0; request < 3; request++) {
            sent.add(sendAsync("r" + request));
        }
        for (CompletableFuture<HttpResponse<String>> future : sent) {
            assertThat(outcome(future), containsString("IOException"));
        }
        assertThat(target.log().falls(), is(1));
        assertThat(send("GET", "/load", "").body(), not(is(before)));
    }

    @Test
    void recordsCancelledAndResumedStreams() throws Exception {
        start("--token-millis=600000");
        CompletableFuture<HttpResponse<String>> stream = sendAsync("one");
        CompletableFuture<HttpResponse<String>> other = sendAsync("two");
        target.log().awaitEntries(2);
        send("DELETE", "/v1/completions/one", "");
        assertThat(
                target.log().entries().stream()
                        .filter(entry -> entry.id().equals("one"))
                        .findFirst()
                        .orElseThrow()
                        .ended()
                        .get(),
                is(ExecutionLog.State.CANCELLED));
        assertThat(outcome(stream), containsString("IOException"));
        assertThat(other.isDone(), is(false));
        assertThat(send("GET", "/v1/completions/none?from=1", "").statusCode(), is(404));
    }

    private void start(String... flags) {
        target = StandInTarget.start(
                TargetOptions.parse(List.of(flags), Map.of()).get());
    }

    private HttpResponse<String> send(String method, String path, String body)
            throws IOException, InterruptedException {
        return client.send(request(method, path, "control", body), HttpResponse.BodyHandlers.ofString());
    }

    private CompletableFuture<HttpResponse<String>> sendAsync(String id) {
        String body = "{\"model\":\"assistant\",\"prompt\":\"a\",\"max_tokens\":4,\"stream\":true}";
        return client.sendAsync(request("POST", "/v1/completions", id, body), HttpResponse.BodyHandlers.ofString());
    }

    private HttpRequest request(String method, String path, String id, String body) {
        return HttpRequest.newBuilder(URI.create("http://" + target.address() + path))
                .timeout(Duration.ofSeconds(30))
                .header("x-request-id", id)
                .method(method, HttpRequest.BodyPublishers.ofString(body))
                .build();
    }

    @SuppressWarnings("unchecked")
    private static HttpResponse<String> response(Object response) {
        return (HttpResponse<String>) response;
    }

    private static String outcome(CompletableFuture<HttpResponse<String>> future) throws InterruptedException {
        try {
            return String.valueOf(future.get().statusCode());
        } catch (ExecutionException exception) {
            return String.valueOf(exception.getCause());
        }
    }
}
