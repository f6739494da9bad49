package org.tanagermoor.target.client;

import io.netty.buffer.ByteBuf;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** Splits the body of a stream into server-sent events. Not thread-safe. */
final class EventDecoder {

    /** The data of the event that ends a stream. */
    private static final String DONE = "[DONE]";

    /** Stands for the number of an event that has none. */
    private static final int NO_NUMBER = -1;

    /** The maximum length of a line, in bytes. */
    private static final int MAX_LINE_BYTES = 1 << 20;

    /** The bytes received so far of the current line. */
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();

    /** The number of the current event. */
    private int number = NO_NUMBER;

    /** The data received so far of the current event, or {@code null} if there is none. */
    @Nullable
    private String data;

    /**
     * Decodes the next bytes of the stream.
     *
     * @param buffer The bytes, which are read to the end.
     * @return The events that these bytes complete, in order.
     * @throws IllegalArgumentException If a line is too long or the number of an event is not an integer.
     */
    List<Event> decode(ByteBuf buffer) {
        List<Event> events = new ArrayList<>();
        while (buffer.isReadable()) {
            int length = buffer.bytesBefore((byte) '\n');
            if (length < 0) {
                append(buffer, buffer.readableBytes());
                break;
            }
            append(buffer, length);
            buffer.skipBytes(1);
            endLine(events);
        }
        return events;
    }

    /**
     * Appends bytes to the current line.
     *
     * @throws IllegalArgumentException If the line becomes too long.
     */
    private void append(ByteBuf buffer, int length) {
        if (line.size() + length > MAX_LINE_BYTES) {
            throw new IllegalArgumentException("a line of the stream is too long");
        }
        byte[] bytes = new byte[length];
        buffer.readBytes(bytes);
        line.writeBytes(bytes);
    }

    /**
     * Processes the current line, which is complete. An empty line completes an event.
     *
     * @param events The list to which a completed event is added.
     */
    private void endLine(List<Event> events) {
        String text = line.toString(StandardCharsets.UTF_8);
        line.reset();
        if (text.endsWith("\r")) {
            text = text.substring(0, text.length() - 1);
        }
        if (!text.isEmpty()) {
            parseField(text);
        } else if (data != null) {
            events.add(new Event(number, data, data.equals(DONE)));
            number = NO_NUMBER;
            data = null;
        }
    }

    /** Processes a field of an event. Fields other than the data and the number are ignored. */
    private void parseField(String text) {
        if (text.startsWith("data:")) {
            String value = text.substring("data:".length()).stripLeading();
            data = data == null ? value : data + "\n" + value;
        } else if (text.startsWith("id:")) {
            number = Integer.parseInt(text.substring("id:".length()).strip());
        }
    }

    /**
     * A server-sent event.
     *
     * @param number The number of the token, or a negative number if there is none.
     * @param data The lines of data, joined by line feeds.
     * @param last Whether the event ends the stream.
     */
    record Event(int number, String data, boolean last) {}
}
