package org.tanagermoor.gateway.forward;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * Closes an idle connection on which bytes have arrived. Those of an unfinished head would wait in the decoder, and the
 * head of the next answer would be joined to them. Confined to the event loop.
 */
final class IdleConnectionGuard extends ChannelInboundHandlerAdapter {

    private final TargetConnection connection;

    private boolean receivedWhileIdle;

    IdleConnectionGuard(TargetConnection connection) {
        this.connection = connection;
    }

    /** {@inheritDoc} */
    @Override
    public void channelRead(ChannelHandlerContext context, Object bytes) {
        receivedWhileIdle |= connection.idle();
        context.fireChannelRead(bytes);
    }

    /** {@inheritDoc} */
    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        context.fireChannelReadComplete();
        if (receivedWhileIdle) {
            context.close();
        }
    }
}
