package org.tanagermoor.cli.explain;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.tanagermoor.http.Json;

/**
 * The events read from log files.
 *
 * @param lines The events, in the order of the files.
 * @param dropped The number of lines that processes report to have dropped.
 */
public record Logs(List<LogLine> lines, long dropped) {

    /** The event that a process writes in place of lines that it dropped. */
    private static final String LINES_DROPPED_EVENT = "LINES_DROPPED";

    /** Logs without any lines, to which files are added. */
    public static final Logs EMPTY = new Logs(List.of(), 0);

    /**
     * Returns these logs with the events of another file added. Lines that hold no JSON or no event are ignored.
     *
     * @throws IOException If the file cannot be read.
     */
    public Logs with(Path file) throws IOException {
        List<LogLine> all = new ArrayList<>(lines);
        long droppedCount = dropped;
        try (BufferedReader reader =
                new BufferedReader(new InputStreamReader(Files.newInputStream(file), StandardCharsets.UTF_8))) {
            for (String text = reader.readLine(); text != null; text = reader.readLine()) {
                Optional<JsonNode> fields = fields(text);
                fields.flatMap(LogLine::of).ifPresent(all::add);
                droppedCount += fields.filter(
                                object -> object.path("event").asText().equals(LINES_DROPPED_EVENT))
                        .map(object -> object.path("lines").asLong())
                        .orElse(0L);
            }
        }
        return new Logs(List.copyOf(all), droppedCount);
    }

    /** Parses the JSON object of a line and ignores text before it, such as a prefix from a log collector. */
    private static Optional<JsonNode> fields(String text) {
        int start = text.indexOf('{');
        if (start < 0) {
            return Optional.empty();
        }
        try {
            return Optional.of(Json.mapper().readTree(text.substring(start)));
        } catch (JsonProcessingException exception) {
            return Optional.empty();
        }
    }
}
