package org.tanagermoor.cli.command;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.tanagermoor.http.Json;

/** Prints the text of a stream of server-sent events as it arrives. */
final class EventStreamPrinter {

    /** The prefix of a line with the data of an event. */
    private static final String DATA_PREFIX = "data:";

    /** The data that marks the end of the stream. */
    private static final String END_DATA = "[DONE]";

    private final PrintStream out;

    /** Whether to print the data of the events unchanged instead of the text in it. */
    private final boolean json;

    /** The bytes of the line that is not complete yet. */
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();

    /** Whether the end of the stream was received. */
    private boolean complete;

    /** The reason why the stream is incomplete, replaced by an error that the stream reports. */
    private String problem = "the answer ended before it was whole";

    EventStreamPrinter(PrintStream out, boolean json) {
        this.out = out;
        this.json = json;
    }

    /** Reads a part of the stream, which may start and end anywhere in a line. */
    void accept(byte[] piece) {
        for (byte next : piece) {
            if (next == '\n') {
                print(line.toString(StandardCharsets.UTF_8).strip());
                line.reset();
            } else {
                line.write(next);
            }
        }
    }

    /** Returns whether the end of the stream was received. */
    boolean complete() {
        return complete;
    }

    /** Returns the reason why the stream is incomplete. */
    String problem() {
        return problem;
    }

    /** Prints the data of a line and ignores lines without data. */
    private void print(String text) {
        if (!text.startsWith(DATA_PREFIX)) {
            return;
        }
        String data = text.substring(DATA_PREFIX.length()).strip();
        if (data.equals(END_DATA)) {
            complete = true;
            out.println(json ? END_DATA : "");
        } else if (json) {
            out.println(data);
        } else {
            Json.read("tool.stream", data.getBytes(StandardCharsets.UTF_8)).peek(this::printText);
        }
        out.flush();
    }

    /** Prints the text of an event and remembers an error that it reports. */
    private void printText(JsonNode event) {
        if (event.has("error")) {
            problem = event.path("error").path("message").asText();
        }
        event.path("choices").forEach(choice -> out.print(choice.path("text").asText()));
    }
}
