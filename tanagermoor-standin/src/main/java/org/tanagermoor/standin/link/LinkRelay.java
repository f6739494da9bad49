package org.tanagermoor.standin.link;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.tanagermoor.kernel.setting.Address;

/** A TCP relay that forwards connections from one address to another, and can cut, freeze and delay them. */
public final class LinkRelay implements AutoCloseable {

    /** The time for stopping. */
    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(2);

    /** The address to which connections are forwarded. */
    private final Address forwardAddress;

    /** The threads that forward. One thread keeps both directions of each connection in order. */
    private final EventLoopGroup threads = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    /** The open channels of connections. */
    private final ChannelGroup channels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);

    /** The directions of open connections. */
    private final Set<Pipe> pipes = ConcurrentHashMap.newKeySet();

    /** The listening channel. */
    private final Channel listener;

    /** What happens to new connections. */
    private volatile Mode mode = Mode.FORWARD;

    /** The delay of each direction in nanoseconds. */
    private volatile long delay;

    /**
     * Starts a relay.
     *
     * @param address The address on which to listen.
     * @param forwardAddress The address to which connections are forwarded.
     */
    private LinkRelay(Address address, Address forwardAddress) {
        this.forwardAddress = forwardAddress;
        listener = new ServerBootstrap()
                .group(threads)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.AUTO_READ, false)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(initializer(this::accepted))
                .bind(address.toSocketAddress())
                .syncUninterruptibly()
                .channel();
    }

    /**
     * Starts a relay.
     *
     * @param address The address on which to listen; port 0 lets the system choose one.
     * @param forwardAddress The address to which connections are forwarded.
     * @return A running relay.
     */
    public static LinkRelay start(Address address, Address forwardAddress) {
        return new LinkRelay(address, forwardAddress);
    }

    /**
     * Returns the address on which this relay listens.
     *
     * @return The address on which this relay listens.
     */
    public Address address() {
        InetSocketAddress bound = (InetSocketAddress) listener.localAddress();
        return Address.of(bound.getAddress().getHostAddress(), bound.getPort());
    }

    /** Resets all open connections. New connections are not affected. */
    public void cut() {
        channels.forEach(Pipe::reset);
    }

    /** Resets all open connections, and new ones until {@link #heal()} is called. */
    public void refuse() {
        mode = Mode.REFUSE;
        cut();
    }

    /**
     * Makes all open connections silent for good, in both directions and without closing them.
     *
     * @param newConnectionsWork Whether new connections work; if not, they are silent for good until {@link #heal()}
     *     is called.
     */
    public void freeze(boolean newConnectionsWork) {
        mode = newConnectionsWork ? Mode.FORWARD : Mode.FREEZE;
        pipes.forEach(Pipe::freeze);
    }

    /**
     * Delays what is forwarded from now on, in order.
     *
     * @param value The delay of each direction.
     */
    public void delay(Duration value) {
        delay = value.toNanos();
    }

    /** Lets new connections work without delay. Connections that are silent stay so. */
    public void heal() {
        mode = Mode.FORWARD;
        delay = 0;
    }

    /**
     * Returns the number of open channels, two for each connection.
     *
     * @return The number of open channels.
     */
    public int openChannels() {
        return channels.size();
    }

    /** Waits until this relay is closed. */
    void await() {
        listener.closeFuture().syncUninterruptibly();
    }

    /** Stops listening and resets all connections. */
    @Override
    public void close() {
        if (threads.isShuttingDown()) {
            return;
        }
        listener.close().syncUninterruptibly();
        cut();
        threads.shutdownGracefully(0, STOP_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
                .awaitUninterruptibly(STOP_TIMEOUT.toMillis());
    }

    /**
     * Takes in a new connection.
     *
     * @param front The channel towards the side that connected.
     */
    private void accepted(Channel front) {
        Mode present = mode;
        if (present == Mode.REFUSE) {
            Pipe.reset(front);
            return;
        }
        Pipe request = adopt(front);
        if (present == Mode.FREEZE) {
            request.freeze();
            front.config().setAutoRead(true);
        } else {
            connect(front, request);
        }
    }

    /**
     * Connects to the address to which connections are forwarded.
     *
     * @param front The channel towards the side that connected.
     * @param request The direction from it.
     */
    private void connect(Channel front, Pipe request) {
        ChannelFuture connecting = new Bootstrap()
                .group(front.eventLoop())
                .channel(NioSocketChannel.class)
                .option(ChannelOption.AUTO_READ, false)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(initializer(back -> adopt(back).connect(front)))
                .connect(forwardAddress.toSocketAddress());
        connecting.addListener(result -> {
            Channel back = connecting.channel();
            if (!result.isSuccess() || !front.isOpen()) {
                Pipe.reset(front);
                Pipe.reset(back);
                return;
            }
            request.connect(back);
            front.config().setAutoRead(true);
            back.config().setAutoRead(true);
        });
    }

    /**
     * Adds a channel to those that can be cut and frozen.
     *
     * @param channel The channel.
     * @return The direction from it.
     */
    private Pipe adopt(Channel channel) {
        Pipe pipe = new Pipe(() -> delay);
        channel.pipeline().addLast(pipe);
        channels.add(channel);
        pipes.add(pipe);
        channel.closeFuture().addListener(closed -> pipes.remove(pipe));
        return pipe;
    }

    /**
     * Returns an initializer of channels.
     *
     * @param action What to do with a new channel.
     * @return The initializer.
     */
    private static ChannelInitializer<Channel> initializer(Consumer<Channel> action) {
        return new ChannelInitializer<>() {

            /** {@inheritDoc} */
            @Override
            protected void initChannel(Channel channel) {
                action.accept(channel);
            }
        };
    }

    /** What happens to new connections. */
    private enum Mode {

        /** They are forwarded. */
        FORWARD,

        /** They are accepted and silent. */
        FREEZE,

        /** They are reset. */
        REFUSE
    }
}
