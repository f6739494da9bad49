package org.tanagermoor.cli.client;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import org.tanagermoor.http.Json;
import org.tanagermoor.kernel.failure.Failure;

/**
 * A complete successful answer of an instance.
 *
 * @param status The HTTP status.
 * @param body The body, which callers must not modify.
 */
@SuppressWarnings("ArrayRecordComponent")
public record ToolAnswer(int status, byte[] body) {

    /** The step reported in failures of reading an answer. */
    static final String STEP = "tool.answer";

    /** The HTTP status of a change that is durable but not yet known to be in force. */
    private static final int RECORDED_STATUS = 202;

    /** Parses the body as JSON; the result is a failure of kind {@link Failure.Kind#INVALID} if it is not JSON. */
    public Either<Failure, JsonNode> document() {
        return Json.read(STEP, body);
    }

    /** Returns whether a change is durable but not yet known to be in force. */
    public boolean recorded() {
        return status == RECORDED_STATUS;
    }
}
