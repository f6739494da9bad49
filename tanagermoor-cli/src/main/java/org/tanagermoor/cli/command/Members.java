package org.tanagermoor.cli.command;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import org.tanagermoor.cli.client.ToolAnswer;
import org.tanagermoor.cli.client.ToolClient;
import org.tanagermoor.cli.client.ToolRequest;
import org.tanagermoor.kernel.failure.Failure;
import org.tanagermoor.kernel.setting.Address;

/** Reads the members of the fleet that an instance knows. */
final class Members {

    /** The path of the status request. */
    static final String STATUS_PATH = "/operator/status";

    private Members() {}

    static Either<Failure, JsonNode> status(ToolClient client) {
        return client.call(ToolRequest.of("GET", STATUS_PATH)).flatMap(ToolAnswer::document);
    }

    /** Reads the members listed in a status and skips those without a valid address. */
    static List<Entry> of(JsonNode status) {
        List<Entry> result = new ArrayList<>();
        for (JsonNode member : status.path("members")) {
            Address.parse(member.path("caller_address").asText())
                    .peek(address ->
                            result.add(new Entry(member.path("instance").asText(), address)));
        }
        return result;
    }

    /**
     * A member of the fleet.
     *
     * @param name The identity of the instance as text.
     * @param address The address for callers and operators.
     */
    record Entry(String name, Address address) {}
}
