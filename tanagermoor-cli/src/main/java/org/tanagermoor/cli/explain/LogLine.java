package org.tanagermoor.cli.explain;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * A line of the log of a process.
 *
 * @param millis The hybrid logical time in milliseconds since the epoch.
 * @param order The order among lines of one millisecond.
 * @param process The process.
 * @param event The name of the event.
 * @param fields The line as it was written.
 */
public record LogLine(long millis, long order, String process, String event, JsonNode fields) {

    /** The order of cause and effect, over all processes. */
    public static final Comparator<LogLine> ORDER = Comparator.comparingLong(LogLine::millis)
            .thenComparingLong(LogLine::order)
            .thenComparing(LogLine::process);

    /** The fields that each line has. */
    private static final Set<String> COMMON_FIELDS = Set.of("time", "order", "level", "process", "event", "code");

    /**
     * Returns the event that a line holds.
     *
     * @param fields The line.
     * @return The event, or empty if it is none.
     */
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

    /**
     * Returns a field.
     *
     * @param name The name of the field.
     * @return Its value; empty if the line does not have it.
     */
    public String field(String name) {
        return fields.path(name).asText();
    }

    /**
     * Returns the fields that are particular to the event.
     *
     * @return The fields as name=value, with a space between them.
     */
    public String details() {
        return fields.properties().stream()
                .filter(field -> !COMMON_FIELDS.contains(field.getKey()))
                .map(LogLine::toNameValue)
                .collect(Collectors.joining(" "));
    }

    /**
     * Returns a field as name=value.
     *
     * @param field The field.
     * @return The text, with quotation marks around a value with spaces.
     */
    private static String toNameValue(Map.Entry<String, JsonNode> field) {
        String value = field.getValue().asText();
        return field.getKey() + "=" + (value.indexOf(' ') < 0 ? value : '"' + value + '"');
    }
}
