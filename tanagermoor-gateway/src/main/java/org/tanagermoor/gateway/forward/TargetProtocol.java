package org.tanagermoor.gateway.forward;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import org.tanagermoor.gateway.fleet.TargetEntry;

/** Encodes requests to targets and decodes their answers. */
public interface TargetProtocol {

    /**
     * Encodes a request.
     *
     * @param outgoing The request.
     * @param target The only target that may run it.
     * @return The encoded request; its body is a retained copy.
     */
    FullHttpRequest request(TargetRequest outgoing, TargetEntry target);

    /**
     * Decodes the head of an answer.
     *
     * @param response The head as the target sent it.
     * @return The decoded head.
     */
    TargetHead head(HttpResponse response);
}
