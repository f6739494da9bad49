package org.tanagermoor.gateway.edge;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.tanagermoor.kernel.event.EventLog;

final class CallerConnectionTest {

    private final CallTracker active = CallTracker.of();

    private final List<Responder> responders = new ArrayList<>();

    /** The promises of the writes that the network has not accepted yet. */
    private final List<ChannelPromise> unwritten = new ArrayList<>();

    private boolean leaving;

    private final CallerConnection connection = new CallerConnection(
            (request, responder) -> {
                responders.add(responder);
                return Call.NO_OP;
            },
            () -> leaving,
            active,
            new EventLog.Disabled());

    /** The connection was closed after the first answer, and the requests behind it got none. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void answersPipelinedRequestsBeforeItClosesTheConnection(boolean stops) {
        EmbeddedChannel channel = new EmbeddedChannel(connection);
        channel.writeInbound(request(), request());
        leaving = stops;
        responders.get(0).full(response());
        FullHttpResponse first = channel.readOutbound();
        assertThat(HttpUtil.isKeepAlive(first), is(true));
        responders.get(1).full(response());
        FullHttpResponse second = channel.readOutbound();
        assertThat(HttpUtil.isKeepAlive(second), is(!stops));
        assertThat(channel.isOpen(), is(!stops));
        channel.close();
    }

    /** An answer whose last bytes wait for a slow caller counts until they are written or its connection ends. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void countsAnAnswerUntilItIsWritten(boolean callerLeaves) {
        EmbeddedChannel channel = new EmbeddedChannel(new SlowNetwork(), connection);
        channel.writeInbound(request());
        assertThat(active.count(), is(1));
        responders.get(0).full(response());
        assertThat(active.count(), is(1));
        if (callerLeaves) {
            channel.close();
            unwritten.get(0).setFailure(new java.nio.channels.ClosedChannelException());
        } else {
            unwritten.get(0).setSuccess();
        }
        assertThat(active.count(), is(0));
        channel.close();
    }

    /**
     * Requests that wait behind another one of their connection were not counted, so that an instance that stops could
     * end between two answers.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 16, 17})
    void countsRequestsThatWaitForAnEarlierOne(int requests) {
        EmbeddedChannel channel = new EmbeddedChannel(connection);
        for (int request = 0; request < requests; request++) {
            channel.writeInbound(request());
        }
        for (int answered = 0; answered < requests; answered++) {
            assertThat(active.count(), is(requests - answered));
            responders.get(answered).full(response());
        }
        assertThat(active.count(), is(0));
        channel.close();
    }

    /** Requests that wait for an earlier one are counted off when their connection ends, also if there are too many. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 17, 18, 19})
    void countsOffRequestsWhoseConnectionEnds(int requests) {
        EmbeddedChannel channel = new EmbeddedChannel(connection);
        for (int request = 0; request < requests && channel.isOpen(); request++) {
            channel.writeInbound(request());
        }
        assertThat(channel.isOpen(), is(requests <= 17));
        channel.close();
        responders.get(0).full(response());
        assertThat(active.count(), is(0));
    }

    /** A caller that leaves, or whose answer is aborted, is counted off once. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void countsOffOnce(boolean aborted) {
        EmbeddedChannel channel = new EmbeddedChannel(connection);
        channel.writeInbound(request());
        if (aborted) {
            responders.get(0).abort();
        }
        channel.close();
        responders.get(0).abort();
        assertThat(active.count(), is(0));
    }

    /** A call that has not ended is told by when it must. */
    @Test
    void passesOnTheEnd() {
        List<Long> ends = new ArrayList<>();
        Call call = new Call() {
            /** {@inheritDoc} */
            @Override
            public void left() {
                // Nothing runs.
            }

            /** {@inheritDoc} */
            @Override
            public void writable(boolean value) {
                // Nothing is written.
            }

            /** {@inheritDoc} */
            @Override
            public void endBy(long nanos) {
                ends.add(nanos);
            }
        };
        CallerConnection waiting = new CallerConnection(
                (request, responder) -> {
                    responders.add(responder);
                    return call;
                },
                () -> leaving,
                active,
                new EventLog.Disabled());
        EmbeddedChannel channel = new EmbeddedChannel(waiting);
        channel.writeInbound(request());
        active.endBy(7);
        responders.get(0).full(response());
        active.endBy(8);
        assertThat(ends, contains(7L));
        channel.close();
    }

    private static FullHttpRequest request() {
        return new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");
    }

    private static FullHttpResponse response() {
        return new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK, Unpooled.EMPTY_BUFFER);
    }

    /** A network that accepts no bytes until the test says so. */
    private final class SlowNetwork extends ChannelOutboundHandlerAdapter {

        /** {@inheritDoc} */
        @Override
        public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
            unwritten.add(promise);
        }
    }
}
