package org.tanagermoor.http;

import org.reactivestreams.Publisher;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** The registry of HTTP endpoints of an instance. Plug-ins register their endpoints while they start. */
public interface HttpEndpoints {

    /**
     * Registers an endpoint. If several endpoints match a request, the one that was registered first handles it.
     *
     * @param method The HTTP method, for example {@code GET}.
     * @param template The path; {@code {name}} matches one segment, and {@code {name:.*}} as the last segment matches
     *     the rest of the path.
     * @param handler Handles the requests.
     */
    void register(String method, String template, Handler handler);

    /**
     * Registers an endpoint for operators. Requests without the operators' key are refused before the handler is
     * called.
     *
     * @param method The HTTP method.
     * @param template The path, as for {@link #register}.
     * @param handler Handles the requests.
     */
    void registerForOperators(String method, String template, Handler handler);

    /** Handles the requests of one endpoint. */
    @FunctionalInterface
    interface Handler {

        /**
         * Handles a request.
         *
         * @param request The request; {@code request.param(name)} returns the path parameters of the template.
         * @param response The response, to which nothing was written yet.
         * @return Completes when the response is written.
         */
        Publisher<Void> handle(HttpServerRequest request, HttpServerResponse response);
    }
}
