package org.tanagermoor.cli.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.github.rvesse.airline.annotations.Command;
import io.vavr.control.Either;
import org.tanagermoor.cli.ExitCode;
import org.tanagermoor.cli.client.ToolClient;
import org.tanagermoor.cli.client.ToolRequest;
import org.tanagermoor.http.Json;
import org.tanagermoor.kernel.failure.Failure;

/** Shows the status of all members of the fleet, obtained from each member itself. */
@Command(name = "status", description = "Shows the status of all instances, each asked itself")
public final class StatusCommand extends ToolCommand.ForOperator {

    /** {@inheritDoc} */
    @Override
    protected ExitCode run(ToolClient client, ToolContext context) {
        Either<Failure, JsonNode> first = Members.status(client);
        if (first.isLeft()) {
            return reportFailure(first.getLeft(), context);
        }
        ArrayNode rows = Json.mapper().createArrayNode();
        for (Members.Entry member : Members.of(first.get())) {
            ObjectNode row = rows.addObject()
                    .put("instance", member.name())
                    .put("address", member.address().toString());
            Members.status(client.withInstance(member.address()))
                    .peek(status -> fillRow(row, status))
                    .peekLeft(failure -> row.put("standing", "unreachable: " + failure.detail()));
        }
        print(rows, context.out());
        return ExitCode.DONE;
    }

    private static void fillRow(ObjectNode row, JsonNode status) {
        row.put("domain", status.path("domain").asText())
                .put("standing", status.path("standing").asText())
                .put("version", status.path("version").asLong())
                .put("preset", status.path("preset").asText());
    }

    /** Shows the status of the first instance that can be reached, with the members that it knows. */
    @Command(name = "instance", description = "Shows the status of one instance, with the members that it knows")
    public static final class Instance extends OperatorRequest {

        /** {@inheritDoc} */
        @Override
        protected ToolRequest request() {
            return ToolRequest.of("GET", Members.STATUS_PATH);
        }
    }
}
