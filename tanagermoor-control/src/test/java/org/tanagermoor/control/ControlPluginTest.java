package org.tanagermoor.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.tanagermoor.http.Digests;
import org.tanagermoor.http.HttpPlugin;
import org.tanagermoor.http.Json;
import org.tanagermoor.kernel.event.EventLog;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.kernel.plugin.Context;
import org.tanagermoor.kernel.setting.Address;
import org.tanagermoor.kernel.setting.Settings;
import org.tanagermoor.kernel.time.TimeSource;
import org.tanagermoor.membership.Changes;
import org.tanagermoor.membership.Membership;
import org.tanagermoor.policy.configuration.Change;
import org.tanagermoor.policy.configuration.Configuration;
import org.tanagermoor.policy.fleet.FailureDomain;
import org.tanagermoor.policy.fleet.InstanceId;
import org.tanagermoor.policy.fleet.Member;
import org.tanagermoor.policy.standing.Standing;
import reactor.core.publisher.Mono;

class ControlPluginTest implements Membership, Changes {

    private final HttpPlugin http = new HttpPlugin();

    private final HttpClient client = HttpClient.newHttpClient();

    private Configuration configuration = Configuration.EMPTY;

    private boolean accepts = true;

    @BeforeEach
    void start() {
        List<String> flags = List.of("--caller-address", "127.0.0.1:0", "--operator-key-sha256", Digests.sha256("k"));
        Settings settings = Settings.parse(http.settings(), flags, Map.of()).get();
        Context context =
                Context.of(settings, new EventLog.Disabled(), new MetricRegistry(), TimeSource.ForSystem.INSTANCE);
        http.start(context);
        context.register(Membership.class, this);
        context.register(Changes.class, this);
        new ControlPlugin().start(context);
    }

    @AfterEach
    void stop() {
        http.stop();
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "PUT | presets/peak | {'batch_share':0.5,'online_reserve':0.2,'rate_factor':2} | 200",
                "PUT | presets/night | {'batch_share':1,'online_reserve':0,'rate_factor':1,'loads_per_minute':4,"
                        + "'engines':{'t':{'model':'m','version':'2','role':'whole','adapters':['a']}}} | 200",
                "POST | presets/ordinary/activate | | 200",
                "POST | presets/none/activate | | 404",
                "POST | domains/lisbon-1/out | | 200",
                "POST | domains/lisbon-1/back | | 200",
                "PUT | teams/oak | {'rate_per_second':5,'burst':9,'weight':1} | 200",
                "POST | teams/none/keys | {'sha256':'KEY'} | 404",
                "DELETE | keys/none | | 404",
                "PUT | services/chat | {'kind':'model','open':false,'idempotent':true} | 200",
                "DELETE | services/none | | 404",
                "PUT | targets/t | {'service':'none','domain':'d','address':'127.0.0.1:9','capacity':4} | 404",
                "DELETE | targets/none | | 404",
                "DELETE | teams/none | | 404"
            })
    void answersEachChange(String method, String path, String body, int status) throws Exception {
        String text = body == null ? "" : body.replace('\'', '"').replace("KEY", "a".repeat(64));

        assertThat(call(method, path, text).statusCode(), is(status));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "presets/p | {'batch_share':2,'rate_factor':'x','colour':1} | online_reserve must be a number; "
                        + "rate_factor must be a number; colour is not a known field; batch_share must be from 0 to 1",
                "presets/p | {'batch_share':1,'online_reserve':0,'rate_factor':1,'engines':"
                        + "{'t':{'model':'m','version':2,'role':'r','x':1}}} | "
                        + "engines.t version must be a text; engines.t x is not a known field",
                "services/s | {'kind':'other','open':3} | kind must be model or plain; open must be true or false",
                "targets/t | {'service':'s','domain':'','address':'host:1','capacity':0.5} | capacity must be a whole "
                        + "number; address does not begin with an IP number: host:1; "
                        + "domain must be a name of 1 to 64 letters, digits, dots, dashes and underscores",
                "teams/t | [] | the body must be a JSON object; rate_per_second must be a number; "
                        + "burst must be a number; weight must be a number"
            })
    void reportsAllInvalidFieldsTogether(String path, String body, String message) throws Exception {
        HttpResponse<byte[]> response = call("PUT", path, body.replace('\'', '"'));

        assertThat(response.statusCode(), is(400));
        assertThat(json(response).at("/error/message").asText(), is(message));
    }

    @Test
    void distinguishesAcceptedFromRecordedChanges() throws Exception {
        accepts = false;
        HttpResponse<byte[]> recorded = call("POST", "domains/d/out", "", "x-change-id", "one");
        accepts = true;
        HttpResponse<byte[]> accepted = call("GET", "changes/one", "");

        assertThat(recorded.statusCode(), is(202));
        assertThat(json(recorded).toString(), is("{\"state\":\"recorded\",\"version\":1,\"change\":\"one\"}"));
        assertThat(accepted.statusCode(), is(200));
        assertThat(json(accepted).toString(), is("{\"state\":\"accepted\",\"version\":1,\"change\":\"one\"}"));
        assertThat(call("GET", "changes/two", "").statusCode(), is(404));
    }

    @ParameterizedTest
    @CsvSource({"if-match, 7, 409", "if-match, 0, 200", "if-match, x, 400", "x-change-id, a/b, 400"})
    void checksTheHeaders(String name, String value, int status) throws Exception {
        HttpResponse<byte[]> response = call("POST", "domains/d/out", "", name, value);

        assertThat(response.statusCode(), is(status));
    }

    @Test
    void returnsTheAdoptedConfiguration() throws Exception {
        call("PUT", "teams/oak", "{\"rate_per_second\":5,\"burst\":9,\"weight\":1}");
        call("POST", "teams/oak/keys", "{\"sha256\":\"" + "a".repeat(64) + "\"}");
        JsonNode adopted = json(call("GET", "configuration", ""));

        assertThat(adopted.get("version").asLong(), is(2L));
        assertThat(adopted.at("/teams/0/keys/0").asText(), is("a".repeat(64)));
        assertThat(adopted.get("preset_in_force").asText(), is("ordinary"));
    }

    private HttpResponse<byte[]> call(String method, String path, String body, String... headers) throws Exception {
        HttpRequest.Builder request = HttpRequest.newBuilder(
                        URI.create("http://" + http.address() + "/operator/" + path))
                .header("authorization", "Bearer k")
                .method(method, HttpRequest.BodyPublishers.ofString(body));
        return client.send(
                (headers.length > 0 ? request.headers(headers) : request).build(),
                HttpResponse.BodyHandlers.ofByteArray());
    }

    private static JsonNode json(HttpResponse<byte[]> response) {
        return Json.read("test", response.body()).get();
    }

    @Override
    public Mono<Either<Failure, Long>> record(Change change, String changeId, OptionalLong ifVersion) {
        if (ifVersion.isPresent() && ifVersion.getAsLong() != configuration.version()) {
            return Mono.just(
                    Either.left(Failure.notRun(Failure.Kind.CONFLICT, "record", "local", "version 0 is in force")));
        }
        Either<Failure, Configuration> next = configuration.with(change, configuration.version() + 1, changeId);
        configuration = next.getOrElse(configuration);
        return Mono.just(next.map(Configuration::version));
    }

    @Override
    public Mono<Either<Failure, Optional<Long>>> find(String changeId) {
        return Mono.just(Either.right(
                Optional.of(configuration.version()).filter(version -> changeId.equals(configuration.changeId()))));
    }

    @Override
    public Mono<Boolean> accepted(long version, Duration timeout) {
        return Mono.just(accepts);
    }

    @Override
    public Member self() {
        Address address = Address.of("127.0.0.1", 1);
        return Member.of(InstanceId.of("i", 1), FailureDomain.of("d"), address, address);
    }

    @Override
    public Standing standing(long now) {
        return Standing.FULL;
    }

    @Override
    public Configuration configuration() {
        return configuration;
    }

    @Override
    public boolean viewAccepted(long now) {
        return true;
    }

    @Override
    public boolean seenRecently(InstanceId id, long now) {
        return true;
    }

    @Override
    public void onAdopted(Consumer<Configuration> listener) {
        listener.accept(configuration);
    }

    @Override
    public void leave() {
        // The tests do not leave.
    }
}
