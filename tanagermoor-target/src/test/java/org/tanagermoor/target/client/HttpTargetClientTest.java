package org.tanagermoor.target.client;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasKey;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.startsWith;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.codahale.metrics.MetricRegistry;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.tanagermoor.kernel.event.EventLog;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.kernel.failure.FailureException;
import org.tanagermoor.kernel.plugin.Context;
import org.tanagermoor.kernel.setting.Address;
import org.tanagermoor.kernel.setting.Settings;
import org.tanagermoor.kernel.time.TimeSource;
import org.tanagermoor.policy.configuration.Target;
import org.tanagermoor.policy.fleet.FailureDomain;
import org.tanagermoor.policy.fleet.ServiceName;
import org.tanagermoor.policy.fleet.TargetId;
import org.tanagermoor.standin.target.ExecutionLog;
import org.tanagermoor.standin.target.Fault;
import org.tanagermoor.standin.target.StandInTarget;
import org.tanagermoor.standin.target.TargetOptions;

class HttpTargetClientTest {

    private static final Duration SILENCE = Duration.ofSeconds(1);
    private static final Duration NO_SILENCE = Duration.ofSeconds(15);
    private static final Duration BLOCK_TIMEOUT = Duration.ofSeconds(20);
    private static final long LATE_MILLIS = 3_000;
    private static final int TOKENS = 4;

    /** The start of all identities of exchanges. Targets refuse each request that does not state one of them. */
    private static final String CALLER = "exchange-";

    private final StandInTarget standIn = standIn();
    private final HttpTargetClient client = HttpTargetClient.of(Context.of(
            Settings.parse(List.of(), List.of(), Map.of()).get(),
            new EventLog.Disabled(),
            new MetricRegistry(),
            TimeSource.ForSystem.INSTANCE));

    @AfterEach
    void stop() {
        standIn.close();
    }

    @Test
    void sendsNoMoreHeadersThanNeeded() {
        assertThat(run(plain("/echo/a", NO_SILENCE)).outcome(), is("whole"));
        assertThat(standIn.log().entries().get(0).headers(), not(hasKey("authorization")));
    }

    @Test
    void reportsNotRunWhereNothingListens() {
        Target target = target();
        standIn.close();
        assertThat(run(target, plain("/echo/a", NO_SILENCE)).outcome(), is("UNAVAILABLE no"));
    }

    @ParameterizedTest
    @CsvSource({
        "RESET, CONNECT, UNAVAILABLE, 0",
        "SILENCE, CONNECT, TIMEOUT, 0",
        "TRUNCATION, CONNECT, UNAVAILABLE, 0",
        "COLD, CONNECT, UNAVAILABLE, 0",
        "GONE, CONNECT, UNAVAILABLE, 0",
        "RESET, RECEIVED, UNAVAILABLE, 0",
        "SILENCE, RECEIVED, TIMEOUT, 0",
        "TRUNCATION, RECEIVED, UNAVAILABLE, 0",
        "CROSSED, RECEIVED, CORRUPT, 0",
        "LATE, RECEIVED, TIMEOUT, 1",
        "COLD, RECEIVED, UNAVAILABLE, 0",
        "GONE, RECEIVED, UNAVAILABLE, 0",
        "RESET, EXECUTED, UNAVAILABLE, 1",
        "SILENCE, EXECUTED, TIMEOUT, 1",
        "TRUNCATION, EXECUTED, UNAVAILABLE, 1",
        "CROSSED, EXECUTED, CORRUPT, 1",
        "LATE, EXECUTED, TIMEOUT, 1",
        "COLD, EXECUTED, UNAVAILABLE, 1",
        "GONE, EXECUTED, UNAVAILABLE, 1",
        "RESET, STREAM, UNAVAILABLE, 1",
        "SILENCE, STREAM, TIMEOUT, 1",
        "TRUNCATION, STREAM, CORRUPT, 1",
        "LATE, STREAM, TIMEOUT, 1",
        "COLD, STREAM, UNAVAILABLE, 1",
        "GONE, STREAM, UNAVAILABLE, 1",
        "RESET, LAST, UNAVAILABLE, 1",
        "SILENCE, LAST, TIMEOUT, 1",
        "TRUNCATION, LAST, CORRUPT, 1",
        "LATE, LAST, TIMEOUT, 1",
        "COLD, LAST, UNAVAILABLE, 1",
        "GONE, LAST, UNAVAILABLE, 1",
    })
    void failsPlainRequests(Fault.Kind kind, Fault.Stage stage, Failure.Kind expected, long executions) {
        standIn.faults().replace(List.of(Fault.of(kind, stage).withDelayMillis(LATE_MILLIS)));
        Answer answer = run(plain("/counter/a", silence(kind)));
        assertThat(
                answer.outcome(),
                stage == Fault.Stage.CONNECT ? startsWith(expected.name()) : is(expected + " unknown"));
        assertThat(standIn.log().entries().size(), is(stage == Fault.Stage.CONNECT ? 0 : 1));
        if (kind != Fault.Kind.LATE) {
            assertThat(standIn.log().executions("/counter/a"), is(executions));
        }
    }

    @ParameterizedTest
    @CsvSource({
        "RESET, STREAM", "SILENCE, STREAM", "TRUNCATION, STREAM", "CROSSED, STREAM", "LATE, STREAM",
        "RESET, LAST", "SILENCE, LAST", "TRUNCATION, LAST", "CROSSED, LAST", "LATE, LAST",
    })
    void resumesStreams(Fault.Kind kind, Fault.Stage stage) {
        Answer uninterrupted = run(completion("whole", NO_SILENCE));
        standIn.faults().replace(List.of(Fault.of(kind, stage).withDelayMillis(LATE_MILLIS)));
        Answer resumed = run(completion("resumed", silence(kind)));
        assertThat(uninterrupted.outcome(), is("whole"));
        assertThat(resumed.outcome(), is("whole"));
        assertThat(resumed.pieces().size(), is(TOKENS));
        assertThat(
                String.join("", resumed.pieces()).replace("resumed", "whole"),
                equalTo(String.join("", uninterrupted.pieces())));
        assertThat(standIn.log().executions("/v1/completions"), is(2L));
    }

    @ParameterizedTest
    @CsvSource({"COLD, STREAM", "GONE, STREAM", "COLD, LAST", "GONE, LAST"})
    void failsStreamsThatTheTargetNoLongerKnows(Fault.Kind kind, Fault.Stage stage) {
        standIn.faults().replace(List.of(Fault.of(kind, stage).withDelayMillis(LATE_MILLIS)));
        assertThat(run(completion("lost", silence(kind))).outcome(), is("UNAVAILABLE unknown"));
        assertThat(standIn.log().executions("/v1/completions"), is(1L));
    }

    @Test
    void cancelsAbandonedRequestsAtTheTarget() throws Exception {
        StandInTarget slow = standIn("--token-millis=50");
        try {
            TargetRequest request = completion("left", NO_SILENCE);
            client.send(target(slow), request).ofType(AnswerPart.Piece.class).blockFirst(BLOCK_TIMEOUT);
            assertThat(slow.log().entries().get(0).ended().get(), is(ExecutionLog.State.CANCELLED));
        } finally {
            slow.close();
        }
    }

    @ParameterizedTest
    @CsvSource({"false, whole", "true, UNAVAILABLE unknown"})
    void resumesACancelledStreamUnlessTheTargetRestarted(boolean restarts, String expected) throws Exception {
        StandInTarget slow = standIn("--token-millis=300");
        try {
            TargetRequest request = completion("left", NO_SILENCE);
            List<AnswerPart> firstParts =
                    client.send(target(slow), request).take(4).collectList().block(BLOCK_TIMEOUT);
            String startMark = ((AnswerPart.Head) firstParts.get(0)).startMark();
            ExecutionLog.Entry first = slow.log().entries().get(0);
            assertThat(first.ended().get(), is(ExecutionLog.State.CANCELLED));
            if (restarts) {
                slow.restart();
            }
            int next = firstParts.size() - 1;
            Answer rest = collect(client.resume(target(slow), request, new StreamPosition(startMark, next)));
            assertThat(rest.outcome(), is(expected));
            assertThat(rest.pieces().size(), is(restarts ? 0 : TOKENS - next));
            assertThat(slow.log().entries().size(), is(restarts ? 1 : 2));
            assertThat(first.tokens() >= next && first.tokens() < TOKENS, is(true));
        } finally {
            slow.close();
        }
    }

    @ParameterizedTest
    @CsvSource({
        "503, no, OVERLOADED unknown",
        "429, no, OVERLOADED unknown",
        "503, yes, whole",
        "503, , whole",
        "429, , whole",
        "500, no, whole",
    })
    void distinguishesARefusalOfAFullTargetFromAnAnswer(int status, String run, String expected) {
        reactor.netty.DisposableServer server = reactor.netty.http.server.HttpServer.create()
                .host("127.0.0.1")
                .handle((request, response) -> {
                    response.status(status)
                            .header("x-request-id", CALLER + "refused")
                            .header("content-length", "0");
                    if (run != null) {
                        response.header("x-run", run);
                    }
                    return response.send();
                })
                .bindNow();
        try {
            Target full = new Target(
                    TargetId.of("full"),
                    ServiceName.of("assistant"),
                    FailureDomain.of("a"),
                    Address.of("127.0.0.1", server.port()),
                    32,
                    4,
                    0,
                    true);
            assertThat(run(full, completion("refused", NO_SILENCE)).outcome(), is(expected));
        } finally {
            server.disposeNow();
        }
    }

    @Test
    void sendsNothingWhereTheLastCheckFails() {
        Failure refusal = Failure.notRun(Failure.Kind.NO_STANDING, "step", "local", "");
        FailureException error = assertThrows(
                FailureException.class,
                () -> client.send(target(), plain("/echo/a", NO_SILENCE), () -> Optional.of(refusal))
                        .blockLast(BLOCK_TIMEOUT));
        assertThat(error.failure(), is(refusal));
        assertThat(standIn.log().entries(), is(empty()));
    }

    private static Duration silence(Fault.Kind kind) {
        return switch (kind) {
            case SILENCE, LATE -> SILENCE;
            case RESET, TRUNCATION, CROSSED, COLD, GONE -> NO_SILENCE;
        };
    }

    private TargetRequest plain(String path, Duration silence) {
        return new TargetRequest(CALLER + "r", "POST", path, "text/plain", bytes("body"), silence);
    }

    private static TargetRequest completion(String id, Duration silence) {
        String body = "{\"model\":\"assistant\",\"prompt\":\"a pole\",\"max_tokens\":" + TOKENS + ",\"stream\":true}";
        return new TargetRequest(CALLER + id, "POST", "/v1/completions", "application/json", bytes(body), silence);
    }

    private static StandInTarget standIn(String... flags) {
        List<String> arguments = new ArrayList<>(List.of(flags));
        arguments.add("--caller=" + CALLER);
        return StandInTarget.start(TargetOptions.parse(arguments, Map.of()).get());
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private Target target() {
        return target(standIn);
    }

    private static Target target(StandInTarget standIn) {
        return new Target(
                TargetId.of("t"),
                ServiceName.of("assistant"),
                FailureDomain.of("a"),
                standIn.address(),
                32,
                4,
                0,
                true);
    }

    private Answer run(TargetRequest request) {
        return run(target(), request);
    }

    private Answer run(Target target, TargetRequest request) {
        return collect(client.send(target, request));
    }

    private static Answer collect(reactor.core.publisher.Flux<AnswerPart> parts) {
        List<String> pieces = new ArrayList<>();
        String outcome = parts.doOnNext(part -> {
                    if (part instanceof AnswerPart.Piece piece) {
                        pieces.add(new String(piece.bytes(), StandardCharsets.UTF_8));
                    }
                })
                .last()
                .map(part -> part instanceof AnswerPart.End ? "whole" : "truncated")
                .onErrorResume(
                        FailureException.class,
                        error ->
                                reactor.core.publisher.Mono.just(error.failure().kind() + " "
                                        + error.failure().execution().label()))
                .block(BLOCK_TIMEOUT);
        return new Answer(outcome, pieces);
    }

    private record Answer(String outcome, List<String> pieces) {}
}
