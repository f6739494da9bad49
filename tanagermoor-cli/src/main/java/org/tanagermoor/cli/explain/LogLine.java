package org.tanagermoor.cli.explain;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * An event in the log of a process.
 *
 * @param millis The hybrid logical time in milliseconds since the epoch.
 * @param order The order among lines of the same millisecond.
 * @param process The name of the process that wrote the line.
 * @param event The name of the event.
 * @param fields All fields of the line as written.
 */
public record LogLine(long millis, long order, String process, String event, JsonNode fields) {

    /** The causal order of the events of all processes. */
    public static final Comparator<LogLine> ORDER = Comparator.comparingLong(LogLine::millis)
            .thenComparingLong(LogLine::order)
            .thenComparing(LogLine::process);

    private static final Set<String> COMMON_FIELDS = Set.of("time", "order", "level", "process", "event", "code");

    /** Reads an event from a line, or returns empty if the line has no event name or no time. */
    static Optional<LogLine> of(JsonNode fields) {
        return fields.path("event").isTextual() && fields.path("time").isNumber()
                ? Optional.of(new LogLine(
                        fields.path("time").asLong(),
                        fields.path("order").asLong(),
                        fields.path("process").asText(),
                        fields.path("event").asText(),
                        fields))
                : Optional.empty();
    }

    /** Returns the value of a field as text, or an empty text if the line does not have the field. */
    public String field(String name) {
        return fields.path(name).asText();
    }

    /** Returns the fields specific to the event, as name=value pairs separated by spaces. */
    public String details() {
        return fields.properties().stream()
                .filter(field -> !COMMON_FIELDS.contains(field.getKey()))
                .map(LogLine::toNameValue)
                .collect(Collectors.joining(" "));
    }

    /** Returns a field as name=value, with quotation marks around a value that contains spaces. */
    private static String toNameValue(Map.Entry<String, JsonNode> field) {
        String value = field.getValue().asText();
        return field.getKey() + "=" + (value.indexOf(' ') < 0 ? value : '"' + value + '"');
    }
}
