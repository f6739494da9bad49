package org.tanagermoor.gateway.forward;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.tanagermoor.gateway.fleet.TargetEntry;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.kernel.time.TimeSource;

/** The connections to targets. Idle ones are kept by target and used again. Confined to the event loop. */
public final class TargetConnections {

    /** The longest time for connecting in milliseconds: many round trips between failure domains. */
    private static final int CONNECT_TIMEOUT_MS = 400;

    /** How long an idle connection is used again if the target does not say, in milliseconds. */
    private static final long DEFAULT_IDLE_TIMEOUT_MILLIS = 3_000;

    /** The part of the time that the target names after which a connection is not used again. */
    private static final double IDLE_TIMEOUT_FRACTION = 0.7;

    /** The longest line and the most bytes of the headers of an answer. */
    private static final int MAX_HEAD_BYTES = 32_768;

    /** The event loop. */
    private final EventLoop loop;

    /** The protocol. */
    private final TargetProtocol protocol;

    /** The source of the present time. */
    private final TimeSource time;

    /** The idle connections by target. */
    private final Map<String, Deque<TargetConnection>> idle = new HashMap<>();

    /** The targets to which connections may be kept. */
    private Set<String> retainedTargets = Set.of();

    /** Creates connections. */
    private TargetConnections(EventLoop loop, TargetProtocol protocol, TimeSource time) {
        this.loop = loop;
        this.protocol = protocol;
        this.time = time;
    }

    /** Returns connections without any that is open. */
    public static TargetConnections of(EventLoop loop, TargetProtocol protocol, TimeSource time) {
        return new TargetConnections(loop, protocol, time);
    }

    /**
     * Sends a request.
     *
     * @param target The target.
     * @param targetRequest The request.
     * @param listener Receives the answer.
     * @return The exchange.
     */
    public Exchange send(TargetEntry target, TargetRequest targetRequest, TargetListener listener) {
        Exchange exchange = new Exchange();
        TargetConnection connection = pooled(target);
        if (connection != null) {
            exchange.connection = connection;
            connection.send(protocol.request(targetRequest, target), targetRequest.id(), listener);
            return exchange;
        }
        TargetConnection newConnection = new TargetConnection(target, protocol, this::release);
        FullHttpRequest request = protocol.request(targetRequest, target);
        connect(target, newConnection).addListener((ChannelFuture connectFuture) -> {
            if (exchange.cancelled) {
                ReferenceCountUtil.release(request);
                connectFuture.channel().close();
            } else if (connectFuture.isSuccess()) {
                exchange.connection = newConnection;
                newConnection.send(request, targetRequest.id(), listener);
            } else {
                ReferenceCountUtil.release(request);
                listener.failed(Failure.notRun(
                        Failure.Kind.UNAVAILABLE,
                        "target.connect",
                        target.id(),
                        String.valueOf(connectFuture.cause())));
            }
        });
        return exchange;
    }

    /** Keeps connections to some targets only, and closes the others that are idle. */
    public void retainOnly(Set<String> targets) {
        retainedTargets = targets;
        idle.forEach((target, connections) -> {
            if (!targets.contains(target)) {
                connections.forEach(TargetConnection::cancel);
            }
        });
        idle.keySet().retainAll(targets);
    }

    /** Opens a connection. */
    private ChannelFuture connect(TargetEntry target, TargetConnection handler) {
        return new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<Channel>() {
                    /** {@inheritDoc} */
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(new HttpClientCodec(MAX_HEAD_BYTES, MAX_HEAD_BYTES, MAX_HEAD_BYTES), handler);
                    }
                })
                .connect(target.address().toSocketAddress());
    }

    /** Returns an idle connection that is still good, or {@code null}. */
    @Nullable
    private TargetConnection pooled(TargetEntry target) {
        Deque<TargetConnection> connections = idle.get(target.id());
        while (connections != null && !connections.isEmpty()) {
            TargetConnection connection = connections.removeLast();
            if (connection.open() && connection.target().address().equals(target.address()) && !expired(connection)) {
                return connection;
            }
            connection.cancel();
        }
        return null;
    }

    /** Returns whether the target may have closed a connection. */
    private boolean expired(TargetConnection connection) {
        long advertisedMillis = connection.idleTimeoutMillis();
        long millis =
                advertisedMillis == 0 ? DEFAULT_IDLE_TIMEOUT_MILLIS : (long) (advertisedMillis * IDLE_TIMEOUT_FRACTION);
        return time.nanos() - connection.idleSince() > TimeUnit.MILLISECONDS.toNanos(millis);
    }

    /** Takes back a connection that is idle. */
    private void release(TargetConnection connection) {
        if (!retainedTargets.contains(connection.target().id())) {
            connection.cancel();
            return;
        }
        connection.idleSince(time.nanos());
        connection.setReading(true);
        idle.computeIfAbsent(connection.target().id(), target -> new ArrayDeque<>())
                .addLast(connection);
    }

    /** A request that is on its way. */
    public static final class Exchange {

        /** The connection, or {@code null} while it is being opened. */
        @Nullable
        private TargetConnection connection;

        /** Whether the answer is no longer wanted. */
        private boolean cancelled;

        /** Ends the exchange; its listener hears nothing more. */
        public void cancel() {
            cancelled = true;
            if (connection != null) {
                connection.cancel();
            }
        }

        /** Lets the target go on sending, or holds it back. */
        public void setReading(boolean value) {
            if (connection != null) {
                connection.setReading(value);
            }
        }
    }
}
