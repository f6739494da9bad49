package org.tanagermoor.gateway;

import com.codahale.metrics.MetricRegistry;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import org.tanagermoor.kernel.setting.Address;

/** Serves the metrics of the process over HTTP, in the text format of Prometheus. */
final class MetricsListener {

    /** The maximum size of a request's body in bytes; requests for metrics have none. */
    private static final int MAX_BODY_BYTES = 1_024;

    private static final String PATH = "/metrics";

    private final Channel channel;

    private MetricsListener(EventLoopGroup group, Address address, MetricRegistry registry) {
        channel = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    /** {@inheritDoc} */
                    @Override
                    protected void initChannel(Channel connection) {
                        connection
                                .pipeline()
                                .addLast(
                                        new HttpServerCodec(),
                                        new HttpObjectAggregator(MAX_BODY_BYTES),
                                        new Handler(registry));
                    }
                })
                .bind(address.toSocketAddress())
                .syncUninterruptibly()
                .channel();
    }

    /** Returns a listener that accepts connections on an address. */
    static MetricsListener of(EventLoopGroup group, Address address, MetricRegistry registry) {
        return new MetricsListener(group, address, registry);
    }

    /** Returns the port on which it listens, which the system chooses for an address with port 0. */
    int port() {
        return ((java.net.InetSocketAddress) channel.localAddress()).getPort();
    }

    /** Stops accepting connections. */
    void close() {
        channel.close();
    }

    /** Answers requests, one per connection. */
    private static final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {

        private final MetricRegistry registry;

        Handler(MetricRegistry registry) {
            this.registry = registry;
        }

        /** {@inheritDoc} */
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            boolean pathFound = request.uri().equals(PATH);
            byte[] body = (pathFound ? MetricsText.of(registry) : "").getBytes(StandardCharsets.UTF_8);
            FullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1,
                    pathFound ? HttpResponseStatus.OK : HttpResponseStatus.NOT_FOUND,
                    Unpooled.wrappedBuffer(body));
            response.headers().set("Content-Type", "text/plain; version=0.0.4").set("Content-Length", body.length);
            context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
        }
    }
}
