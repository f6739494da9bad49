package org.tanagermoor.cli.client;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import org.tanagermoor.http.Json;
import org.tanagermoor.kernel.failure.Failure;

/**
 * The answer of an instance.
 *
 * @param status The HTTP status.
 * @param body The body, which is not to be changed.
 */
@SuppressWarnings("ArrayRecordComponent")
public record ToolAnswer(int status, byte[] body) {

    /** The step that failures name. */
    static final String STEP = "tool.answer";

    /** The status of a change that is durable but not yet known to be in force. */
    private static final int RECORDED_STATUS = 202;

    /**
     * Returns the body as JSON.
     *
     * @return The document, or a failure of kind {@link Failure.Kind#INVALID} if it is no JSON.
     */
    public Either<Failure, JsonNode> document() {
        return Json.read(STEP, body);
    }

    /**
     * Returns whether a change is durable but not yet known to be in force.
     *
     * @return Whether the change is recorded only.
     */
    public boolean recorded() {
        return status == RECORDED_STATUS;
    }
}
