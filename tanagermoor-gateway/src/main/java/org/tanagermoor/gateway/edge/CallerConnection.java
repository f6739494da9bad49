package org.tanagermoor.gateway.edge;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.jspecify.annotations.Nullable;
import org.tanagermoor.gateway.GatewayEvent;
import org.tanagermoor.kernel.event.EventLog;

/** A connection of a caller, on which one request is answered at a time. Confined to the event loop. */
final class CallerConnection extends ChannelInboundHandlerAdapter {

    /** The most requests that may wait for the answer to an earlier one. */
    private static final int MAX_PIPELINED_REQUESTS = 16;

    /** Answers requests. */
    private final CallHandler handler;

    /** Whether connections are to be closed after the present answer. */
    private final BooleanSupplier leaving;

    /** Counts the requests that are being answered, over all connections. */
    private final AtomicInteger active;

    /** The log. */
    private final EventLog events;

    /** The requests that wait. */
    private final Deque<FullHttpRequest> waiting = new ArrayDeque<>();

    /** The request that is being answered, or {@code null}. */
    @Nullable
    private Exchange current;

    /** Creates a connection. */
    CallerConnection(CallHandler handler, BooleanSupplier leaving, AtomicInteger active, EventLog events) {
        this.active = active;
        this.handler = handler;
        this.leaving = leaving;
        this.events = events;
    }

    /** {@inheritDoc} */
    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        FullHttpRequest request = (FullHttpRequest) message;
        if (current == null) {
            startExchange(context, request);
        } else if (waiting.size() < MAX_PIPELINED_REQUESTS) {
            waiting.add(request);
        } else {
            ReferenceCountUtil.release(request);
            context.close();
        }
    }

    /** {@inheritDoc} */
    @Override
    public void channelInactive(ChannelHandlerContext context) {
        Exchange exchange = current;
        current = null;
        if (exchange != null) {
            exchange.callerLeft();
        }
        waiting.forEach(ReferenceCountUtil::release);
        waiting.clear();
    }

    /** {@inheritDoc} */
    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (current != null) {
            current.call.writable(context.channel().isWritable());
        }
    }

    /** {@inheritDoc} */
    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof IdleStateEvent && current == null) {
            context.close();
        }
    }

    /** {@inheritDoc} */
    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (!(cause instanceof java.io.IOException)) {
            events.record(GatewayEvent.CALLER_DEFECT, "error", cause);
        }
        context.close();
    }

    /** Begins to answer a request. */
    private void startExchange(ChannelHandlerContext context, FullHttpRequest request) {
        boolean decoded = request.decoderResult().isSuccess();
        Exchange exchange = new Exchange(context, decoded && HttpUtil.isKeepAlive(request));
        current = exchange;
        try {
            exchange.started(handler.handle(request, exchange));
        } finally {
            ReferenceCountUtil.release(request);
        }
    }

    /** Goes on with the next request after an answer. */
    private void next(ChannelHandlerContext context) {
        current = null;
        FullHttpRequest request = waiting.poll();
        if (request != null) {
            startExchange(context, request);
        }
    }

    /** Answers requests. */
    interface CallHandler {

        /**
         * Begins to answer a request.
         *
         * @param request The request, which is released afterwards.
         * @param responder Takes the answer.
         * @return The call.
         */
        Call handle(FullHttpRequest request, Responder responder);
    }

    /** The answer to one request. */
    private final class Exchange implements Responder {

        /** The context. */
        private final ChannelHandlerContext context;

        /** Whether the caller keeps the connection. */
        private final boolean keepAlive;

        /** The call. */
        private Call call = Call.NO_OP;

        /** Whether the answer has ended. */
        private boolean done;

        /** Whether the connection ends with the answer. */
        private boolean closing;

        /** Creates an answer. */
        Exchange(ChannelHandlerContext context, boolean keepAlive) {
            this.context = context;
            this.keepAlive = keepAlive;
            active.incrementAndGet();
        }

        /** Notes that the answer has ended. */
        private void ended() {
            if (!done) {
                done = true;
                active.decrementAndGet();
            }
        }

        /** Notes the call. */
        void started(Call value) {
            if (!done) {
                call = value;
            }
        }

        /** Tells the call that its caller has left. */
        void callerLeft() {
            if (!done) {
                ended();
                call.left();
            }
        }

        /** {@inheritDoc} */
        @Override
        public void full(FullHttpResponse response) {
            if (done) {
                ReferenceCountUtil.release(response);
                return;
            }
            prepare(response);
            HttpUtil.setContentLength(response, response.content().readableBytes());
            finish(response);
        }

        /** {@inheritDoc} */
        @Override
        public void head(HttpResponse response) {
            if (!done) {
                prepare(response);
                if (!HttpUtil.isContentLengthSet(response)) {
                    HttpUtil.setTransferEncodingChunked(response, true);
                }
                context.writeAndFlush(response, context.voidPromise());
            }
        }

        /** {@inheritDoc} */
        @Override
        public void body(ByteBuf content) {
            if (done) {
                content.release();
            } else {
                context.writeAndFlush(new DefaultHttpContent(content), context.voidPromise());
            }
        }

        /** {@inheritDoc} */
        @Override
        public void end() {
            if (!done) {
                finish(LastHttpContent.EMPTY_LAST_CONTENT);
            }
        }

        /** {@inheritDoc} */
        @Override
        public void abort() {
            ended();
            context.close();
        }

        /** {@inheritDoc} */
        @Override
        public boolean writable() {
            return context.channel().isWritable();
        }

        /** Sets what the head says of the connection. */
        private void prepare(HttpResponse response) {
            closing = !keepAlive || leaving.getAsBoolean();
            HttpUtil.setKeepAlive(response, !closing);
        }

        /** Writes the end of the answer. */
        private void finish(Object last) {
            ended();
            if (closing) {
                context.writeAndFlush(last).addListener(ChannelFutureListener.CLOSE);
            } else {
                context.writeAndFlush(last, context.voidPromise());
                next(context);
            }
        }
    }
}
