package org.tanagermoor.cli.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import io.vavr.control.Either;
import java.io.PrintStream;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import org.tanagermoor.cli.ExitCode;
import org.tanagermoor.cli.client.ToolAnswer;
import org.tanagermoor.cli.client.ToolClient;
import org.tanagermoor.cli.client.ToolRequest;
import org.tanagermoor.http.Json;
import org.tanagermoor.kernel.failure.Failure;

/** Prints the recent events of all instances, merged in causal order. */
@Command(name = "timeline", description = "Shows the recent events of all instances in the order of cause and effect")
public final class TimelineCommand extends ToolCommand.ForOperator {

    /** The causal order: by hybrid logical time, then by process and position. */
    private static final Comparator<JsonNode> ORDER = Comparator.<JsonNode>comparingLong(
                    event -> event.path("millis").asLong())
            .thenComparingLong(event -> event.path("counter").asLong())
            .thenComparing(event -> event.path("process").asText())
            .thenComparingLong(event -> event.path("sequence").asLong());

    @Option(name = "--last", title = "events", description = "The most events to print (default 200)")
    int last = 200;

    /** The text that the code, the name or a field of a printed event contains. */
    @Option(name = "--only", title = "text", description = "Only events whose code, name or fields hold this text")
    String only = "";

    /** {@inheritDoc} */
    @Override
    protected ExitCode run(ToolClient client, ToolContext context) {
        Either<Failure, JsonNode> status = Members.status(client);
        if (status.isLeft()) {
            return reportFailure(status.getLeft(), context);
        }
        List<JsonNode> events = new ArrayList<>();
        for (Members.Entry member : Members.of(status.get())) {
            client.withInstance(member.address())
                    .call(ToolRequest.of("GET", "/operator/events"))
                    .flatMap(ToolAnswer::document)
                    .peek(instanceEvents -> instanceEvents.forEach(events::add))
                    .peekLeft(failure -> context.err()
                            .println("tanagermoor: no events of " + member.name() + ": " + failure.detail()));
        }
        print(select(events), context.out());
        return ExitCode.DONE;
    }

    /** Returns the last matching events, oldest first. */
    private List<JsonNode> select(List<JsonNode> events) {
        List<JsonNode> matching = events.stream()
                .filter(event -> event.toString().contains(only))
                .sorted(ORDER)
                .toList();
        return matching.subList(Math.max(0, matching.size() - last), matching.size());
    }

    private void print(List<JsonNode> events, PrintStream out) {
        if (json) {
            ArrayNode array = Json.mapper().createArrayNode();
            out.println(array.addAll(events));
            return;
        }
        for (JsonNode event : events) {
            StringBuilder line = new StringBuilder();
            line.append(Instant.ofEpochMilli(event.path("millis").asLong()))
                    .append('.')
                    .append(event.path("counter").asInt())
                    .append(' ')
                    .append(event.path("process").asText())
                    .append(' ')
                    .append(event.path("code").asText())
                    .append(' ')
                    .append(event.path("text").asText());
            for (Map.Entry<String, JsonNode> field : event.path("fields").properties()) {
                line.append(' ')
                        .append(field.getKey())
                        .append('=')
                        .append(field.getValue().asText());
            }
            out.println(line);
        }
    }
}
