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
 * What log files hold.
 *
 * @param lines The events, in the order of the files.
 * @param dropped The lines that processes left out, as they say themselves.
 */
public record Logs(List<LogLine> lines, long dropped) {

    /** What a process writes in place of lines that it left out. */
    private static final String LINES_DROPPED_EVENT = "LINES_DROPPED";

    /** No logs. */
    public static final Logs EMPTY = new Logs(List.of(), 0);

    /**
     * Returns these logs and those of one more file. What is no text or no event is passed over.
     *
     * @param file The file.
     * @return The logs.
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
                droppedCount += fields.filter(object -> object.path("event").asText().equals(LINES_DROPPED_EVENT))
                        .map(object -> object.path("lines").asLong())
                        .orElse(0L);
            }
        }
        return new Logs(List.copyOf(all), droppedCount);
    }

    /** Returns the object of a line. What precedes it, such as the name of a log collector, is passed over. */
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
