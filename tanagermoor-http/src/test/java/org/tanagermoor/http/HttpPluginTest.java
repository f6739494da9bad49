package org.tanagermoor.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.tanagermoor.kernel.event.EventLog;
import org.tanagermoor.kernel.plugin.Context;
import org.tanagermoor.kernel.setting.Settings;
import org.tanagermoor.kernel.time.TimeSource;

class HttpPluginTest {

    private static final int BODY_LIMIT = 8;

    private final HttpPlugin plugin = new HttpPlugin();

    private final HttpClient client = HttpClient.newHttpClient();

    @BeforeEach
    void start() {
        Settings settings = Settings.parse(
                        plugin.settings(),
                        List.of("--caller-address", "127.0.0.1:0", "--operator-key-sha256", Digests.sha256("secret")),
                        Map.of())
                .get();
        plugin.start(
                Context.of(settings, new EventLog.Disabled(), new MetricRegistry(), TimeSource.ForSystem.INSTANCE));
        plugin.register(
                "GET",
                "/things/{name}/{rest:.*}",
                (request, response) -> Responses.json(
                        response, 200, Map.of("name", request.param("name"), "rest", request.param("rest"))));
        plugin.register(
                "POST",
                "/things",
                (request, response) -> Bodies.readJson(request, BODY_LIMIT)
                        .flatMap(body -> body.fold(
                                failure -> Responses.refusal(response, failure),
                                node -> Responses.json(response, 200, node))));
        plugin.registerForOperators(
                "GET", "/operator/secret", (request, response) -> Responses.json(response, 200, Map.of("open", true)));
    }

    @AfterEach
    void stop() {
        plugin.stop();
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "/things/a%20b/c/d | 200 | {\"name\":\"a b\",\"rest\":\"c/d\"}",
                "/things/a/?x=1 | 200 | {\"name\":\"a\",\"rest\":\"\"}",
                "/nothing | 404 | no such path",
                "/things | 404 | the method is not allowed here",
                "/operator/secret | 401 | the operators' key is needed"
            })
    void routesRequestsByPathAndMethod(String path, int status, String body) throws Exception {
        HttpResponse<String> response = send(request(path).build());

        assertThat(response.statusCode(), is(status));
        assertThat(response.body(), containsString(body));
    }

    @ParameterizedTest
    @CsvSource({"Bearer secret, 200", "bearer secret, 200", "Bearer wrong, 401", "Bearer, 401", "Basic secret, 401"})
    void operatorEndpointsRequireTheOperatorsKey(String authorization, int status) throws Exception {
        HttpResponse<String> response = send(request("/operator/secret")
                .header("Authorization", authorization)
                .build());

        assertThat(response.statusCode(), is(status));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "{\"a\":1} | 200 | {\"a\":1}",
                "{\"a\":1}x | 400 | invalid",
                "'' | 400 | the body is empty",
                "[1,2,3,4,5] | 413 | too_large"
            })
    void readsBodiesUpToTheLimit(String requestBody, int status, String answer) throws Exception {
        HttpResponse<String> response = send(request("/things")
                .POST(HttpRequest.BodyPublishers.ofString(requestBody))
                .build());

        assertThat(response.statusCode(), is(status));
        assertThat(response.body(), containsString(answer));
    }

    @Test
    void refusalsReportThatNothingWasRun() throws Exception {
        HttpResponse<String> response = send(request("/nothing").build());

        assertThat(response.headers().firstValue(Responses.RUN_HEADER).orElse(""), is("no"));
        assertThat(response.body(), containsString("\"run\":\"no\""));
    }

    private HttpRequest.Builder request(String path) {
        return HttpRequest.newBuilder(URI.create("http://" + plugin.address() + path));
    }

    private HttpResponse<String> send(HttpRequest request) throws IOException, InterruptedException {
        return client.send(request, HttpResponse.BodyHandlers.ofString());
    }
}
