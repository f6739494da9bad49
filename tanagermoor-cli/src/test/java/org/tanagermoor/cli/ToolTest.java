package org.tanagermoor.cli;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import com.codahale.metrics.MetricRegistry;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.tanagermoor.cli.command.ToolContext;
import org.tanagermoor.http.Digests;
import org.tanagermoor.http.HttpPlugin;
import org.tanagermoor.http.Responses;
import org.tanagermoor.kernel.event.EventLog;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.kernel.plugin.Context;
import org.tanagermoor.kernel.setting.Settings;
import org.tanagermoor.kernel.time.TimeSource;
import reactor.core.publisher.Mono;

class ToolTest {

    private final HttpPlugin server = new HttpPlugin();

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();

    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    @BeforeEach
    void start() {
        Settings settings = Settings.parse(
                        server.settings(),
                        List.of("--caller-address", "127.0.0.1:0", "--operator-key-sha256", Digests.sha256("op")),
                        Map.of())
                .get();
        server.start(
                Context.of(settings, new EventLog.Disabled(), new MetricRegistry(), TimeSource.ForSystem.INSTANCE));
        server.registerForOperators(
                "GET",
                "/operator/presets",
                (request, response) ->
                        Responses.json(response, 200, List.of(Map.of("name", "peak", "in_force", true))));
        server.registerForOperators(
                "PUT",
                "/operator/presets/{name}",
                (request, response) -> request.receive()
                        .aggregate()
                        .asString()
                        .flatMap(body ->
                                Mono.from(Responses.json(response, 200, Map.of("body", body.replace('"', '\''))))));
        server.registerForOperators(
                "POST",
                "/operator/presets/{name}/activate",
                (request, response) -> Responses.json(response, 202, Map.of("state", "recorded")));
        server.register(
                "POST",
                "/v1/completions",
                (request, response) -> response.sendString(
                        Mono.just(
                                "data: {\"choices\":[{\"text\":\"yes\"}]}\n\ndata: {\"choices\":[{\"text\":\" it is\"}]}\n\n")));
        server.register(
                "GET",
                "/rollouts",
                (request, response) -> response.sendString(Mono.just("s to v2: canary\n  evidence here: open\n")));
        server.register(
                "GET",
                "/v1/batches",
                (request, response) -> Responses.refusal(
                        response, Failure.notRun(Failure.Kind.NO_STANDING, "admission", "local", "no standing")));
    }

    @AfterEach
    void stop() {
        server.stop();
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "preset list | DONE | in_force  name | ''",
                "--json preset list | DONE | [{\"in_force\":true,\"name\":\"peak\"}] | ''",
                "--json preset put p --engine t=m:2:whole:a,b --engine u=m:1:x | DONE | "
                        + "'engines':{'t':{'adapters':['a','b'],'model':'m','role':'whole','version':'2'},"
                        + "'u':{'adapters':[],'model':'m','role':'x','version':'1'}} | ''",
                "preset activate peak | RECORDED | state: recorded | ''",
                "domain list | REFUSED | '' | run: no",
                "job list | REFUSED | '' | NO_STANDING at admission",
                "submit online --model m hello | REFUSED | yes it is | the answer ended before it was whole",
                "preset activate | USAGE | '' | Required arguments are missing",
                "key withdraw --sha256 12 | USAGE | '' | --sha256 must have 64 hexadecimal digits",
                "--instances host:80 status | USAGE | '' | does not begin with an IP number",
                "--instances 127.0.0.1:1 preset list | UNREACHABLE | '' | no connection",
                "rollouts | DONE |   s to v2: canary | ''",
                "--json rollouts | DONE | \"rollouts\":[\"s to v2: canary\",\"  evidence here: open\"]}] | ''",
                "--instances 127.0.0.1:1 rollouts | UNREACHABLE | '' | no connection",
                "dance now | USAGE | '' | no such command: dance now"
            })
    void endsWithTheDocumentedCode(String line, ExitCode code, String expectedOutput, String expectedError) {
        ExitCode result = run(line);

        assertThat(err.toString(StandardCharsets.UTF_8), containsString(expectedError));
        assertThat(out.toString(StandardCharsets.UTF_8), containsString(expectedOutput));
        assertThat(result, is(code));
    }

    private ExitCode run(String line) {
        Map<String, String> environment = new HashMap<>(Map.of(
                "TANAGERMOOR_INSTANCES",
                server.address().toString(),
                "TANAGERMOOR_OPERATOR_KEY",
                "op",
                "TANAGERMOOR_KEY",
                "key"));
        return Tool.run(
                List.of(line.split(" ")),
                new ToolContext(
                        environment,
                        new ByteArrayInputStream(new byte[0]),
                        new PrintStream(out, true, StandardCharsets.UTF_8),
                        new PrintStream(err, true, StandardCharsets.UTF_8)));
    }
}
