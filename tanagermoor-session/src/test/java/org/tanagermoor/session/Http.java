package org.tanagermoor.session;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.tanagermoor.http.Json;

/** An HTTP client for the endpoints of instances, stand-ins and relays. */
final class Http {

    private static final Duration TIMEOUT = Duration.ofSeconds(40);

    private static final Duration TIMEOUT_MARGIN = Duration.ofSeconds(10);

    private static final long DEADLINE_MILLIS = 30_000;

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    /** Sends a prompt with the default deadline; a refusal is also returned as a response. */
    CompletableFuture<HttpResponse<String>> sendPrompt(String instance, String key, String prompt, int maxTokens) {
        return sendPrompt(instance, key, prompt, maxTokens, DEADLINE_MILLIS);
    }

    /** Sends a prompt with a deadline in milliseconds; the response is read completely before it is returned. */
    CompletableFuture<HttpResponse<String>> sendPrompt(
            String instance, String key, String prompt, int maxTokens, long deadlineMillis) {
        String body = "{\"model\":\"" + Fleet.MODEL + "\",\"prompt\":\"" + prompt + "\",\"max_tokens\":" + maxTokens
                + ",\"stream\":true}";
        return callService(instance, key, "/v1/completions", body, deadlineMillis);
    }

    /** Calls a plain service with a deadline in milliseconds. */
    CompletableFuture<HttpResponse<String>> callService(
            String instance, String key, String path, String body, long deadlineMillis) {
        return send(post(instance, key, path, body, deadlineMillis), deadlineMillis);
    }

    /** Calls a plain service with an idempotency key that is derived from the body. */
    CompletableFuture<HttpResponse<String>> callWithIdempotencyKey(
            String instance, String key, String path, String body, long deadlineMillis) {
        HttpRequest.Builder request = post(instance, key, path, body, deadlineMillis)
                .header("idempotency-key", Integer.toHexString(body.hashCode()));
        return send(request, deadlineMillis);
    }

    private CompletableFuture<HttpResponse<String>> send(HttpRequest.Builder request, long deadlineMillis) {
        long timeoutMillis = TIMEOUT_MARGIN.plusMillis(deadlineMillis).toMillis();
        return client.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString())
                .orTimeout(timeoutMillis, TimeUnit.MILLISECONDS);
    }

    private static HttpRequest.Builder post(
            String instance, String key, String path, String body, long deadlineMillis) {
        return HttpRequest.newBuilder(URI.create("http://" + instance + path))
                .timeout(Duration.ofMillis(deadlineMillis).plus(TIMEOUT_MARGIN))
                .header("Authorization", "Bearer " + key)
                .header("x-deadline-ms", Long.toString(deadlineMillis))
                .POST(HttpRequest.BodyPublishers.ofString(body));
    }

    /** Sends a prompt and waits for the response; empty if the connection failed or timed out. */
    Optional<HttpResponse<String>> sendPromptAndWait(String instance, String key, String prompt) {
        try {
            return Optional.of(sendPrompt(instance, key, prompt, 2).join());
        } catch (java.util.concurrent.CompletionException exception) {
            return Optional.empty();
        }
    }

    JsonNode get(String address, String path) {
        return send(
                HttpRequest.newBuilder(URI.create("http://" + address + path)).GET());
    }

    void put(String address, String path, String body) {
        send(HttpRequest.newBuilder(URI.create("http://" + address + path))
                .PUT(HttpRequest.BodyPublishers.ofString(body)));
    }

    void delete(String address, String path) {
        send(HttpRequest.newBuilder(URI.create("http://" + address + path)).DELETE());
    }

    private JsonNode send(HttpRequest.Builder request) {
        try {
            HttpResponse<String> response =
                    client.send(request.timeout(TIMEOUT).build(), HttpResponse.BodyHandlers.ofString());
            if (response.statusCode() >= 300) {
                throw new IllegalStateException(response + ": " + response.body());
            }
            return response.body().isBlank()
                    ? Json.mapper().createObjectNode()
                    : Json.read("test", response.body().getBytes(StandardCharsets.UTF_8))
                            .get();
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(exception);
        }
    }
}
