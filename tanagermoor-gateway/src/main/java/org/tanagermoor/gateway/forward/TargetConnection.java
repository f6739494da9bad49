package org.tanagermoor.gateway.forward;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;
import org.tanagermoor.gateway.fleet.TargetEntry;
import org.tanagermoor.kernel.failure.Failure;

/** A connection to a target that runs one exchange at a time. Confined to the event loop. */
final class TargetConnection extends ChannelInboundHandlerAdapter {

    /** The step that is named in failures. */
    private static final String STEP = "target.exchange";

    /** The first status that is not informational. */
    private static final int FIRST_FINAL_STATUS = 200;

    /**
     * The maximum number of bytes that are skipped before the answer to a request. It allows for some answers to
     * earlier requests, which targets in trouble send late. A target may also send such bytes without end.
     */
    private static final long MAX_SKIPPED_BYTES = 1L << 20;

    /** The number of bytes that the head of a skipped answer is counted as: the size of a short one. */
    private static final long SKIPPED_HEAD_BYTES = 256;

    /**
     * The time for which an answer is read whose request could not be written, in milliseconds: what a target sends
     * before it stops reading, such as a refusal, arrives within it.
     */
    private static final long UNWRITTEN_ANSWER_MILLIS = 100;

    /** An empty line, which receivers ignore before a request. */
    private static final byte[] EMPTY_LINE = "\r\n".getBytes(StandardCharsets.US_ASCII);

    /** Matches the status line of another answer inside a head. */
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/\\d\\.\\d \\d{3}");

    private final TargetEntry target;

    private final TargetProtocol protocol;

    /** Called with this connection when it becomes idle. */
    private final Consumer<TargetConnection> onIdle;

    /** Called with this connection when it ended an answer that does not state its length. */
    private final Consumer<TargetConnection> onUnframedEnd;

    private final TargetObserver observer;

    /** {@code null} before the connection is established. */
    @Nullable
    private ChannelHandlerContext context;

    /** The receiver of the current answer, or {@code null} if no exchange runs. */
    @Nullable
    private TargetListener listener;

    /** Whether the answer to the current request has no body. */
    private boolean bodiless;

    /** The identity of the current request. */
    private String id = "";

    /** The write of the current request, or {@code null} before the first request. */
    @Nullable
    private ChannelFuture requestWrite;

    /** The head of the current answer, or {@code null} before it has arrived. */
    @Nullable
    private TargetHead head;

    /** Whether an answer that belongs to another request, or an informational one, is being skipped. */
    private boolean skipping;

    /** The number of bytes that were skipped since the request was sent. */
    private long skippedBytes;

    /** The number of answers to other requests that were skipped since the request was sent. */
    private int skippedAnswers;

    /** Whether the current answer states where it ends. */
    private boolean framed;

    /** Whether the answer ended with the connection, and it is not known yet whether the target ended it. */
    private boolean endUnconfirmed;

    /** The number of requests that were sent over the connection. */
    private int requests;

    /**
     * Whether the connection can be reused after the current answer. It cannot after an answer that names no request: a
     * late second copy would look like the answer to the next request.
     */
    private boolean reusable;

    /** Whether the connection was reset or its bytes were invalid, rather than closed in order. */
    private boolean connectionFailed;

    /** How long the target keeps the connection while it is idle, in milliseconds; 0 if it did not say. */
    private long idleTimeoutMillis;

    /** The monotonic time in nanoseconds at which the connection became idle. */
    private long idleSince;

    TargetConnection(
            TargetEntry target,
            TargetProtocol protocol,
            Consumer<TargetConnection> onIdle,
            Consumer<TargetConnection> onUnframedEnd,
            TargetObserver observer) {
        this.target = target;
        this.protocol = protocol;
        this.onIdle = onIdle;
        this.onUnframedEnd = onUnframedEnd;
        this.observer = observer;
    }

    TargetEntry target() {
        return target;
    }

    /** Returns whether the target can send more on the connection. */
    boolean open() {
        return context != null && context.channel().isActive() && !inputEnded();
    }

    /** Returns whether the target has ended its side of the connection. */
    private boolean inputEnded() {
        return context != null && context.channel() instanceof DuplexChannel duplex && duplex.isInputShutdown();
    }

    /** Returns whether no exchange runs. */
    boolean idle() {
        return listener == null;
    }

    /** Returns whether the answer to the current request has no body, whatever its head says. */
    boolean bodiless() {
        return bodiless;
    }

    /** Records that the connection is idle from now on. */
    void idleSince(long now) {
        idleSince = now;
    }

    /** Returns the monotonic time in nanoseconds since which the connection has been idle. */
    long idleSince() {
        return idleSince;
    }

    /** Returns how long the target keeps the connection while it is idle, in milliseconds; 0 if it did not say. */
    long idleTimeoutMillis() {
        return idleTimeoutMillis;
    }

    /** Starts an exchange. The request is released, also if it cannot be sent. */
    void send(FullHttpRequest request, String requestId, TargetListener receiver) {
        listener = receiver;
        id = requestId;
        bodiless = request.method().equals(HttpMethod.HEAD);
        head = null;
        reusable = false;
        skippedBytes = 0;
        skippedAnswers = 0;
        requests++;
        if (context == null || !open()) {
            ReferenceCountUtil.release(request);
            fail(Failure.Kind.UNAVAILABLE, "not connected", false);
            return;
        }
        requestWrite = context.writeAndFlush(request);
        requestWrite.addListener(done -> {
            if (!done.isSuccess()) {
                failUnwritten(receiver);
            }
        });
    }

    /** Fails an exchange whose request could not be written, unless its answer is complete shortly after. */
    private void failUnwritten(TargetListener receiver) {
        if (context == null) {
            return;
        }
        context.executor()
                .schedule(
                        () -> {
                            if (listener == receiver) {
                                close(Failure.Kind.UNAVAILABLE, "the request could not be written");
                            }
                        },
                        UNWRITTEN_ANSWER_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    /** Closes the connection, and ends the exchange without waiting for its answer. */
    void cancel() {
        listener = null;
        if (context != null) {
            context.close();
        }
    }

    /** Resumes or pauses reading from the target. */
    void setReading(boolean value) {
        if (context != null) {
            context.channel().config().setAutoRead(value);
        }
    }

    /** {@inheritDoc} */
    @Override
    public void handlerAdded(ChannelHandlerContext value) {
        context = value;
    }

    /** {@inheritDoc} */
    @Override
    public void channelRead(ChannelHandlerContext value, Object message) {
        try {
            read((HttpObject) message);
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    /** {@inheritDoc} */
    @Override
    public void channelInactive(ChannelHandlerContext value) {
        if (!endUnconfirmed) {
            fail(Failure.Kind.UNAVAILABLE, "the connection was closed", true);
        }
    }

    /** {@inheritDoc} */
    @Override
    public void userEventTriggered(ChannelHandlerContext value, Object event) {
        if (event instanceof ChannelInputShutdownEvent && !endUnconfirmed) {
            close(Failure.Kind.UNAVAILABLE, "the connection was closed");
        }
        value.fireUserEventTriggered(event);
    }

    /** {@inheritDoc} */
    @Override
    public void exceptionCaught(ChannelHandlerContext value, Throwable cause) {
        connectionFailed = true;
        boolean ended = cause instanceof IOException;
        close(
                ended ? Failure.Kind.UNAVAILABLE : Failure.Kind.CORRUPT,
                "the connection failed: " + cause.getClass().getSimpleName());
    }

    /** Handles a part of an answer. */
    private void read(HttpObject message) {
        if (message.decoderResult().isFailure()) {
            connectionFailed = true;
            close(Failure.Kind.CORRUPT, "the bytes are no answer");
            return;
        }
        if (listener == null) {
            if (message instanceof HttpResponse response) {
                observer.answerSkipped(target, "", protocol.head(response));
            }
            close(Failure.Kind.CORRUPT, "the target sent an answer without a request");
            return;
        }
        if (message instanceof HttpResponse response) {
            receiveHead(response);
        }
        if (message instanceof HttpContent content) {
            receiveBody(content);
        }
    }

    /** Handles the head of an answer. */
    private void receiveHead(HttpResponse response) {
        if (joined(response)) {
            connectionFailed = true;
            close(Failure.Kind.CORRUPT, "the head of an answer goes on with that of another one");
            return;
        }
        TargetHead read = protocol.head(response);
        if (read.leaving()) {
            observer.leaving(target);
        }
        if (read.requestLimit().isPresent() && !read.misdirected()) {
            observer.requestLimit(target, read.requestLimit());
        }
        if (response.status().code() < FIRST_FINAL_STATUS) {
            skipping = true;
            countSkipped(SKIPPED_HEAD_BYTES);
            return;
        }
        boolean forOtherRequest = !read.id().isEmpty() && !read.id().equals(id);
        // Nothing else than this request can have caused a refusal on a new connection.
        boolean refusalOfThis = requests == 1 && (read.notRun() || read.misdirected());
        boolean anonymous = read.id().isEmpty() && !refusalOfThis;
        if (forOtherRequest) {
            skipping = true;
            skippedAnswers++;
            observer.answerSkipped(target, id, read);
            countSkipped(SKIPPED_HEAD_BYTES);
            return;
        }
        if (anonymous) {
            observer.answerSkipped(target, id, read);
            close(Failure.Kind.CORRUPT, "the answer does not name its request");
            return;
        }
        skipping = false;
        head = read;
        if (read.requestLimit().isEmpty() && read.signed() && !read.misdirected()) {
            observer.requestLimit(target, read.requestLimit());
        }
        framed = HttpUtil.isContentLengthSet(response) || HttpUtil.isTransferEncodingChunked(response);
        reusable = !read.id().isEmpty() && HttpUtil.isKeepAlive(response) && framed;
        idleTimeoutMillis = read.idleTimeoutMillis();
        if (listener != null) {
            listener.head(read, response);
        }
    }

    /** Returns whether the target stopped inside the head of an answer and went on with another answer. */
    private static boolean joined(HttpResponse response) {
        return STATUS_LINE.matcher(response.status().reasonPhrase()).find()
                || response.headers().entries().stream()
                        .anyMatch(
                                header -> STATUS_LINE.matcher(header.getValue()).find());
    }

    /** Counts bytes that belong to no request, and ends the exchange if there are too many. */
    private void countSkipped(long bytes) {
        skippedBytes += bytes;
        if (skippedBytes > MAX_SKIPPED_BYTES) {
            close(Failure.Kind.CORRUPT, "too many bytes that belong to no request");
        }
    }

    /** Handles a piece of the body. */
    private void receiveBody(HttpContent content) {
        if (skipping) {
            skipping = !(content instanceof LastHttpContent);
            countSkipped(content.content().readableBytes());
            return;
        }
        TargetListener receiver = listener;
        if (receiver == null || head == null) {
            return;
        }
        boolean last = content instanceof LastHttpContent;
        if (last && connectionFailed) {
            return;
        }
        if (content.content().isReadable()) {
            receiver.body(content.content());
        }
        if (last && listener == receiver) {
            finish(receiver);
        }
    }

    /**
     * Ends an exchange whose answer ended with the connection, and whose target still runs. A target that closed its
     * socket before it had read the request has reset the connection, which only a write shows once the end of its
     * output has been read.
     */
    void confirmEnd() {
        if (context == null || listener == null) {
            cancel();
            return;
        }
        context.pipeline()
                .firstContext()
                .writeAndFlush(Unpooled.wrappedBuffer(EMPTY_LINE))
                .addListener(done -> {
                    if (done.isSuccess()) {
                        endConfirmed();
                    } else {
                        denyEnd("the target reset the connection after its answer");
                    }
                });
    }

    private void endConfirmed() {
        TargetListener receiver = listener;
        cancel();
        if (receiver != null) {
            receiver.end(new Delivery(false, requests > 1, skippedAnswers));
        }
    }

    /** Fails an exchange whose answer ended with the connection, and may have been cut off. */
    void denyEnd(String detail) {
        close(Failure.Kind.UNAVAILABLE, detail);
    }

    /** Ends an exchange whose answer has ended. */
    private void finish(TargetListener receiver) {
        boolean requestWritten = requestWrite != null && requestWrite.isSuccess();
        if (!framed && !open()) {
            if (requestWritten) {
                endUnconfirmed = true;
                onUnframedEnd.accept(this);
            } else {
                close(Failure.Kind.UNAVAILABLE, "the answer ended before the request was written");
            }
            return;
        }
        listener = null;
        head = null;
        if (reusable && requestWritten && open()) {
            onIdle.accept(this);
        } else if (context != null) {
            context.close();
        }
        receiver.end(new Delivery(framed, requests > 1, skippedAnswers));
    }

    /** Closes the connection, and fails the current exchange as possibly run. */
    private void close(Failure.Kind kind, String detail) {
        if (context != null) {
            context.close();
        }
        fail(kind, detail, true);
    }

    /** Fails the current exchange, if there is one. The request may have run only if it was sent. */
    private void fail(Failure.Kind kind, String detail, boolean sent) {
        TargetListener receiver = listener;
        listener = null;
        if (receiver != null) {
            receiver.failed(
                    sent
                            ? Failure.unknown(kind, STEP, target.id(), detail)
                            : Failure.notRun(kind, STEP, target.id(), detail));
        }
    }
}
