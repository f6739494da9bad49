package org.tanagermoor.online;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.net.http.HttpRequest;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.tanagermoor.http.Digests;
import org.tanagermoor.policy.standing.Standing;
import org.tanagermoor.store.table.TableService;

/**
 * Guards against refusals that name the wrong step or report the wrong execution, and against requests and keys that
 * reach a target although they must not.
 */
class RefusalTest {

    private final OnlineFixture fixture = new OnlineFixture(TableService.InMemory.of(), "--body-limit-bytes=256");

    @AfterEach
    void stop() {
        fixture.close();
    }

    static Stream<Arguments> refusals() {
        return Stream.of(
                row(
                        "no standing",
                        f -> f.membership.standing = Standing.NONE,
                        RefusalTest::ok,
                        "503 admission.standing"),
                row("no key", f -> {}, completion("assistant", ""), "401 admission.key"),
                row("unknown key", f -> {}, completion("assistant", "Bearer unknown-key"), "401 admission.key"),
                row("unknown service", f -> {}, f -> f.completion("none", true, 1), "404 admission.service"),
                row("other kind", f -> {}, f -> f.completion("stock", true, 1), "403 admission.service"),
                row("model as plain", f -> {}, f -> f.call("assistant", "/orders"), "403 admission.service"),
                row("no deadline", f -> {}, f -> f.call("stock", "/a", "x-deadline-ms", "0"), "400 admission.deadline"),
                row("too large", f -> {}, body("x".repeat(300)), "413 http.body"),
                row("no json", f -> {}, body("{"), "400 admission.body"),
                row("no prompt", f -> {}, body("{\"model\":\"assistant\"}"), "400 admission.body"),
                row(
                        "key in body",
                        f -> {},
                        body("{\"model\":\"assistant\",\"prompt\":\"\\u006bey-of-alder\"}"),
                        "400 admission.payload"),
                row("key in path", f -> {}, f -> f.call("stock", "/a?k=key%2dof-alder"), "400 admission.payload"),
                row("orders", f -> {}, f -> f.call("stock", "/orders"), "403 admission.path"),
                row("encoded orders", f -> {}, f -> f.call("stock", "/%6frders"), "403 admission.path"),
                row("path upwards", f -> {}, f -> f.call("stock", "/a/%2e%2e/orders"), "400 admission.path"),
                row("empty budget", f -> f.budgets.empty = true, RefusalTest::ok, "429 budget.take"),
                row("no target", f -> f.targets.targets.clear(), RefusalTest::ok, "503 target.lease"),
                row(
                        "standing lost while it waited",
                        f -> f.targets.beforeLease = () -> f.membership.standing = Standing.NONE,
                        RefusalTest::ok,
                        "503 admission.standing"),
                row(
                        "key withdrawn while it waited",
                        f -> f.targets.beforeLease = () -> f.membership.adopt(OnlineFixture::withoutKeys),
                        RefusalTest::ok,
                        "401 admission.key"));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("refusals")
    void refusesBeforeSendingAnyByte(
            String name, Consumer<OnlineFixture> setUp, Function<OnlineFixture, HttpRequest> request, String expected)
            throws Exception {
        fixture.addTarget("assistant");
        setUp.accept(fixture);
        OnlineFixture.Answer answer = fixture.send(request.apply(fixture));
        assertThat(answer.status() + " " + answer.error().path("step").asText(), is(expected));
        assertThat(answer.run() + answer.error().path("run").asText(), is("nono"));
        assertThat(fixture.standIns.get(0).log().entries(), is(empty()));
    }

    @Test
    void reportsUnknownWhenTheDeadlinePassesAfterSending() throws Exception {
        fixture.addTarget("assistant", "--first-token-millis=600000");
        OnlineFixture.Answer answer = fixture.send(fixture.completion("assistant", true, 1, "x-deadline-ms", "2000"));
        assertThat(answer.status() + answer.run(), is("504unknown"));
        assertThat(fixture.targets.released.take().name(), is("CANCELLED"));
    }

    @Test
    void servesOpenServicesWithoutAKey() throws Exception {
        fixture.addTarget("assistant");
        HttpRequest request = HttpRequest.newBuilder(
                        fixture.request("/services/hours/today").build().uri())
                .build();
        assertThat(fixture.send(request).status(), is(200));
        assertThat(fixture.budgets.taken, is(empty()));
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void keepsTheKeyFromTargetsAndEvents(boolean plain) throws Exception {
        fixture.addTarget("assistant");
        HttpRequest request = plain
                ? fixture.call("stock", "/a", "x-api-key", OnlineFixture.KEY, "cookie", OnlineFixture.KEY)
                : fixture.completion("assistant", true, 2, "x-api-key", OnlineFixture.KEY);
        assertThat(fixture.send(request).status(), is(200));
        Map<String, String> headers =
                fixture.standIns.get(0).log().entries().get(0).headers();
        String recorded = headers
                + fixture.standIns.get(0).log().entries().get(0).body()
                + fixture.events.since(0, Integer.MAX_VALUE);
        assertThat(recorded, not(containsString(OnlineFixture.KEY)));
        assertThat(recorded, not(containsString(Digests.sha256(OnlineFixture.KEY))));
    }

    private static Arguments row(
            String name, Consumer<OnlineFixture> setUp, Function<OnlineFixture, HttpRequest> request, String expected) {
        return Arguments.of(name, setUp, request, expected);
    }

    private static HttpRequest ok(OnlineFixture fixture) {
        return fixture.completion("assistant", true, 1);
    }

    private static Function<OnlineFixture, HttpRequest> completion(String model, String authorization) {
        return f -> {
            HttpRequest.Builder builder = HttpRequest.newBuilder(
                            f.request("/v1/completions").build().uri())
                    .POST(HttpRequest.BodyPublishers.ofString("{\"model\":\"" + model + "\",\"prompt\":\"a\"}"));
            return authorization.isEmpty()
                    ? builder.build()
                    : builder.header("authorization", authorization).build();
        };
    }

    private static Function<OnlineFixture, HttpRequest> body(String body) {
        return f -> f.request("/v1/completions")
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
    }
}
