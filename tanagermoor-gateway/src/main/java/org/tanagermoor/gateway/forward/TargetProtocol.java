package org.tanagermoor.gateway.forward;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import org.tanagermoor.gateway.fleet.TargetEntry;

/** How requests to targets and their answers look. */
public interface TargetProtocol {

    /**
     * Writes a request.
     *
     * @param outgoing The request.
     * @param target The target that alone may run it.
     * @return The request; its body is a retained copy.
     */
    FullHttpRequest request(TargetRequest outgoing, TargetEntry target);

    /**
     * Reads the head of an answer.
     *
     * @param response The head.
     * @return What it says.
     */
    TargetHead head(HttpResponse response);
}
