package org.tanagermoor.gateway.edge;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponse;

/** Sends the answer to one request of a caller: either in one piece, or as a head, pieces of the body and an end. */
interface Responder {

    /** Sends a complete answer. */
    void full(FullHttpResponse response);

    /** Sends the head of an answer, before pieces of its body. */
    void head(HttpResponse response);

    /** Sends a piece of the body. The responder releases it. */
    void body(ByteBuf content);

    /** Ends a complete answer. */
    void end();

    /** Aborts the answer by closing the connection, so that the caller does not take it for complete. */
    void abort();

    /** Returns whether the connection accepts more bytes. */
    boolean writable();
}
