package org.tanagermoor.standin.target;

import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelOption;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.util.AttributeKey;
import io.netty.util.concurrent.GlobalEventExecutor;
import reactor.core.publisher.Mono;

/** Lets faults strike the connections of a stand-in target. */
final class FaultInjector {

    /** Marks a connection that is never answered. */
    private static final AttributeKey<Boolean> SILENT = AttributeKey.valueOf(FaultInjector.class, "silent");

    /** The open connections. */
    private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);

    /** Turns the target cold. */
    private final Runnable restart;

    /** Makes the target stop to listen. */
    private final Runnable leave;

    /** Whether the target has gone, so that connections that are accepted on the way out are reset. */
    private volatile boolean gone;

    /**
     * Creates an injector.
     *
     * @param restart Turns the target cold.
     * @param leave Makes the target stop to listen.
     */
    FaultInjector(Runnable restart, Runnable leave) {
        this.restart = restart;
        this.leave = leave;
    }

    /**
     * Takes in a connection that was accepted.
     *
     * @param channel The connection, whose requests were not read yet.
     * @param faults The faults, of which one may strike the connection.
     */
    void accepted(Channel channel, Faults faults) {
        connections.add(channel);
        if (gone) {
            reset(channel);
            return;
        }
        faults.takeForConnection().ifPresent(fault -> {
            if (fault.kind() == Fault.Kind.SILENCE) {
                channel.attr(SILENT).set(true);
            } else {
                channel.eventLoop().execute(() -> strike(fault.kind(), channel));
            }
        });
    }

    /**
     * Returns whether a connection is never answered.
     *
     * @param channel The connection.
     * @return Whether it is never answered.
     */
    boolean isSilent(Channel channel) {
        return channel.hasAttr(SILENT);
    }

    /** Resets all connections, and those that are still accepted before the target has stopped to listen. */
    void leave() {
        gone = true;
        resetAll();
    }

    /** Resets all connections. */
    void resetAll() {
        connections.forEach(FaultInjector::reset);
    }

    /**
     * Strikes a connection in a way after which nothing more is sent on it.
     *
     * @param <T> The type of what would have been sent.
     * @param kind The kind of the fault.
     * @param channel The connection.
     * @return Never completes.
     */
    <T> Mono<T> strike(Fault.Kind kind, Channel channel) {
        Runnable action =
                switch (kind) {
                    case RESET -> () -> reset(channel);
                    case TRUNCATION -> channel::close;
                    case COLD -> restart;
                    case GONE -> leave;
                    case SILENCE, CROSSED, LATE -> () -> {};
                };
        action.run();
        return Mono.never();
    }

    /**
     * Resets a connection.
     *
     * @param channel The connection.
     */
    private static void reset(Channel channel) {
        try {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
        } catch (ChannelException exception) {
            // The connection is closed already.
            return;
        }
        channel.close();
    }
}
