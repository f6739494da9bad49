package org.tanagermoor.gateway;

import com.codahale.metrics.MetricRegistry;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.tanagermoor.gateway.quarantine.PartQuarantine;
import org.tanagermoor.kernel.setting.Address;
import org.tanagermoor.policy.quarantine.QuarantineEntry;

/**
 * Serves operators over HTTP: the metrics of the process, in the text format of Prometheus; the parts of prompts that
 * are held back, one per line, where {@code DELETE} on a part releases it; and the roll-outs with their evidence.
 */
final class MetricsListener {

    /** The maximum size of a request's body in bytes; requests for metrics have none. */
    private static final int MAX_BODY_BYTES = 1_024;

    private static final String METRICS_PATH = "/metrics";

    private static final String QUARANTINE_PATH = "/quarantine";

    private static final String ROLLOUTS_PATH = "/rollouts";

    private final Channel channel;

    private MetricsListener(
            EventLoopGroup group,
            Address address,
            MetricRegistry registry,
            EventLoop loop,
            PartQuarantine quarantine,
            Supplier<String> rollouts) {
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
                                        new Handler(registry, loop, quarantine, rollouts));
                    }
                })
                .bind(address.toSocketAddress())
                .syncUninterruptibly()
                .channel();
    }

    /**
     * Returns a listener that accepts connections on an address.
     *
     * @param group The event loops of the connections.
     * @param address The address.
     * @param registry The metrics.
     * @param loop The event loop to which the quarantine and the roll-outs are confined.
     * @param quarantine The parts of prompts that are held back.
     * @param rollouts Describes the roll-outs.
     */
    static MetricsListener of(
            EventLoopGroup group,
            Address address,
            MetricRegistry registry,
            EventLoop loop,
            PartQuarantine quarantine,
            Supplier<String> rollouts) {
        return new MetricsListener(group, address, registry, loop, quarantine, rollouts);
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

        private final EventLoop loop;

        private final PartQuarantine quarantine;

        private final Supplier<String> rollouts;

        Handler(MetricRegistry registry, EventLoop loop, PartQuarantine quarantine, Supplier<String> rollouts) {
            this.registry = registry;
            this.loop = loop;
            this.quarantine = quarantine;
            this.rollouts = rollouts;
        }

        /** {@inheritDoc} */
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            HttpMethod method = request.method();
            String path = request.uri();
            if (path.equals(METRICS_PATH)) {
                answer(context, HttpResponseStatus.OK, MetricsText.of(registry));
            } else if (path.equals(QUARANTINE_PATH)) {
                loop.execute(() -> answer(context, HttpResponseStatus.OK, list(quarantine.held())));
            } else if (path.equals(ROLLOUTS_PATH)) {
                loop.execute(() -> answer(context, HttpResponseStatus.OK, rollouts.get()));
            } else if (path.startsWith(QUARANTINE_PATH + "/") && method.equals(HttpMethod.DELETE)) {
                String part = QueryStringDecoder.decodeComponent(path.substring(QUARANTINE_PATH.length() + 1));
                loop.execute(() -> answer(
                        context, quarantine.release(part) ? HttpResponseStatus.OK : HttpResponseStatus.NOT_FOUND, ""));
            } else {
                answer(context, HttpResponseStatus.NOT_FOUND, "");
            }
        }

        /** Returns one line for each part: its identity, the trials so far, and the evidence. */
        private static String list(List<QuarantineEntry> parts) {
            return parts.stream()
                    .map(entry -> entry.part() + " trials " + entry.trials() + ": " + entry.evidence() + "\n")
                    .collect(Collectors.joining());
        }

        private static void answer(ChannelHandlerContext context, HttpResponseStatus status, String text) {
            byte[] body = text.getBytes(StandardCharsets.UTF_8);
            FullHttpResponse response =
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(body));
            response.headers().set("Content-Type", "text/plain; version=0.0.4").set("Content-Length", body.length);
            context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
        }
    }
}
