package org.tanagermoor.store.client;

import io.netty.handler.codec.http.HttpMethod;
import java.util.Set;

/**
 * An HTTP request to the platform, with what the client needs to count it, retry it and judge its response.
 *
 * @param step The step that failures of this call name, for example {@code table.commit}.
 * @param metric The name of the meter that counts the call.
 * @param method The HTTP method.
 * @param path The path and query of the URI.
 * @param body The body, which must not be modified.
 * @param idempotent Whether the call may be sent again when its answer is lost or late.
 * @param statuses The HTTP status codes that make an answer; all others make a failure.
 */
@SuppressWarnings("ArrayRecordComponent")
public record Call(
        String step,
        String metric,
        HttpMethod method,
        String path,
        byte[] body,
        boolean idempotent,
        Set<Integer> statuses) {

    /** The empty body, for calls that send no content. */
    public static final byte[] NO_BODY = {};

    /**
     * Returns a call that may be sent a second time, and for which only {@link Answer#OK} is an answer.
     *
     * @param step The step that failures of the call name.
     * @param metric The name of the meter that counts the call.
     * @param path The path and query of the URI.
     * @param body The body, which must not be modified.
     */
    public static Call idempotent(String step, String metric, HttpMethod method, String path, byte[] body) {
        return new Call(step, metric, method, path, body, true, Set.of(Answer.OK));
    }

    /**
     * Returns a call that is sent at most once, and for which only {@link Answer#OK} is an answer.
     *
     * @param step The step that failures of the call name.
     * @param metric The name of the meter that counts the call.
     * @param path The path and query of the URI.
     * @param body The body, which must not be modified.
     */
    public static Call once(String step, String metric, HttpMethod method, String path, byte[] body) {
        return new Call(step, metric, method, path, body, false, Set.of(Answer.OK));
    }

    /** Returns a copy of this call for which exactly {@link Answer#OK} and the given status are answers. */
    public Call withAnswer(int status) {
        return new Call(step, metric, method, path, body, idempotent, Set.of(Answer.OK, status));
    }
}
