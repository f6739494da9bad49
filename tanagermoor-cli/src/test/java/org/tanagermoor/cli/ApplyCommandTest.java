package org.tanagermoor.cli;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import com.codahale.metrics.MetricRegistry;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.tanagermoor.cli.command.ToolContext;
import org.tanagermoor.http.Bodies;
import org.tanagermoor.http.Digests;
import org.tanagermoor.http.HttpPlugin;
import org.tanagermoor.http.Json;
import org.tanagermoor.http.Responses;
import org.tanagermoor.kernel.event.EventLog;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.kernel.plugin.Context;
import org.tanagermoor.kernel.setting.Settings;
import org.tanagermoor.kernel.time.TimeSource;

class ApplyCommandTest {

    private static final String IN_FORCE = """
            {"version":7,"preset_in_force":"ordinary",
             "presets":[{"preset":"ordinary","batch_share":1.0,"online_reserve":0.125,"rate_factor":1.0}],
             "services":[{"service":"m","kind":"model","open":false,"idempotent":true}],
             "targets":[],"teams":[{"team":"alder","rate_per_second":10.0,"burst":5.0,"weight":1.0,"keys":["k"]},
             {"team":"birch","rate_per_second":1.0,"burst":1.0,"weight":1.0,"keys":[]}]}
            """;

    private static final String DECLARED = """
            {"services":[{"service":"m"}],"presets":[{"preset":"peak","batch_share":0.3}],"preset_in_force":"peak",
             "targets":[{"target":"t1","service":"m","domain":"d1","address":"127.0.0.1:9","capacity":8}],
             "teams":[{"team":"alder","rate_per_second":20,"burst":5}]}
            """;

    private static final String AS_IN_FORCE = """
            {"services":[{"service":"m"}],"teams":[{"team":"alder","rate_per_second":10,"burst":5}]}
            """;

    private static final String DIFFERENCES = """
            action    what         fields
            create    target t1    service: m, domain: d1, address: 127.0.0.1:9, capacity: 8, cold_capacity: 1, \
            warm_up_ms: 30000, checks_fencing: false
            change    team alder   rate_per_second: 10.0 -> 20
            create    preset peak  batch_share: 0.3, online_reserve: 0.125, rate_factor: 1.0, \
            loads_per_minute: 2.0, engines: {}
            activate  preset peak  in force: ordinary -> peak
            not declared, left as it is: preset ordinary
            not declared, left as it is: team birch
            """;

    private static final int MAX_BODY_BYTES = 65_536;

    private final HttpPlugin server = new HttpPlugin();

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();

    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    private final List<String> changes = new CopyOnWriteArrayList<>();

    private final AtomicLong version = new AtomicLong(7);

    private final AtomicLong reportedVersion = new AtomicLong(7);

    private boolean changesConcurrently;

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
                "/operator/configuration",
                (request, response) -> Responses.json(response, 200, document(configuration())));
        server.registerForOperators(
                "GET", "/operator/presets", (request, response) -> Responses.json(response, 200, document(IN_FORCE)));
        for (String path : List.of("targets", "teams", "presets")) {
            register("PUT", path + "/{name}");
        }
        register("POST", "presets/{name}/activate");
    }

    @AfterEach
    void stop() {
        server.stop();
    }

    @Test
    void printsTheDifferencesAndChangesNothing() {
        assertThat(run(DECLARED, "apply", "--file", "-", "--dry-run"), is(ExitCode.DONE));

        assertThat(out.toString(StandardCharsets.UTF_8), is(DIFFERENCES));
        assertThat(changes.isEmpty(), is(true));
    }

    @Test
    void basesEachChangeOnThePreviousVersion() {
        assertThat(run(DECLARED, "apply", "--file", "-"), is(ExitCode.DONE));

        assertThat(
                changes,
                contains(
                        "/operator/targets/t1 if 7",
                        "/operator/teams/alder if 8",
                        "/operator/presets/peak if 9",
                        "/operator/presets/peak/activate if 10"));
        assertThat(out.toString(StandardCharsets.UTF_8), containsString("version: 11"));
    }

    @Test
    void appliesNothingWhereNothingDiffers() {
        assertThat(run(AS_IN_FORCE, "apply", "--file", "-"), is(ExitCode.DONE));

        assertThat(changes.isEmpty(), is(true));
        assertThat(out.toString(StandardCharsets.UTF_8), containsString("applied: 0"));
    }

    @Test
    void comparesAgainAfterAConcurrentChange() {
        version.set(8);

        assertThat(run(DECLARED, "apply", "--file", "-"), is(ExitCode.DONE));

        assertThat(changes.subList(0, 2), contains("/operator/targets/t1 if 7", "/operator/targets/t1 if 8"));
        assertThat(changes.size(), is(5));
    }

    @Test
    void failsAfterRepeatedConcurrentChanges() {
        changesConcurrently = true;

        assertThat(run(DECLARED, "apply", "--file", "-"), is(ExitCode.REFUSED));

        assertThat(err.toString(StandardCharsets.UTF_8), containsString("target t1 was not applied"));
        assertThat(changes.size(), is(5));
    }

    @Test
    void reportsAllProblemsAtOnce() {
        String wrong = """
                {"members":[],"teams":[{"team":"a","rate_per_second":0,"burst":"x","keys":[]},{"rate":1}],
                 "targets":[{"target":"t 1","service":"m","domain":"d","address":"host:1","capacity":1.5}],
                 "services":[{"service":"m","kind":"odd"},{"service":"m"}],"presets":3,"preset_in_force":1}
                """;

        assertThat(run(wrong, "apply", "--file", "-"), is(ExitCode.USAGE));

        assertThat(
                err.toString(StandardCharsets.UTF_8).lines().toList(),
                contains(
                        containsString("members is not a known field"),
                        containsString("services[0] m: kind must be model or plain"),
                        containsString("services[1] m: is declared twice"),
                        containsString("targets[0] t 1: capacity must be a whole number"),
                        containsString("targets[0] t 1: address does not begin with an IP number"),
                        containsString("targets[0] t 1: target must be a name"),
                        containsString("teams[0] a: burst must be a number"),
                        containsString("teams[0] a: keys is not a known field"),
                        containsString("teams[0] a: rate_per_second must be above 0"),
                        containsString("teams[1]: team must be a text"),
                        containsString("presets must be a list"),
                        containsString("preset_in_force must be a text")));
        assertThat(changes.isEmpty(), is(true));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "apply --file - | {\"preset_in_force\":\"x\"} | REFUSED | '' | there is no preset x",
                "apply --file - | [] | USAGE | '' | must hold a JSON object",
                "apply --file - | {{ | USAGE | '' | -:",
                "apply --file /nowhere/f | {} | USAGE | '' | cannot read /nowhere/f",
                "--json apply --file - --dry-run | {} | DONE | \"differences\":[] | ''",
                "preset show ordinary | '' | DONE | in_force: true | ''",
                "preset show none | '' | REFUSED | '' | there is no preset none"
            })
    void endsWithTheDocumentedCode(
            String line, String input, ExitCode code, String expectedOutput, String expectedError) {
        ExitCode result = run(input, line.split(" "));

        assertThat(err.toString(StandardCharsets.UTF_8), containsString(expectedError));
        assertThat(out.toString(StandardCharsets.UTF_8), containsString(expectedOutput));
        assertThat(result, is(code));
    }

    private void register(String method, String path) {
        server.registerForOperators(
                method,
                "/operator/" + path,
                (request, response) -> Bodies.read(request, MAX_BODY_BYTES).flatMap(body -> {
                    String base = request.requestHeaders().get("if-match");
                    changes.add(request.uri() + " if " + base);
                    if (changesConcurrently) {
                        version.incrementAndGet();
                    }
                    return Long.toString(version.get()).equals(base)
                            ? Responses.json(
                                    response, 200, Map.of("state", "accepted", "version", version.incrementAndGet()))
                            : Responses.refusal(
                                    response, Failure.notRun(Failure.Kind.CONFLICT, "ledger", "local", "version 8"));
                }));
    }

    private String configuration() {
        return IN_FORCE.replace("version\":7", "version\":" + reportedVersion.getAndSet(version.get()));
    }

    private static Object document(String text) {
        return Json.read("test", text.getBytes(StandardCharsets.UTF_8)).get();
    }

    private ExitCode run(String input, String... arguments) {
        Map<String, String> environment =
                Map.of("TANAGERMOOR_INSTANCES", server.address().toString(), "TANAGERMOOR_OPERATOR_KEY", "op");
        return Tool.run(
                List.of(arguments),
                new ToolContext(
                        environment,
                        new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)),
                        new PrintStream(out, true, StandardCharsets.UTF_8),
                        new PrintStream(err, true, StandardCharsets.UTF_8)));
    }
}
