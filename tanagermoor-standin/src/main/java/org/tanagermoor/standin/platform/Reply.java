package org.tanagermoor.standin.platform;

import org.tanagermoor.http.Json;
import org.tanagermoor.store.client.Answer;

/**
 * A reply to a call.
 *
 * @param status The HTTP status.
 * @param type The type of the content.
 * @param body The body.
 */
@SuppressWarnings("ArrayRecordComponent")
record Reply(int status, String type, byte[] body) {

    /** The type of JSON. */
    private static final String JSON = "application/json";

    /** The type of the content of objects. */
    private static final String BYTES = "application/octet-stream";

    /** The reply that has nothing to tell. */
    static final Reply DONE = new Reply(Answer.OK, JSON, new byte[] {'{', '}'});

    /** The reply that an object is absent. */
    static final Reply ABSENT = new Reply(Answer.NOT_FOUND, JSON, new byte[] {'{', '}'});

    /**
     * Returns a reply with a message.
     *
     * @param status The HTTP status.
     * @param message The message.
     * @return A reply.
     */
    static Reply json(int status, Object message) {
        return new Reply(status, JSON, Json.write(message));
    }

    /**
     * Returns a reply with the content of an object.
     *
     * @param content The content.
     * @return A reply.
     */
    static Reply content(byte[] content) {
        return new Reply(Answer.OK, BYTES, content);
    }
}
