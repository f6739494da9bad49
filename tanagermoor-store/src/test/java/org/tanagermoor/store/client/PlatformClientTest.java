package org.tanagermoor.store.client;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import com.codahale.metrics.MetricRegistry;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.tanagermoor.kernel.event.EventLog;
import org.tanagermoor.kernel.failure.Execution;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.kernel.setting.Address;
import org.tanagermoor.kernel.time.TimeSource;
import org.tanagermoor.store.PlatformEvent;
import org.tanagermoor.store.table.CommitResult;
import org.tanagermoor.store.table.Row;
import org.tanagermoor.store.table.RowKey;
import org.tanagermoor.store.table.TableService;
import org.tanagermoor.store.table.Transaction;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

class PlatformClientTest {

    private static final Duration TEST_TIMEOUT = Duration.ofSeconds(20);

    private static final RowKey KEY = RowKey.of("t", "k");

    private volatile Misbehaviour misbehaviour = Misbehaviour.NONE;

    private final DisposableServer server =
            HttpServer.create().host("127.0.0.1").handle(this::answer).bindNow();

    private final EventLog events = EventLog.Default.of("test", TimeSource.ForSystem.INSTANCE);

    private final PlatformClient client = PlatformClient.of(
            Address.of("127.0.0.1", server.port()),
            CallLimits.DEFAULT.withDeadline(TEST_TIMEOUT),
            new MetricRegistry(),
            events,
            TimeSource.ForSystem.INSTANCE);

    private final TableService table = TableService.ForHttp.of(client, events);

    @AfterEach
    void close() {
        client.close();
        server.disposeNow();
    }

    @ParameterizedTest
    @EnumSource
    void incompleteAndCrossedAnswersAreFailures(Misbehaviour value) {
        misbehaviour = value;

        Either<Failure, Optional<Row>> read = table.read(KEY).block(TEST_TIMEOUT);
        Either<Failure, CommitResult> commit = table.commit(Transaction.EMPTY).block(TEST_TIMEOUT);

        assertThat(read.isRight(), is(value == Misbehaviour.NONE));
        assertThat(commit.isLeft() ? commit.getLeft().kind() : null, is(value.kind));
        assertThat(commit.isLeft() ? commit.getLeft().execution() : null, is(value.execution));
    }

    @ParameterizedTest
    @CsvSource({
        "0, 0, , false",
        "4999, 59999, , false",
        "5000, 5000, , true",
        "0, 60000, , true",
        "10, 200, 850, true",
        "10, 100, 850, false"
    })
    void oldIdleAndReplacedConnectionsExpire(long idleMillis, long openMillis, Long replacedAtMillis, boolean expired) {
        Long since = replacedAtMillis == null ? null : replacedAtMillis * 1_000_000;

        assertThat(ConnectionPool.expired(idleMillis, openMillis, 1_000_000_000, since), is(expired));
    }

    @ParameterizedTest
    @CsvSource({"NONE NONE, 0", "FAILED FAILED NONE NONE, 2", "FAILED NONE FAILED, 3"})
    void eachChangeOfAvailabilityIsRecordedOnce(String behaviours, int expected) {
        for (String behaviour : behaviours.split(" ")) {
            misbehaviour = Misbehaviour.valueOf(behaviour);
            table.commit(Transaction.EMPTY).block(TEST_TIMEOUT);
        }

        long changes = events.since(0, 100).stream()
                .filter(event -> List.of(PlatformEvent.AVAILABLE, PlatformEvent.UNAVAILABLE)
                        .contains(event.type()))
                .count();
        assertThat(changes, is((long) expected));
    }

    private Mono<Void> answer(HttpServerRequest request, HttpServerResponse response) {
        String id = request.requestHeaders().get(PlatformClient.ID_HEADER);
        String body = request.uri().endsWith("commit") ? "{\"versions\":[]}" : "{\"row\":null}";
        return request.receive().then(misbehaviour.answer(response, id, body));
    }

    private enum Misbehaviour {
        NONE(null, null) {
            @Override
            Mono<Void> answer(HttpServerResponse response, String id, String body) {
                return send(response.header(PlatformClient.ID_HEADER, id), body);
            }
        },
        CROSSED(Failure.Kind.CORRUPT, Execution.UNKNOWN) {
            @Override
            Mono<Void> answer(HttpServerResponse response, String id, String body) {
                return send(response.header(PlatformClient.ID_HEADER, id + "0"), body);
            }
        },
        WITHOUT_IDENTITY(Failure.Kind.CORRUPT, Execution.UNKNOWN) {
            @Override
            Mono<Void> answer(HttpServerResponse response, String id, String body) {
                return send(response, body);
            }
        },
        NOT_A_MESSAGE(Failure.Kind.CORRUPT, Execution.UNKNOWN) {
            @Override
            Mono<Void> answer(HttpServerResponse response, String id, String body) {
                return send(response.header(PlatformClient.ID_HEADER, id), body.substring(1));
            }
        },
        ANOTHER_MESSAGE(Failure.Kind.CORRUPT, Execution.UNKNOWN) {
            @Override
            Mono<Void> answer(HttpServerResponse response, String id, String body) {
                return send(response.header(PlatformClient.ID_HEADER, id), "{}");
            }
        },
        TRUNCATED(Failure.Kind.UNAVAILABLE, Execution.UNKNOWN) {
            @Override
            Mono<Void> answer(HttpServerResponse response, String id, String body) {
                Mono<ByteBuf> closeConnection = Mono.defer(() -> {
                    response.withConnection(connection -> connection.channel().close());
                    return Mono.never();
                });
                return response.header(PlatformClient.ID_HEADER, id)
                        .header("content-length", Integer.toString(body.length() + 1))
                        .send(
                                Flux.concat(
                                        Mono.just(Unpooled.copiedBuffer(body, StandardCharsets.UTF_8)),
                                        closeConnection),
                                buffer -> true)
                        .then();
            }
        },
        FAILED(Failure.Kind.UNAVAILABLE, Execution.UNKNOWN) {
            @Override
            Mono<Void> answer(HttpServerResponse response, String id, String body) {
                return send(response.status(500).header(PlatformClient.ID_HEADER, id), body);
            }
        };

        final Failure.Kind kind;

        final Execution execution;

        Misbehaviour(Failure.Kind kind, Execution execution) {
            this.kind = kind;
            this.execution = execution;
        }

        abstract Mono<Void> answer(HttpServerResponse response, String id, String body);

        static Mono<Void> send(HttpServerResponse response, String body) {
            return response.sendString(Mono.just(body)).then();
        }
    }
}
