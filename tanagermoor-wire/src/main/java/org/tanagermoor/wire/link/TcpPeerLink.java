package org.tanagermoor.wire.link;

import com.google.protobuf.ByteString;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReferenceArray;
import java.util.concurrent.atomic.LongAdder;
import org.jspecify.annotations.Nullable;
import org.tanagermoor.kernel.event.EventLog;
import org.tanagermoor.kernel.failure.Execution;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.kernel.setting.Address;
import org.tanagermoor.kernel.time.HybridTimestamp;
import org.tanagermoor.kernel.time.TimeSource;
import org.tanagermoor.policy.fleet.InstanceId;
import org.tanagermoor.wire.proto.Frame;
import org.tanagermoor.wire.proto.LinkFailure;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;

/**
 * A link over TCP. It keeps one connection to each peer to which it sends requests, and replaces a connection that has
 * become silent.
 */
public final class TcpPeerLink implements PeerLink, AutoCloseable {

    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

    /** The time after which a connection that receives no answers is replaced. */
    static final long SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

    /** The event loop of all connections, which has one thread. */
    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("peer-link", true), NioIoHandler.newFactory());

    /** Runs timeouts on the event loop, so that they wake no thread of their own. */
    private final Scheduler timer = Schedulers.fromExecutorService(group.next());

    private final InstanceId self;

    /** The log; each frame carries a time stamp of its clock. */
    private final EventLog events;

    private final TimeSource time;

    /** The handlers by the number of their channel. */
    private final AtomicReferenceArray<@Nullable PeerHandler> handlers =
            new AtomicReferenceArray<>(Channel.MAX_CHANNELS);

    /** The latest connection to each peer to which this instance has sent requests; it may be closed. */
    private final Map<Address, PeerConnection> connections = new ConcurrentHashMap<>();

    /** The total size of the frames that were sent and received, including their lengths. */
    private final LongAdder bytes = new LongAdder();

    private final AtomicBoolean closed = new AtomicBoolean();

    /** The Netty channel that listens for connections of peers. */
    private final io.netty.channel.Channel server;

    private TcpPeerLink(InstanceId self, Address address, EventLog events, TimeSource time) {
        this.self = self;
        this.events = events;
        this.time = time;
        server = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new FrameInitializer(this))
                .bind(address.toSocketAddress())
                .syncUninterruptibly()
                .channel();
    }

    /**
     * Creates a link and starts to listen.
     *
     * @param self The identity of this instance.
     * @param address The address on which to listen.
     * @param events The log; each frame carries a time stamp of its clock.
     */
    public static TcpPeerLink of(InstanceId self, Address address, EventLog events, TimeSource time) {
        return new TcpPeerLink(self, address, events, time);
    }

    /** {@inheritDoc} */
    @Override
    public void handle(Channel channel, PeerHandler handler) {
        handlers.set(channel.number(), handler);
    }

    /** {@inheritDoc} */
    @Override
    public Mono<Either<Failure, byte[]>> call(
            Address address, long incarnation, Channel channel, byte[] request, Duration timeout) {
        return Mono.defer(() -> connection(address).call(incarnation, channel, request, timeout));
    }

    /** {@inheritDoc} */
    @Override
    public Address address() {
        InetSocketAddress bound = (InetSocketAddress) server.localAddress();
        return Address.of(bound.getAddress().getHostAddress(), bound.getPort());
    }

    /** {@inheritDoc} */
    @Override
    public long bytes() {
        return bytes.sum();
    }

    /**
     * Returns the event loop of all connections. What reacts to requests and answers of peers on this loop needs no
     * hand-over between threads.
     */
    public EventLoopGroup group() {
        return group;
    }

    /** Returns the scheduler of timeouts. */
    Scheduler timer() {
        return timer;
    }

    /** Closes all connections and stops listening. */
    @Override
    public void close() {
        if (!closed.compareAndSet(false, true)) {
            return;
        }
        server.close().syncUninterruptibly();
        connections.values().forEach(PeerConnection::close);
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    InstanceId self() {
        return self;
    }

    /** Returns the current monotonic time in nanoseconds. */
    long now() {
        return time.nanos();
    }

    /** Counts bytes that were sent or received. */
    void count(int count) {
        bytes.add(count);
    }

    /**
     * Returns a builder of a frame with a new time stamp of the clock.
     *
     * @param exchange The ID of the exchange.
     */
    Frame.Builder frame(Frame.Kind kind, int exchange) {
        HybridTimestamp timestamp = events.clock().next(time.wallMillis());
        return Frame.newBuilder()
                .setKind(kind)
                .setExchange(exchange)
                .setClockMillis(timestamp.millis())
                .setClockCounter(timestamp.counter());
    }

    /** Adjusts the clock to the time stamp of a received frame, so that later events get later time stamps. */
    void observe(Frame frame) {
        events.clock().observe(new HybridTimestamp(frame.getClockMillis(), frame.getClockCounter()), time.wallMillis());
    }

    /**
     * Starts to connect to a peer.
     *
     * @param initializer Sets up the pipeline of the channel.
     * @return The channel, which may not be connected yet.
     */
    io.netty.channel.ChannelFuture connect(Address address, FrameInitializer initializer) {
        return new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(initializer)
                .connect(address.toSocketAddress());
    }

    /**
     * Answers a request. Requests for another incarnation or for a channel without a handler fail without being run.
     *
     * @param from The identity that the sender claims.
     * @param frame The request.
     * @return The frame to send back.
     */
    Mono<Frame> answer(InstanceId from, Frame frame) {
        if (frame.getReceiverIncarnation() != ANY_INCARNATION && frame.getReceiverIncarnation() != self.incarnation()) {
            return Mono.just(failure(
                    frame.getExchange(),
                    Failure.notRun(
                            Failure.Kind.UNAVAILABLE,
                            "link.receive",
                            self.toString(),
                            "the request is for another incarnation")));
        }
        PeerHandler handler = handler(frame.getChannel());
        if (handler == null) {
            return Mono.just(failure(
                    frame.getExchange(),
                    Failure.notRun(
                            Failure.Kind.NOT_FOUND,
                            "link.receive",
                            self.toString(),
                            "no handler is set for the channel")));
        }
        return Mono.defer(() -> handler.handle(from, frame.getPayload().toByteArray()))
                .onErrorResume(error -> Mono.just(Either.left(
                        Failure.unknown(Failure.Kind.INTERNAL, "link.handle", self.toString(), String.valueOf(error)))))
                .map(result -> result.fold(
                        failure -> failure(frame.getExchange(), failure),
                        payload -> frame(Frame.Kind.RESPONSE, frame.getExchange())
                                .setPayload(ByteString.copyFrom(payload))
                                .build()));
    }

    /**
     * Reads the answer or the failure that a frame carries.
     *
     * @param peer The peer that sent it, for the failure.
     */
    static Either<Failure, byte[]> result(Frame frame, String peer) {
        if (frame.getKind() == Frame.Kind.RESPONSE) {
            return Either.right(frame.getPayload().toByteArray());
        }
        LinkFailure failure = frame.getFailure();
        return Either.left(new Failure(
                kind(failure.getKind()),
                failure.getStep(),
                peer,
                failure.getDetail(),
                failure.getMayHaveRun() ? Execution.UNKNOWN : Execution.NOT_RUN));
    }

    /** Returns the connection to a peer. Replaces a connection that is closed or silent. */
    private PeerConnection connection(Address address) {
        long now = time.nanos();
        PeerConnection connection = connections.compute(
                address,
                (key, existing) -> existing != null && existing.usable(now) ? existing : new PeerConnection(this, key));
        connection.open();
        return connection;
    }

    /**
     * Returns the handler of a channel, or {@code null} if there is none.
     *
     * @param number The number of the channel, which may be unknown here.
     */
    @Nullable
    private PeerHandler handler(int number) {
        return number >= 0 && number < Channel.MAX_CHANNELS ? handlers.get(number) : null;
    }

    /** Returns a frame that carries a failure. */
    private Frame failure(int exchange, Failure failure) {
        return frame(Frame.Kind.FAILURE, exchange)
                .setFailure(LinkFailure.newBuilder()
                        .setKind(failure.kind().name())
                        .setStep(failure.step())
                        .setDetail(failure.detail())
                        .setMayHaveRun(failure.execution() == Execution.UNKNOWN))
                .build();
    }

    /**
     * Returns the kind of a failure by its name on the wire, or {@link Failure.Kind#INTERNAL} if the name is unknown
     * here.
     */
    private static Failure.Kind kind(String name) {
        for (Failure.Kind kind : Failure.Kind.values()) {
            if (kind.name().equals(name)) {
                return kind;
            }
        }
        return Failure.Kind.INTERNAL;
    }
}
