package org.tanagermoor.gateway.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.not;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.tanagermoor.gateway.fleet.TargetEntry;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.kernel.setting.Address;
import org.tanagermoor.kernel.time.TimeSource;

/** Tests connections to a target that sends given bytes. */
final class TargetConnectionsTest {

    /** The maximum time that a test waits, in seconds. */
    private static final long TIMEOUT_SECONDS = 10;

    /**
     * The maximum number of bytes that a target can send: the bytes that are skipped, and the buffers of both sockets.
     */
    private static final long MAX_SENT_BYTES = 24L << 20;

    private MultiThreadIoEventLoopGroup group;

    private ServerSocket target;

    @BeforeEach
    void start() throws IOException {
        group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        target = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    }

    @AfterEach
    void stop() throws IOException {
        target.close();
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    /**
     * A target may send endless bytes that are not an answer. The connection is closed after a bounded number of them,
     * and the request fails without a known outcome.
     */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "a status line         |                                                                      | x",
                "a header              | HTTP/1.1 200 OK~X-Request-Id: r~A:                                    | x",
                "headers               | HTTP/1.1 200 OK~                                                     | A: b~",
                "informational answers | ''                                                                   | HTTP/1.1 100 Continue~~",
                "answers to others     | ''                                                                   | HTTP/1.1 200 OK~X-Request-Id: q~Content-Length: 1~~x",
                "an answer to another  | HTTP/1.1 200 OK~X-Request-Id: q~~                                     | x",
                "chunks to another     | HTTP/1.1 200 OK~X-Request-Id: q~Transfer-Encoding: chunked~~          | 1~x~",
                "the size of a chunk   | HTTP/1.1 200 OK~X-Request-Id: r~Transfer-Encoding: chunked~~          | 0",
                "trailers              | HTTP/1.1 200 OK~X-Request-Id: r~Transfer-Encoding: chunked~~0~        | A: b~"
            })
    void failsExchangeOnEndlessBytesThatAreNotAnAnswer(String kind, String prefix, String repeated)
            throws InterruptedException, ExecutionException, TimeoutException {
        CompletableFuture<Long> sent = sendEndlessBytes(bytes(prefix == null ? "" : prefix), bytes(repeated));
        CompletableFuture<Failure> failure = send();
        assertThat(kind, failure.get(TIMEOUT_SECONDS, TimeUnit.SECONDS).step(), is("target.exchange"));
        assertThat(kind, sent.get(TIMEOUT_SECONDS, TimeUnit.SECONDS), is(lessThan(MAX_SENT_BYTES)));
    }

    /**
     * A target sends a second copy of an answer, late, on a connection that may be in use again. The next request gets
     * its own answer, whether or not the first answer names its request, and whatever the copy is joined with.
     */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "a refusal without a name | HTTP/1.1 503 Full~X-Not-Run: 1~Content-Length: 0~~",
                "a named refusal          | HTTP/1.1 503 Full~X-Request-Id: r~X-Not-Run: 1~Content-Length: 0~~",
                "a named answer           | HTTP/1.1 200 OK~X-Request-Id: r~Content-Length: 1~~x",
                "a named stream           | HTTP/1.1 200 OK~X-Request-Id: r~Transfer-Encoding: chunked~~1~x~0~~"
            })
    void givesNoSecondCopyToTheNextRequest(String kind, String answer)
            throws InterruptedException, ExecutionException, TimeoutException {
        byte[] own = bytes("HTTP/1.1 201 OK~X-Request-Id: q~Content-Length: 1~~y");
        CompletableFuture<Void> served = CompletableFuture.runAsync(() -> serveWithCopies(bytes(answer), own));
        EventLoop loop = group.next();
        TargetConnections connections = TargetConnections.of(
                loop, new Protocol(), TimeSource.ForSystem.INSTANCE, TargetObserver.Disabled.INSTANCE);
        CompletableFuture<Integer> first = new CompletableFuture<>();
        CompletableFuture<Integer> second = new CompletableFuture<>();
        loop.execute(() -> {
            connections.retainOnly(Set.of("t"));
            connections.send(entry(), request("r"), new StatusListener(first));
        });
        first.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        loop.execute(() -> connections.send(entry(), request("q"), new StatusListener(second)));
        assertThat(kind, second.get(TIMEOUT_SECONDS, TimeUnit.SECONDS), is(201));
        served.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    /** An answer that ends with its connection looked like one with a length, and skipped answers were not logged. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "HTTP/1.1 200 OK~X-Request-Id: r~Content-Length: 1~~x                                        | true  | 0",
                "HTTP/1.1 200 OK~X-Request-Id: r~Transfer-Encoding: chunked~~1~x~0~~                         | true  | 0",
                "HTTP/1.1 200 OK~X-Request-Id: r~~x                                                          | false | 0",
                "HTTP/1.1 500 No~X-Request-Id: q~Content-Length: 1~~yHTTP/1.1 200 OK~X-Request-Id: r~~x      | false | 1"
            })
    void tellsHowAnAnswerWasDelivered(String answer, boolean framed, int skippedAnswers)
            throws InterruptedException, ExecutionException, TimeoutException {
        CompletableFuture<Void> served = CompletableFuture.runAsync(() -> {
            try (Socket socket = target.accept()) {
                awaitRequest(socket.getInputStream());
                socket.getOutputStream().write(bytes(answer));
            } catch (IOException exception) {
                throw new UncheckedIOException(exception);
            }
        });
        List<String> skipped = new ArrayList<>();
        CompletableFuture<Delivery> delivery = new CompletableFuture<>();
        EventLoop loop = group.next();
        TargetConnections connections =
                TargetConnections.of(loop, new Protocol(), TimeSource.ForSystem.INSTANCE, new Observer(skipped));
        loop.execute(() -> connections.send(entry(), request("r"), new DeliveryListener(delivery)));
        assertThat(delivery.get(TIMEOUT_SECONDS, TimeUnit.SECONDS), is(new Delivery(framed, false, skippedAnswers)));
        assertThat(skipped, is(skippedAnswers == 0 ? List.of() : List.of("t: q with 500 came for r")));
        served.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    /** The failure of a request that could not be written reached its listener before the call that sent it returned. */
    @Test
    void callsTheListenerOnlyAfterTheRequestWasSent()
            throws InterruptedException, ExecutionException, TimeoutException, IOException {
        EventLoop loop = group.next();
        TargetConnections connections = TargetConnections.of(
                loop, new Protocol(), TimeSource.ForSystem.INSTANCE, TargetObserver.Disabled.INSTANCE);
        CompletableFuture<Integer> first = new CompletableFuture<>();
        loop.execute(() -> {
            connections.retainOnly(Set.of("t"));
            connections.send(entry(), request("r"), new StatusListener(first));
        });
        CompletableFuture<Boolean> calledInside = new CompletableFuture<>();
        CompletableFuture<Integer> second = new CompletableFuture<>();
        try (Socket socket = target.accept()) {
            awaitRequest(socket.getInputStream());
            socket.getOutputStream().write(bytes("HTTP/1.1 200 OK~X-Request-Id: r~Content-Length: 0~~"));
            first.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            loop.execute(() -> {
                reset(socket);
                connections.send(entry(), request("q"), new StatusListener(second));
                calledInside.complete(second.isDone());
            });
            assertThat(calledInside.get(TIMEOUT_SECONDS, TimeUnit.SECONDS), is(false));
        }
        assertThrows(ExecutionException.class, () -> second.get(TIMEOUT_SECONDS, TimeUnit.SECONDS));
    }

    /** An answer that stopped inside its head gave its status to the answer that followed on the connection. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 ",
                "HTTP/1.1 200 O",
                "HTTP/1.1 200 OK~Content-Type: text/event-stream",
                "HTTP/1.1 200 OK~Content-Type:"
            })
    void joinsNoHeadThatStopsShortToTheNextAnswer(String cut)
            throws InterruptedException, ExecutionException, TimeoutException {
        String failure = "HTTP/1.1 500 No~X-Request-Id: q~Content-Length: 1~~y";
        assertThat(statusOfSecond(cut, failure), is(not("200")));
    }

    /** Bytes that arrived on an idle connection waited in its decoder for the head of the next answer. */
    @ParameterizedTest
    @ValueSource(strings = {"H", "HTTP/1.1 200 O", "HTTP/1.1 500 No~X-Request-Id: r~Content-Length: 1~~y"})
    void closesAnIdleConnectionOnWhichBytesArrive(String late)
            throws InterruptedException, ExecutionException, TimeoutException, IOException {
        EventLoop loop = group.next();
        TargetConnections connections = TargetConnections.of(
                loop, new Protocol(), TimeSource.ForSystem.INSTANCE, TargetObserver.Disabled.INSTANCE);
        CompletableFuture<Integer> first = new CompletableFuture<>();
        loop.execute(() -> {
            connections.retainOnly(Set.of("t"));
            connections.send(entry(), request("r"), new StatusListener(first));
        });
        try (Socket socket = target.accept()) {
            socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
            awaitRequest(socket.getInputStream());
            socket.getOutputStream().write(bytes("HTTP/1.1 200 OK~X-Request-Id: r~Content-Length: 1~~x"));
            first.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            socket.getOutputStream().write(bytes(late));
            assertThat(socket.getInputStream().read(), is(-1));
        }
    }

    /** A refusal that names no request, and may belong to an earlier one, said that the current one has not run. */
    @Test
    void takesNoRefusalWithoutANameOnAUsedConnection()
            throws InterruptedException, ExecutionException, TimeoutException {
        String copy = "HTTP/1.1 503 Full~X-Not-Run: 1~Content-Length: 0~~";
        String own = "HTTP/1.1 201 OK~X-Request-Id: q~Content-Length: 1~~y";
        assertThat(statusOfSecond("", copy + own), is(not("503")));
    }

    /**
     * Returns the status of the answer to a second request on a connection, or the failure.
     *
     * @param between What the target sends after its answer to the first request.
     * @param answer What it sends after the second request.
     */
    private String statusOfSecond(String between, String answer)
            throws InterruptedException, ExecutionException, TimeoutException {
        CompletableFuture<Void> served = CompletableFuture.runAsync(() -> {
            try (Socket socket = target.accept()) {
                awaitRequest(socket.getInputStream());
                socket.getOutputStream().write(bytes("HTTP/1.1 200 OK~X-Request-Id: r~Content-Length: 1~~x" + between));
                awaitRequest(socket.getInputStream());
                socket.getOutputStream().write(bytes(answer));
            } catch (IOException closed) {
                // The connection was not used again.
                return;
            }
        });
        EventLoop loop = group.next();
        TargetConnections connections = TargetConnections.of(
                loop, new Protocol(), TimeSource.ForSystem.INSTANCE, TargetObserver.Disabled.INSTANCE);
        CompletableFuture<Integer> first = new CompletableFuture<>();
        CompletableFuture<Integer> second = new CompletableFuture<>();
        loop.execute(() -> {
            connections.retainOnly(Set.of("t"));
            connections.send(entry(), request("r"), new StatusListener(first));
        });
        first.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        loop.execute(() -> connections.send(entry(), request("q"), new StatusListener(second)));
        served.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        return second.handle((status, failure) -> failure == null ? String.valueOf(status) : failure.getMessage())
                .get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    /** Closes a connection so that the other side gets a reset. */
    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    /** Answers a first request, and a second one, after a further copy of the first answer if the connection is the same. */
    private void serveWithCopies(byte[] answer, byte[] own) {
        try (Socket first = target.accept()) {
            awaitRequest(first.getInputStream());
            first.getOutputStream().write(answer);
            try {
                awaitRequest(first.getInputStream());
                first.getOutputStream().write(answer);
                first.getOutputStream().write(own);
            } catch (EOFException closed) {
                try (Socket next = target.accept()) {
                    awaitRequest(next.getInputStream());
                    next.getOutputStream().write(own);
                }
            }
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    private TargetEntry entry() {
        return new TargetEntry("t", "s", Address.of("127.0.0.1", target.getLocalPort()), "lisbon", 1, false, 0, 0);
    }

    private static TargetRequest request(String id) {
        return new TargetRequest("POST", "/", List.of(), Unpooled.EMPTY_BUFFER, id, "", 0, 0);
    }

    /** Sends a request, and returns the failure that its listener will receive. */
    private CompletableFuture<Failure> send() {
        CompletableFuture<Failure> failure = new CompletableFuture<>();
        EventLoop loop = group.next();
        TargetConnections connections = TargetConnections.of(
                loop, new Protocol(), TimeSource.ForSystem.INSTANCE, TargetObserver.Disabled.INSTANCE);
        loop.execute(() -> connections.send(entry(), request("r"), new Listener(failure)));
        return failure;
    }

    /** Answers a request with bytes until the connection is closed, and returns the number of bytes. */
    private CompletableFuture<Long> sendEndlessBytes(byte[] prefix, byte[] repeated) {
        byte[] block =
                new String(repeated, StandardCharsets.UTF_8).repeat(8_192).getBytes(StandardCharsets.UTF_8);
        return CompletableFuture.supplyAsync(() -> {
            long sent = prefix.length;
            try (Socket socket = target.accept()) {
                awaitRequest(socket.getInputStream());
                OutputStream output = socket.getOutputStream();
                output.write(prefix);
                while (sent < 4 * MAX_SENT_BYTES) {
                    output.write(block);
                    sent += block.length;
                }
            } catch (IOException closed) {
                return sent;
            }
            return sent;
        });
    }

    /** Reads a request to the end of its head. */
    private static void awaitRequest(InputStream input) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = input.read();
            if (next < 0) {
                throw new EOFException("the connection was closed");
            }
            head.append((char) next);
        }
    }

    /** Returns the bytes of a text, in which a tilde stands for the end of a line. */
    private static byte[] bytes(String text) {
        return text.replace("~", "\r\n").getBytes(StandardCharsets.UTF_8);
    }

    /** Receives an answer that cannot be complete. */
    private record Listener(CompletableFuture<Failure> failure) implements TargetListener {

        /** {@inheritDoc} */
        @Override
        public void head(TargetHead head, HttpResponse response) {
            // The head of the answer may be valid.
        }

        /** {@inheritDoc} */
        @Override
        public void body(ByteBuf content) {
            // The first part of the body may be valid.
        }

        /** {@inheritDoc} */
        @Override
        public void end(Delivery delivery) {
            failure.completeExceptionally(new AssertionError("the answer looks complete"));
        }

        /** {@inheritDoc} */
        @Override
        public void failed(Failure cause) {
            failure.complete(cause);
        }
    }

    /** Receives the status of an answer once it is complete. */
    private static final class StatusListener implements TargetListener {

        private final CompletableFuture<Integer> status;

        private int received;

        private StatusListener(CompletableFuture<Integer> status) {
            this.status = status;
        }

        /** {@inheritDoc} */
        @Override
        public void head(TargetHead head, HttpResponse response) {
            received = head.status();
        }

        /** {@inheritDoc} */
        @Override
        public void body(ByteBuf content) {
            // The status tells the answers apart.
        }

        /** {@inheritDoc} */
        @Override
        public void end(Delivery delivery) {
            status.complete(received);
        }

        /** {@inheritDoc} */
        @Override
        public void failed(Failure cause) {
            status.completeExceptionally(new IllegalStateException(cause.toString()));
        }
    }

    /** Notes the skipped answers. Confined to the event loop. */
    private record Observer(List<String> skipped) implements TargetObserver {

        /** {@inheritDoc} */
        @Override
        public void leaving(TargetEntry entry) {
            throw new AssertionError("no target leaves");
        }

        /** {@inheritDoc} */
        @Override
        public void requestLimit(TargetEntry entry, OptionalDouble perSecond) {
            if (perSecond.isPresent()) {
                throw new AssertionError("no target names a limit");
            }
        }

        /** {@inheritDoc} */
        @Override
        public void answerSkipped(TargetEntry entry, String request, TargetHead head) {
            skipped.add(entry.id() + ": " + head.id() + " with " + head.status() + " came for " + request);
        }
    }

    /** Receives how a complete answer was delivered. */
    private record DeliveryListener(CompletableFuture<Delivery> delivery) implements TargetListener {

        /** {@inheritDoc} */
        @Override
        public void head(TargetHead head, HttpResponse response) {
            // Only the end matters.
        }

        /** {@inheritDoc} */
        @Override
        public void body(ByteBuf content) {
            // Only the end matters.
        }

        /** {@inheritDoc} */
        @Override
        public void end(Delivery value) {
            delivery.complete(value);
        }

        /** {@inheritDoc} */
        @Override
        public void failed(Failure cause) {
            delivery.completeExceptionally(new IllegalStateException(cause.toString()));
        }
    }

    /** A protocol that names the request in a header. */
    private static final class Protocol implements TargetProtocol {

        /** {@inheritDoc} */
        @Override
        public FullHttpRequest request(TargetRequest outgoing, TargetEntry entry) {
            return new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, outgoing.uri());
        }

        /** {@inheritDoc} */
        @Override
        public TargetHead head(HttpResponse response) {
            String id = response.headers().get("X-Request-Id", "");
            boolean notRun = response.headers().contains("X-Not-Run");
            return new TargetHead(response.status().code(), id, notRun, false, true, false, false, 0);
        }
    }
}
