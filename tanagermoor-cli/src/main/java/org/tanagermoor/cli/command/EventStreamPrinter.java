package org.tanagermoor.cli.command;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.tanagermoor.http.Json;

/** Prints the text of a stream of server-sent events as it comes. */
final class EventStreamPrinter {

    /** What stands before the data of an event. */
    private static final String DATA_PREFIX = "data:";

    /** The data of the last event. */
    private static final String END_DATA = "[DONE]";

    /** Where to print. */
    private final PrintStream out;

    /** Whether to print the data of the events as it is. */
    private final boolean json;

    /** The bytes of the line that is not complete yet. */
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();

    /** Whether the last event has come. */
    private boolean complete;

    /** What is wrong with the stream. */
    private String problem = "the answer ended before it was whole";

    /**
     * Creates a printer.
     *
     * @param out Where to print.
     * @param json Whether to print the data of the events as it is.
     */
    EventStreamPrinter(PrintStream out, boolean json) {
        this.out = out;
        this.json = json;
    }

    /**
     * Takes a piece of the stream.
     *
     * @param piece The piece, which may begin and end anywhere.
     */
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

    /**
     * Returns whether the whole stream has come.
     *
     * @return Whether the whole stream has come.
     */
    boolean complete() {
        return complete;
    }

    /**
     * Returns what is wrong with a stream that is not whole.
     *
     * @return What is wrong.
     */
    String problem() {
        return problem;
    }

    /**
     * Prints a line of the stream.
     *
     * @param text The line.
     */
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

    /**
     * Prints the text of an event.
     *
     * @param event The event.
     */
    private void printText(JsonNode event) {
        if (event.has("error")) {
            problem = event.path("error").path("message").asText();
        }
        event.path("choices").forEach(choice -> out.print(choice.path("text").asText()));
    }
}
