package org.tanagermoor.standin.link;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.util.ReferenceCountUtil;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;

/** One direction of a connection: forwards what one channel receives to another. */
final class Pipe extends ChannelInboundHandlerAdapter {

    /** Returns the present delay in nanoseconds. */
    private final LongSupplier delay;

    /** The channel to which to forward, or {@code null} before it is connected. */
    @Nullable
    private volatile Channel target;

    /** Whether everything that is received is lost. */
    private volatile boolean frozen;

    /** The monotonic time of the last forwarding that is scheduled, in nanoseconds. Used by the event loop only. */
    private long lastDue = System.nanoTime();

    /**
     * Creates a direction that is not connected.
     *
     * @param delay Returns the present delay in nanoseconds.
     */
    Pipe(LongSupplier delay) {
        this.delay = delay;
    }

    /**
     * Sets the channel to which to forward.
     *
     * @param channel The channel.
     */
    void connect(Channel channel) {
        target = channel;
    }

    /** Loses everything that is received from now on. */
    void freeze() {
        frozen = true;
    }

    /** {@inheritDoc} */
    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        Channel channel = target;
        if (frozen || channel == null) {
            ReferenceCountUtil.release(message);
            return;
        }
        later(context, () -> forward(channel, message));
    }

    /** {@inheritDoc} */
    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        Channel channel = target;
        if (channel != null) {
            channel.config().setAutoRead(context.channel().isWritable());
        }
    }

    /** {@inheritDoc} */
    @Override
    public void channelInactive(ChannelHandlerContext context) {
        Channel channel = target;
        if (!frozen && channel != null) {
            later(context, () -> channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE));
        }
    }

    /** {@inheritDoc} */
    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        reset(context.channel());
        Channel channel = target;
        if (!frozen && channel != null) {
            reset(channel);
        }
    }

    /**
     * Closes a channel with a reset, by its own thread.
     *
     * @param channel The channel.
     */
    static void reset(Channel channel) {
        channel.eventLoop().execute(() -> {
            if (channel.isOpen()) {
                channel.config().setOption(ChannelOption.SO_LINGER, 0);
                channel.close();
            }
        });
    }

    /**
     * Forwards what was received, unless it is lost by now.
     *
     * @param channel The channel to which to forward.
     * @param message What was received.
     */
    private void forward(Channel channel, Object message) {
        if (frozen) {
            ReferenceCountUtil.release(message);
        } else {
            channel.writeAndFlush(message);
        }
    }

    /**
     * Runs an action after the present delay, and after all actions before it.
     *
     * @param context The context.
     * @param action The action.
     */
    private void later(ChannelHandlerContext context, Runnable action) {
        long now = System.nanoTime();
        lastDue = Math.max(lastDue, now + delay.getAsLong());
        if (lastDue - now <= 0) {
            action.run();
        } else {
            context.executor().schedule(action, lastDue - now, TimeUnit.NANOSECONDS);
        }
    }
}
