package org.tanagermoor.gateway.forward;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import org.tanagermoor.kernel.failure.Failure;

/** Receives the answer to a request: a head, pieces of the body, then an end or a failure. */
public interface TargetListener {

    /**
     * Called with the head of the answer.
     *
     * @param head The head, decoded.
     * @param response The head as the target sent it.
     */
    void head(TargetHead head, HttpResponse response);

    /** Called with a piece of the body, which is released afterwards. */
    void body(ByteBuf content);

    /**
     * Called at the end of a complete answer.
     *
     * @param delivery How the answer was delivered.
     */
    void end(Delivery delivery);

    /**
     * Called when the exchange has failed. No further calls follow.
     *
     * @param failure The failure; its execution says whether the target may have run the request, and its kind is
     *     {@link Failure.Kind#UNAVAILABLE} if the connection has ended.
     */
    void failed(Failure failure);
}
