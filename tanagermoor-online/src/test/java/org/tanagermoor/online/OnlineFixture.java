package org.tanagermoor.online;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.tanagermoor.budget.Budgets;
import org.tanagermoor.http.Digests;
import org.tanagermoor.http.HttpEndpoints;
import org.tanagermoor.http.HttpPlugin;
import org.tanagermoor.http.Json;
import org.tanagermoor.kernel.event.EventLog;
import org.tanagermoor.kernel.plugin.Context;
import org.tanagermoor.kernel.setting.Address;
import org.tanagermoor.kernel.setting.Setting;
import org.tanagermoor.kernel.setting.Settings;
import org.tanagermoor.kernel.time.TimeSource;
import org.tanagermoor.membership.Membership;
import org.tanagermoor.policy.configuration.Configuration;
import org.tanagermoor.policy.configuration.KeyGrant;
import org.tanagermoor.policy.configuration.Service;
import org.tanagermoor.policy.configuration.Target;
import org.tanagermoor.policy.configuration.Team;
import org.tanagermoor.policy.fleet.FailureDomain;
import org.tanagermoor.policy.fleet.ServiceName;
import org.tanagermoor.policy.fleet.TargetId;
import org.tanagermoor.policy.fleet.TeamId;
import org.tanagermoor.policy.fleet.View;
import org.tanagermoor.standin.target.StandInTarget;
import org.tanagermoor.standin.target.TargetOptions;
import org.tanagermoor.store.table.TableService;
import org.tanagermoor.target.client.HttpTargetClient;
import org.tanagermoor.target.client.TargetClient;
import org.tanagermoor.target.lease.Targets;

/** An instance with the real HTTP server and client, stand-in targets, and fakes for all other services. */
final class OnlineFixture implements AutoCloseable {

    static final String KEY = "key-of-alder";
    static final TeamId ALDER = TeamId.of("alder");
    static final Duration LIMIT = Duration.ofSeconds(30);

    final FakeMembership membership;
    final FakeBudgets budgets = new FakeBudgets();
    final FakeTargets targets = new FakeTargets();
    final List<StandInTarget> standIns = new ArrayList<>();
    final OnlinePlugin plugin = new OnlinePlugin();
    final EventLog events;
    private final HttpPlugin http = new HttpPlugin();
    private final HttpClient client = HttpClient.newHttpClient();

    OnlineFixture(TableService table, String... flags) {
        this("entry", table, flags);
    }

    OnlineFixture(String name, TableService table, String... flags) {
        membership = new FakeMembership(name);
        List<Setting<?>> known = new ArrayList<>(http.settings());
        known.addAll(plugin.settings());
        List<String> arguments = new ArrayList<>(List.of(
                "--caller-address=127.0.0.1:0",
                "--operator-key-sha256=" + Digests.sha256("operator"),
                "--directory-ttl-millis=0"));
        arguments.addAll(List.of(flags));
        Settings settings = Settings.parse(known, arguments, Map.of()).get();
        events = EventLog.Default.of(name, TimeSource.ForSystem.INSTANCE);
        Context context = Context.of(settings, events, new MetricRegistry(), TimeSource.ForSystem.INSTANCE);
        membership.adopt(ignored -> configuration());
        context.register(Membership.class, membership);
        context.register(Budgets.class, budgets);
        context.register(Targets.class, targets);
        context.register(TargetClient.class, HttpTargetClient.of(context));
        context.register(TableService.class, table);
        http.start(context);
        plugin.start(context);
    }

    private Configuration configuration() {
        Configuration empty = Configuration.EMPTY;
        return new Configuration(
                1,
                "change",
                empty.presetInForce(),
                empty.presets(),
                io.vavr.collection.HashMap.of(ALDER, Team.of(ALDER, 10, 10, 1)),
                io.vavr.collection.HashMap.of(Digests.sha256(KEY), KeyGrant.of(Digests.sha256(KEY), ALDER)),
                services(),
                empty.targets(),
                empty.domainsOut(),
                View.of(1, List.of(membership.self())));
    }

    private static io.vavr.collection.Map<ServiceName, Service> services() {
        return io.vavr.collection.List.of(
                        Service.of(ServiceName.of("assistant"), Service.Kind.MODEL, false, true),
                        Service.of(ServiceName.of("drafts"), Service.Kind.MODEL, false, false),
                        Service.of(ServiceName.of("stock"), Service.Kind.PLAIN, false, true),
                        Service.of(ServiceName.of("invoices"), Service.Kind.PLAIN, false, false),
                        Service.of(ServiceName.of("hours"), Service.Kind.PLAIN, true, true))
                .toMap(Service::name, service -> service);
    }

    static Configuration withoutKeys(Configuration old) {
        return new Configuration(
                old.version() + 1,
                "withdraw",
                old.presetInForce(),
                old.presets(),
                old.teams(),
                io.vavr.collection.HashMap.empty(),
                old.services(),
                old.targets(),
                old.domainsOut(),
                old.view());
    }

    StandInTarget addTarget(String model, String... flags) {
        List<String> arguments = new ArrayList<>(List.of("--model=" + model));
        arguments.addAll(List.of(flags));
        StandInTarget standIn =
                StandInTarget.start(TargetOptions.parse(arguments, Map.of()).get());
        standIns.add(standIn);
        addTarget(standIn.address());
        return standIn;
    }

    void addTarget(Address address) {
        int number = targets.targets.size();
        for (Service service : services().values()) {
            targets.targets.add(new Target(
                    TargetId.of(service.name() + "-" + number),
                    service.name(),
                    FailureDomain.of("a"),
                    address,
                    32,
                    4,
                    0,
                    true));
        }
    }

    HttpEndpoints endpoints() {
        return http;
    }

    long executions() {
        return standIns.stream()
                .flatMap(standIn -> standIn.log().entries().stream())
                .filter(entry -> entry.executed())
                .count();
    }

    HttpRequest.Builder request(String path) {
        return HttpRequest.newBuilder(URI.create("http://" + http.address() + path))
                .timeout(LIMIT)
                .header("authorization", "Bearer " + KEY);
    }

    HttpRequest completion(String model, boolean stream, int tokens, String... headers) {
        String body = "{\"model\":\"" + model + "\",\"prompt\":\"a pole\",\"max_tokens\":" + tokens + ",\"stream\":"
                + stream + "}";
        HttpRequest.Builder builder = request("/v1/completions").POST(HttpRequest.BodyPublishers.ofString(body));
        return headers.length == 0 ? builder.build() : builder.headers(headers).build();
    }

    HttpRequest call(String service, String path, String... headers) {
        HttpRequest.Builder builder =
                request("/services/" + service + path).POST(HttpRequest.BodyPublishers.ofString("body"));
        return headers.length == 0 ? builder.build() : builder.headers(headers).build();
    }

    Answer send(HttpRequest request) throws IOException, InterruptedException {
        HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
        return new Answer(
                response.statusCode(),
                response.headers().firstValue("x-tanagermoor-run").orElse(""),
                response.body());
    }

    HttpClient client() {
        return client;
    }

    Address address() {
        return http.address();
    }

    @Override
    public void close() {
        plugin.stop();
        http.stop();
        standIns.forEach(StandInTarget::close);
    }

    record Answer(int status, String run, String body) {

        JsonNode error() {
            return Json.read("test", body.getBytes(java.nio.charset.StandardCharsets.UTF_8))
                    .get()
                    .path("error");
        }
    }
}
