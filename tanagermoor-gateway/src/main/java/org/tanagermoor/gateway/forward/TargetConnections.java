package org.tanagermoor.gateway.forward;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
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

/** The connections to all targets. Idle connections are pooled by target and reused. Confined to the event loop. */
public final class TargetConnections {

    /** The connect timeout in milliseconds: many round trips between failure domains. */
    private static final int CONNECT_TIMEOUT_MS = 400;

    /** How long an idle connection may be reused if the target does not say, in milliseconds. */
    private static final long DEFAULT_IDLE_TIMEOUT_MILLIS = 3_000;

    /**
     * The time for which the next connection to a target must stay open after an answer without a length, in
     * milliseconds: a process that ends resets the connections that it has not accepted yet.
     */
    private static final long CONFIRMATION_MILLIS = 20;

    /** The fraction of the target's idle timeout after which a connection is no longer reused. */
    private static final double IDLE_TIMEOUT_FRACTION = 0.7;

    /** The maximum size in bytes of the first line, of all headers, and of a chunk of an answer. */
    private static final int MAX_HEAD_BYTES = 32_768;

    private final EventLoop loop;

    private final TargetProtocol protocol;

    private final TimeSource time;

    private final TargetObserver observer;

    /** The idle connections by the identity of the target. */
    private final Map<String, Deque<TargetConnection>> idle = new HashMap<>();

    /** The identities of the targets to which idle connections may be kept. */
    private Set<String> retainedTargets = Set.of();

    private TargetConnections(EventLoop loop, TargetProtocol protocol, TimeSource time, TargetObserver observer) {
        this.loop = loop;
        this.protocol = protocol;
        this.time = time;
        this.observer = observer;
    }

    /**
     * Returns an empty pool of connections.
     *
     * @param loop The event loop on which all connections run.
     * @param protocol Encodes requests and decodes answers.
     * @param time The source of the current time.
     * @param observer Observes what targets send beside the answers to their requests.
     */
    public static TargetConnections of(
            EventLoop loop, TargetProtocol protocol, TimeSource time, TargetObserver observer) {
        return new TargetConnections(loop, protocol, time, observer);
    }

    /**
     * Sends a request to a target, over a pooled connection if there is one. The listener is called only after this
     * method has returned, also if the request cannot be sent.
     *
     * @param target The target that is to run the request.
     * @param targetRequest The request, whose body is not consumed.
     * @param listener Receives the answer or a failure.
     * @return The running exchange.
     */
    public Exchange send(TargetEntry target, TargetRequest targetRequest, TargetListener listener) {
        Exchange exchange = new Exchange();
        FullHttpRequest request = protocol.request(targetRequest, target);
        TargetConnection connection = pooled(target);
        if (connection != null) {
            exchange.connection = connection;
            loop.execute(() -> send(exchange, connection, request, targetRequest.id(), listener));
            return exchange;
        }
        TargetConnection newConnection = newConnection(target);
        // A connection that cannot be created fails at once.
        connect(target, newConnection)
                .addListener((ChannelFuture connectFuture) -> loop.execute(() -> {
                    if (exchange.cancelled) {
                        ReferenceCountUtil.release(request);
                        connectFuture.channel().close();
                    } else if (connectFuture.isSuccess()) {
                        exchange.connection = newConnection;
                        send(exchange, newConnection, request, targetRequest.id(), listener);
                    } else {
                        ReferenceCountUtil.release(request);
                        listener.failed(Failure.notRun(
                                Failure.Kind.UNAVAILABLE,
                                "target.connect",
                                target.id(),
                                String.valueOf(connectFuture.cause())));
                    }
                }));
        return exchange;
    }

    /** Sends a request over a connection, unless its answer is no longer wanted. */
    private static void send(
            Exchange exchange,
            TargetConnection connection,
            FullHttpRequest request,
            String requestId,
            TargetListener listener) {
        if (exchange.cancelled) {
            ReferenceCountUtil.release(request);
        } else {
            connection.send(request, requestId, listener);
        }
    }

    private TargetConnection newConnection(TargetEntry target) {
        return new TargetConnection(target, protocol, this::release, this::confirmEnd, observer);
    }

    /**
     * Confirms that a target ended an answer that does not state its length, by a connection for the next request. A
     * target that crashed has closed its connections in the same way, but takes no new ones.
     */
    private void confirmEnd(TargetConnection ended) {
        TargetConnection next = newConnection(ended.target());
        connect(ended.target(), next)
                .addListener((ChannelFuture connectFuture) -> loop.execute(() -> {
                    if (connectFuture.isSuccess()) {
                        loop.schedule(() -> confirmEnd(ended, next), CONFIRMATION_MILLIS, TimeUnit.MILLISECONDS);
                    } else {
                        ended.denyEnd("the answer ended as its target became unreachable: " + connectFuture.cause());
                    }
                }));
    }

    /** Confirms the end of an answer if the next connection is still open. */
    private void confirmEnd(TargetConnection ended, TargetConnection next) {
        if (next.open()) {
            release(next);
            ended.confirmEnd();
        } else {
            ended.denyEnd("the answer ended as its target closed the next connection");
        }
    }

    /** Closes idle connections to all targets but the given ones, now and in the future. */
    public void retainOnly(Set<String> targets) {
        retainedTargets = targets;
        idle.forEach((target, connections) -> {
            if (!targets.contains(target)) {
                connections.forEach(TargetConnection::cancel);
            }
        });
        idle.keySet().retainAll(targets);
    }

    private ChannelFuture connect(TargetEntry target, TargetConnection handler) {
        return new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .option(ChannelOption.TCP_NODELAY, true)
                // What was sent before a target closed its side, or stopped reading, is still read.
                .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .option(ChannelOption.AUTO_CLOSE, false)
                .handler(new ChannelInitializer<Channel>() {
                    /** {@inheritDoc} */
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(
                                        new IdleConnectionGuard(handler),
                                        new HttpRequestEncoder(),
                                        new TargetAnswerDecoder(MAX_HEAD_BYTES, handler::bodiless),
                                        handler);
                    }
                })
                .connect(target.address().toSocketAddress());
    }

    /** Returns an idle connection that can be reused, or {@code null} if there is none. */
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

    /** Returns whether the target may have closed a connection because it was idle for too long. */
    private boolean expired(TargetConnection connection) {
        long advertisedMillis = connection.idleTimeoutMillis();
        long millis =
                advertisedMillis == 0 ? DEFAULT_IDLE_TIMEOUT_MILLIS : (long) (advertisedMillis * IDLE_TIMEOUT_FRACTION);
        return time.nanos() - connection.idleSince() > TimeUnit.MILLISECONDS.toNanos(millis);
    }

    /** Adds an idle connection to the pool. */
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

    /** A request that was sent, or for which a connection is being opened. */
    public static final class Exchange {

        /** {@code null} while the connection is being opened. */
        @Nullable
        private TargetConnection connection;

        /** Whether the answer is no longer wanted. */
        private boolean cancelled;

        /** Ends the exchange; its listener is not called any more. */
        public void cancel() {
            cancelled = true;
            if (connection != null) {
                connection.cancel();
            }
        }

        /**
         * Resumes or pauses reading of the answer, to slow the target down.
         *
         * @param value Whether to read.
         */
        public void setReading(boolean value) {
            if (connection != null) {
                connection.setReading(value);
            }
        }
    }
}
