package org.tanagermoor.gateway.edge;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFuture;
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
import java.util.function.BooleanSupplier;
import org.jspecify.annotations.Nullable;
import org.tanagermoor.gateway.GatewayEvent;
import org.tanagermoor.kernel.event.EventLog;

/** The connection of a caller. Requests on it are answered one at a time. Confined to the event loop. */
final class CallerConnection extends ChannelInboundHandlerAdapter {

    /** The maximum number of requests that may wait for the answer to an earlier one. */
    private static final int MAX_PIPELINED_REQUESTS = 16;

    private final CallHandler handler;

    /** Whether connections are closed after the current answer because the instance is leaving. */
    private final BooleanSupplier leaving;

    /** The requests that are being answered, over all connections. */
    private final CallTracker active;

    private final EventLog events;

    /** The requests that wait for the answer to an earlier one. */
    private final Deque<FullHttpRequest> waiting = new ArrayDeque<>();

    /** {@code null} while no request is being answered. */
    @Nullable
    private Exchange current;

    CallerConnection(CallHandler handler, BooleanSupplier leaving, CallTracker active, EventLog events) {
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
            active.arrived();
            startExchange(context, request);
        } else if (waiting.size() < MAX_PIPELINED_REQUESTS) {
            active.arrived();
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
        for (FullHttpRequest request : waiting) {
            active.written();
            ReferenceCountUtil.release(request);
        }
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

    private void startExchange(ChannelHandlerContext context, FullHttpRequest request) {
        boolean decoded = request.decoderResult().isSuccess() || RequestAggregator.tooLong(request);
        Exchange exchange = new Exchange(context, decoded && HttpUtil.isKeepAlive(request));
        current = exchange;
        try {
            exchange.started(handler.handle(request, exchange));
        } finally {
            ReferenceCountUtil.release(request);
        }
    }

    /** Starts the next waiting request after an answer. */
    private void next(ChannelHandlerContext context) {
        current = null;
        FullHttpRequest request = waiting.poll();
        if (request != null) {
            startExchange(context, request);
        }
    }

    /** Answers the requests that arrive on a connection. */
    interface CallHandler {

        /**
         * Begins to answer a request.
         *
         * @param request The request, which the connection releases after this method returns.
         * @param responder Receives the answer.
         * @return The call, which is notified if the caller leaves.
         */
        Call handle(FullHttpRequest request, Responder responder);
    }

    /** One request and its answer. */
    private final class Exchange implements Responder {

        private final ChannelHandlerContext context;

        /** Whether the caller wants to send further requests on the connection. */
        private final boolean keepAlive;

        private Call call = Call.NO_OP;

        /** Whether the answer has ended or the caller has left. */
        private boolean done;

        /** Whether the connection is closed after the answer. */
        private boolean closing;

        Exchange(ChannelHandlerContext context, boolean keepAlive) {
            this.context = context;
            this.keepAlive = keepAlive;
        }

        private void ended() {
            done = true;
            active.remove(call);
        }

        /** Sets the call to notify, unless the answer has already ended. */
        void started(Call value) {
            if (!done) {
                call = value;
                active.add(value);
            }
        }

        void callerLeft() {
            if (!done) {
                ended();
                active.written();
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
            if (!done) {
                ended();
                active.written();
            }
            context.close();
        }

        /** {@inheritDoc} */
        @Override
        public boolean writable() {
            return context.channel().isWritable();
        }

        /** Sets the headers that state whether the connection is kept. */
        private void prepare(HttpResponse response) {
            // Requests that have arrived are answered before the connection is closed.
            closing = !keepAlive || (leaving.getAsBoolean() && waiting.isEmpty());
            HttpUtil.setKeepAlive(response, !closing);
        }

        /** Writes the last part of the answer. */
        private void finish(Object last) {
            ended();
            ChannelFuture write = context.writeAndFlush(last);
            write.addListener(done -> active.written());
            if (closing) {
                write.addListener(ChannelFutureListener.CLOSE);
            } else {
                next(context);
            }
        }
    }
}
