package org.tanagermoor.gateway.edge;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.TooLongHttpContentException;

/**
 * Joins the parts of requests. A request that is too long is passed on without its body, so that its refusal is sent
 * only after the answers to earlier requests on the connection.
 */
final class RequestAggregator extends HttpObjectAggregator {

    RequestAggregator(int maxBodyBytes) {
        super(maxBodyBytes);
    }

    /** {@inheritDoc} */
    @Override
    protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) {
        DefaultFullHttpRequest request = new DefaultFullHttpRequest(oversized.protocolVersion(), HttpMethod.POST, "/");
        HttpUtil.setKeepAlive(request, HttpUtil.isKeepAlive(oversized));
        request.setDecoderResult(DecoderResult.failure(new TooLongHttpContentException("the body is too long")));
        context.fireChannelRead(request);
    }

    /** Returns whether a request was passed on without its body because it is too long. */
    static boolean tooLong(HttpMessage request) {
        return request.decoderResult().cause() instanceof TooLongHttpContentException;
    }
}
