package org.tanagermoor.wire.link;

import com.google.protobuf.ByteString;
import io.netty.channel.ChannelFuture;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.jspecify.annotations.Nullable;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.kernel.setting.Address;
import org.tanagermoor.wire.proto.Frame;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;

/**
 * A connection over which this instance sends requests to a peer. An exchange is a request with its answer; its ID
 * matches the two. Safe for use by several threads.
 */
final class PeerConnection {

    private final TcpPeerLink link;

    private final Address address;

    /** The callers that wait for answers, by the ID of the exchange. */
    private final Map<Integer, MonoSink<Either<Failure, byte[]>>> pending = new ConcurrentHashMap<>();

    /** The ID of the last exchange. */
    private final AtomicInteger lastExchange = new AtomicInteger();

    /** Whether {@link #open} was called. */
    private final AtomicBoolean opened = new AtomicBoolean();

    /** Whether a frame with the identity of this instance was sent. */
    private final AtomicBoolean identitySent = new AtomicBoolean();

    private volatile boolean closed;

    /**
     * The monotonic time in nanoseconds since which an answer was due and nothing was received, or 0 if none is due.
     */
    private volatile long silentSince;

    /** The Netty channel, which may not be connected yet, or {@code null} before the connection is opened. */
    @Nullable
    private volatile ChannelFuture channel;

    /** Creates a connection that is not open yet. */
    PeerConnection(TcpPeerLink link, Address address) {
        this.link = link;
        this.address = address;
    }

    /** Opens the connection. Further calls have no effect. */
    void open() {
        if (opened.compareAndSet(false, true)) {
            ChannelFuture future = link.connect(address, new FrameInitializer(link, this));
            channel = future;
            future.addListener(done -> {
                if (!done.isSuccess()) {
                    close();
                }
            });
        }
    }

    /**
     * Returns whether requests can be sent. A connection that has been silent for too long is closed.
     *
     * @param now The current monotonic time in nanoseconds.
     */
    boolean usable(long now) {
        long unansweredSince = silentSince;
        if (unansweredSince != 0 && now - unansweredSince > TcpPeerLink.SILENCE_NANOS) {
            close();
        }
        return !closed;
    }

    /**
     * Sends a request and waits for the answer.
     *
     * @param incarnation The incarnation that must answer, or {@link PeerLink#ANY_INCARNATION}.
     * @param logicalChannel The channel of the request.
     * @param timeout The maximum time to wait.
     * @return The answer or a failure.
     */
    Mono<Either<Failure, byte[]>> call(long incarnation, Channel logicalChannel, byte[] request, Duration timeout) {
        int exchange = lastExchange.incrementAndGet();
        return Mono.<Either<Failure, byte[]>>create(sink -> send(exchange, incarnation, logicalChannel, request, sink))
                .timeout(
                        timeout,
                        Mono.fromSupplier(() -> Either.left(Failure.unknown(
                                Failure.Kind.TIMEOUT, "link.call", address.toString(), "no answer in time"))),
                        link.timer())
                .doFinally(signal -> pending.remove(exchange));
    }

    /** Passes an answer to the caller that waits for it. An answer to an exchange that timed out is dropped. */
    void receive(Frame frame) {
        silentSince = 0;
        MonoSink<Either<Failure, byte[]>> sink = pending.remove(frame.getExchange());
        if (sink != null) {
            sink.success(TcpPeerLink.result(frame, address.toString()));
        }
    }

    /** Closes the connection. The callers that still wait receive a failure. */
    void close() {
        closed = true;
        ChannelFuture future = channel;
        boolean connected = future != null && future.isSuccess();
        if (future != null) {
            future.channel().close();
        }
        for (Integer exchange : List.copyOf(pending.keySet())) {
            MonoSink<Either<Failure, byte[]>> sink = pending.remove(exchange);
            if (sink != null) {
                sink.success(Either.left(connected ? connectionLost() : unreachable()));
            }
        }
    }

    /**
     * Sends a request as soon as the Netty channel is connected.
     *
     * @param incarnation The incarnation that must answer, or {@link PeerLink#ANY_INCARNATION}.
     * @param logicalChannel The channel of the request.
     * @param sink Receives the answer.
     */
    private void send(
            int exchange,
            long incarnation,
            Channel logicalChannel,
            byte[] request,
            MonoSink<Either<Failure, byte[]>> sink) {
        ChannelFuture future = channel;
        if (closed || future == null) {
            sink.success(Either.left(unreachable()));
            return;
        }
        pending.put(exchange, sink);
        Frame.Builder frame = link.frame(Frame.Kind.REQUEST, exchange)
                .setChannel(logicalChannel.number())
                .setReceiverIncarnation(incarnation)
                .setPayload(ByteString.copyFrom(request));
        future.addListener(done -> {
            if (done.isSuccess()) {
                write(future, frame);
            } else {
                close();
            }
        });
    }

    /** Writes a request to a connected channel. */
    private void write(ChannelFuture future, Frame.Builder frame) {
        if (identitySent.compareAndSet(false, true)) {
            frame.setSenderName(link.self().name())
                    .setSenderIncarnation(link.self().incarnation());
        }
        if (silentSince == 0) {
            silentSince = link.now();
        }
        future.channel().writeAndFlush(frame.build()).addListener(writeResult -> {
            if (!writeResult.isSuccess()) {
                close();
            }
        });
    }

    /** Returns the failure of a request that was not sent. */
    private Failure unreachable() {
        return Failure.notRun(
                Failure.Kind.UNAVAILABLE, "link.connect", address.toString(), "there is no connection to the peer");
    }

    /** Returns the failure of a request whose answer was lost. */
    private Failure connectionLost() {
        return Failure.unknown(Failure.Kind.UNAVAILABLE, "link.call", address.toString(), "the connection was lost");
    }
}
