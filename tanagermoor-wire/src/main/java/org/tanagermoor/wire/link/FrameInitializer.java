package org.tanagermoor.wire.link;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufInputStream;
import io.netty.buffer.ByteBufOutputStream;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.MessageToByteEncoder;
import io.netty.handler.codec.MessageToMessageDecoder;
import java.io.IOException;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.tanagermoor.policy.fleet.InstanceId;
import org.tanagermoor.wire.proto.Frame;

/** Sets up the pipeline of a Netty channel that carries frames, each preceded by its length. */
final class FrameInitializer extends ChannelInitializer<SocketChannel> {

    private static final int MAX_FRAME_BYTES = 16 * 1024 * 1024;

    /** The number of bytes of the length that precedes a frame. */
    private static final int LENGTH_BYTES = 4;

    private final TcpPeerLink link;

    /** The connection on the requesting side, or {@code null} on the answering side. */
    @Nullable
    private final PeerConnection connection;

    /** Creates an initializer for the answering side. */
    FrameInitializer(TcpPeerLink link) {
        this(link, null);
    }

    /**
     * Creates an initializer.
     *
     * @param connection The connection on the requesting side, or {@code null} on the answering side.
     */
    FrameInitializer(TcpPeerLink link, @Nullable PeerConnection connection) {
        this.link = link;
        this.connection = connection;
    }

    /** {@inheritDoc} */
    @Override
    protected void initChannel(SocketChannel channel) {
        ChannelPipeline pipeline = channel.pipeline();
        pipeline.addLast(new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES));
        pipeline.addLast(new LengthFieldPrepender(LENGTH_BYTES));
        pipeline.addLast(new Decoder());
        pipeline.addLast(new Encoder());
        pipeline.addLast(connection == null ? new RequestReader() : new ResponseReader(connection));
    }

    /** Decodes frames, counts their bytes and adjusts the clock to their time stamps. */
    private final class Decoder extends MessageToMessageDecoder<ByteBuf> {

        /** {@inheritDoc} */
        @Override
        protected void decode(ChannelHandlerContext context, ByteBuf message, List<Object> out) throws IOException {
            link.count(message.readableBytes() + LENGTH_BYTES);
            Frame frame = Frame.parseFrom(new ByteBufInputStream(message));
            link.observe(frame);
            out.add(frame);
        }
    }

    /** Encodes frames and counts their bytes. */
    private final class Encoder extends MessageToByteEncoder<Frame> {

        /** {@inheritDoc} */
        @Override
        protected void encode(ChannelHandlerContext context, Frame message, ByteBuf out) throws IOException {
            try (ByteBufOutputStream stream = new ByteBufOutputStream(out)) {
                message.writeTo(stream);
            }
            link.count(out.readableBytes() + LENGTH_BYTES);
        }
    }

    /** Passes received requests to the link and sends its answers. */
    private final class RequestReader extends SimpleChannelInboundHandler<Frame> {

        /** The identity of the peer, which only the first frame of a connection carries. */
        private InstanceId sender = InstanceId.of("unknown", 0);

        /** {@inheritDoc} */
        @Override
        protected void channelRead0(ChannelHandlerContext context, Frame frame) {
            if (!frame.getSenderName().isEmpty()) {
                sender = InstanceId.of(frame.getSenderName(), frame.getSenderIncarnation());
            }
            if (frame.getKind() == Frame.Kind.REQUEST) {
                link.answer(sender, frame).subscribe(context::writeAndFlush);
            }
        }

        /** {@inheritDoc} */
        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    /** Passes received answers to the connection, and closes it when the channel fails. */
    private static final class ResponseReader extends SimpleChannelInboundHandler<Frame> {

        private final PeerConnection connection;

        private ResponseReader(PeerConnection connection) {
            this.connection = connection;
        }

        /** {@inheritDoc} */
        @Override
        protected void channelRead0(ChannelHandlerContext context, Frame frame) {
            connection.receive(frame);
        }

        /** {@inheritDoc} */
        @Override
        public void channelInactive(ChannelHandlerContext context) {
            connection.close();
        }

        /** {@inheritDoc} */
        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            connection.close();
        }
    }
}
