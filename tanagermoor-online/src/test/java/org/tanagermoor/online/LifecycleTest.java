package org.tanagermoor.online;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.endsWith;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.InputStream;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.tanagermoor.http.Json;
import org.tanagermoor.kernel.setting.Address;
import org.tanagermoor.policy.configuration.Configuration;
import org.tanagermoor.policy.fleet.FailureDomain;
import org.tanagermoor.policy.fleet.InstanceId;
import org.tanagermoor.policy.fleet.Member;
import org.tanagermoor.policy.fleet.View;
import org.tanagermoor.standin.target.ExecutionLog;
import org.tanagermoor.standin.target.StandInTarget;
import org.tanagermoor.store.table.TableService;
import org.tanagermoor.target.lease.TargetLease;

/**
 * Guards against requests that run on after their key was withdrawn or their caller disconnected, and against requests
 * that a planned stop interrupts.
 */
@Timeout(60)
class LifecycleTest {

    private final OnlineFixture fixture = new OnlineFixture(TableService.InMemory.of());

    @AfterEach
    void stop() {
        fixture.close();
    }

    @Test
    void endsStreamsOfAWithdrawnKey() throws Exception {
        StandInTarget target = fixture.addTarget("assistant", "--token-millis=20");
        InputStream stream = startStream(100_000);
        fixture.membership.adopt(OnlineFixture::withoutKeys);
        String rest = new String(stream.readAllBytes(), StandardCharsets.UTF_8);
        assertThat(rest, allOf(containsString("unauthenticated"), containsString("\"run\":\"unknown\"")));
        assertThat(rest, not(containsString("[DONE]")));
        assertCancelled(target);
    }

    @Test
    void cancelsTheStreamWhenItsCallerDisconnects() throws Exception {
        StandInTarget target = fixture.addTarget("assistant", "--token-millis=20");
        startStream(100_000).close();
        assertCancelled(target);
    }

    @Test
    void cancelsTheRequestWhenItsCallerDisconnectsBeforeTheAnswer() throws Exception {
        StandInTarget target = fixture.addTarget("assistant", "--first-token-millis=600000");
        String body = "{\"model\":\"assistant\",\"prompt\":\"a pole\"}";
        String head = "POST /v1/completions HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer " + OnlineFixture.KEY
                + "\r\ncontent-length: " + body.length() + "\r\n\r\n";
        try (Socket socket =
                new Socket(fixture.address().host(), fixture.address().port())) {
            socket.getOutputStream().write((head + body).getBytes(StandardCharsets.UTF_8));
            target.log().awaitEntries(1);
        }
        assertCancelled(target);
    }

    @Test
    void cutsNoRequestAtAPlannedStop() throws Exception {
        fixture.addTarget("assistant", "--token-millis=20");
        InputStream stream = startStream(150);
        CompletableFuture<Void> drained = CompletableFuture.runAsync(fixture.plugin::drain);
        fixture.membership.left.await();
        assertThat(fixture.send(fixture.call("stock", "/a")).status(), is(200));
        Member leaving = fixture.membership.self().withLeaving(true);
        fixture.membership.adopt(old -> withMembers(old, List.of(leaving)));
        assertThat(new String(stream.readAllBytes(), StandardCharsets.UTF_8), endsWith("data: [DONE]\n\n"));
        drained.get();
        OnlineFixture.Answer refused = fixture.send(fixture.call("stock", "/a"));
        assertThat(refused.status() + refused.run(), is("503no"));
    }

    @Test
    void listsOwnFailureDomainFirstAndNoLeavingInstance() throws Exception {
        fixture.membership.adopt(old -> withMembers(
                old,
                List.of(
                        member("a1", "a", false),
                        member("b1", "b", false),
                        member("b2", "b", true),
                        member("c1", "c", false))));
        fixture.membership.adopt(old -> new Configuration(
                old.version() + 1,
                "out",
                old.presetInForce(),
                old.presets(),
                old.teams(),
                old.keys(),
                old.services(),
                old.targets(),
                old.domainsOut().add(FailureDomain.of("c")),
                old.view()));
        OnlineFixture.Answer answer =
                fixture.send(fixture.request("/v1/directory?domain=b").build());
        JsonNode node = Json.read("test", answer.body().getBytes(StandardCharsets.UTF_8))
                .get();
        List<String> domains = new ArrayList<>();
        node.path("instances")
                .forEach(instance -> domains.add(instance.path("domain").asText()));
        assertThat(domains, is(List.of("b", "a")));
    }

    private InputStream startStream(int tokens) throws Exception {
        InputStream stream = fixture.client()
                .send(fixture.completion("assistant", true, tokens), HttpResponse.BodyHandlers.ofInputStream())
                .body();
        assertThat((char) stream.read(), is('d'));
        return stream;
    }

    private void assertCancelled(StandInTarget target) throws Exception {
        assertThat(fixture.targets.released.poll(30, TimeUnit.SECONDS), is(TargetLease.Result.CANCELLED));
        assertThat(target.log().entries().get(0).ended().get(), is(ExecutionLog.State.CANCELLED));
    }

    private static Configuration withMembers(Configuration old, List<Member> members) {
        return new Configuration(
                old.version() + 1,
                "members",
                old.presetInForce(),
                old.presets(),
                old.teams(),
                old.keys(),
                old.services(),
                old.targets(),
                old.domainsOut(),
                View.of(old.version() + 1, members));
    }

    private static Member member(String name, String domain, boolean leaving) {
        Address address = Address.of("127.0.0.1", 1);
        return Member.of(InstanceId.of(name, 1), FailureDomain.of(domain), address, address)
                .withLeaving(leaving);
    }
}
