package org.tanagermoor.wire.link;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.tanagermoor.kernel.event.EventLog;
import org.tanagermoor.kernel.failure.Execution;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.kernel.setting.Address;
import org.tanagermoor.kernel.time.TimeSource;
import org.tanagermoor.policy.fleet.InstanceId;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

class TcpPeerLinkTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    private static final Address ANY_PORT = Address.of("127.0.0.1", 0);

    private final EventLog events = new EventLog.Disabled();

    private final TcpPeerLink asking =
            TcpPeerLink.of(InstanceId.of("asking", 1), ANY_PORT, events, TimeSource.ForSystem.INSTANCE);

    private final TcpPeerLink answering =
            TcpPeerLink.of(InstanceId.of("answering", 2), ANY_PORT, events, TimeSource.ForSystem.INSTANCE);

    @AfterEach
    void close() {
        asking.close();
        answering.close();
    }

    @Test
    void handlersReceiveTheIdentityOfTheSender() {
        answering.handle(
                Channel.ECHO, (from, request) -> Mono.just(Either.right((from + " " + text(request)).getBytes(UTF))));

        assertThat(text(call(2, "hello").get()), is("asking~1 hello"));
        assertThat(asking.bytes(), greaterThan(0L));
    }

    @Test
    void anotherIncarnationRefuses() {
        answering.handle(Channel.ECHO, (from, request) -> Mono.just(Either.right(request)));

        Failure failure = call(3, "hello").getLeft();

        assertThat(failure.kind(), is(Failure.Kind.UNAVAILABLE));
        assertThat(failure.execution(), is(Execution.NOT_RUN));
    }

    @Test
    void aRequestOnAnUnknownChannelIsNotRun() {
        Failure failure = call(2, "hello").getLeft();

        assertThat(failure.kind(), is(Failure.Kind.NOT_FOUND));
        assertThat(failure.execution(), is(Execution.NOT_RUN));
    }

    @Test
    void aRequestToAClosedPeerIsNotRun() {
        Address address = answering.address();
        answering.close();

        Failure failure = asking.call(address, 2, Channel.ECHO, new byte[0], TIMEOUT)
                .block(TIMEOUT)
                .getLeft();

        assertThat(failure.kind(), is(Failure.Kind.UNAVAILABLE));
        assertThat(failure.execution(), is(Execution.NOT_RUN));
    }

    @Test
    void outOfOrderAnswersReachTheirRequests() {
        Sinks.One<Either<Failure, byte[]>> late = Sinks.one();
        answering.handle(
                Channel.ECHO,
                (from, request) -> text(request).equals("late") ? late.asMono() : Mono.just(Either.right(request)));
        Mono<Either<Failure, byte[]>> first = asking.call(
                        answering.address(), 2, Channel.ECHO, "late".getBytes(UTF), TIMEOUT)
                .cache();
        first.subscribe();

        assertThat(text(call(2, "early").get()), is("early"));
        late.tryEmitValue(Either.right("late".getBytes(UTF))).orThrow();
        assertThat(text(first.block(TIMEOUT).get()), is("late"));
    }

    private static final java.nio.charset.Charset UTF = StandardCharsets.UTF_8;

    private Either<Failure, byte[]> call(long incarnation, String text) {
        return asking.call(answering.address(), incarnation, Channel.ECHO, text.getBytes(UTF), TIMEOUT)
                .block(TIMEOUT);
    }

    private static String text(byte[] bytes) {
        return new String(bytes, UTF);
    }
}
