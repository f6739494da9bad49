package org.tanagermoor.gateway.forward;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * Splits a stream of server-sent events into complete events without changing a byte. Not safe for use by several
 * threads.
 */
public final class EventFrames {

    /** The maximum number of bytes without a new event: more than the longest event and the comments before it. */
    private static final int MAX_IDLE_BYTES = 1 << 20;

    /** The name of the field with the number of an event. */
    private static final String ID = "id:";

    /** The first character of a comment line. */
    private static final String COMMENT = ":";

    /** The name of the field with the data of an event. */
    private static final String DATA = "data:";

    /** The names of the fields of events. Targets put other fields only before these. */
    private static final Set<String> FIELDS = Set.of("id", "data", "event", "retry");

    /** The bytes of the event that is not complete yet. */
    private final ByteBuf pending = Unpooled.buffer(256);

    /** The index in the pending bytes from which the search for the end of the event continues. */
    private int scanIndex;

    /** The highest number of an event so far; 0 if none had a number. */
    private long lastNumber;

    /** The bytes of complete comments and of repeated events since the last new event. */
    private long idleBytes;

    private boolean eventCompleted;

    /** Whether the line at which the search continues is empty so far. */
    private boolean lineEmpty = true;

    private EventFrames() {}

    /** Returns a splitter for a new stream. */
    public static EventFrames of() {
        return new EventFrames();
    }

    /**
     * Adds the next bytes of the stream.
     *
     * @param content The bytes, which are read to their end.
     * @return The events that these bytes completed.
     * @throws IllegalArgumentException If too many bytes arrived without a new event.
     */
    public List<Event> add(ByteBuf content) {
        pending.writeBytes(content);
        List<Event> result = new ArrayList<>();
        for (int nextEventEnd = nextEventEnd(); nextEventEnd > 0; nextEventEnd = nextEventEnd()) {
            byte[] bytes = ByteBufUtil.getBytes(pending, pending.readerIndex(), nextEventEnd - pending.readerIndex());
            pending.readerIndex(nextEventEnd);
            lineEmpty = true;
            Event event = event(bytes);
            eventCompleted |= !event.comment();
            updateIdleBytes(event);
            result.add(event);
        }
        if (idleBytes + pending.readableBytes() > MAX_IDLE_BYTES) {
            throw new IllegalArgumentException("too many bytes without a new event");
        }
        scanIndex -= pending.readerIndex();
        pending.discardReadBytes();
        return result;
    }

    /** Updates the count of bytes without a new event. */
    private void updateIdleBytes(Event event) {
        boolean numbered = event.number() > 0;
        if (numbered ? event.number() > lastNumber : !event.comment()) {
            lastNumber = Math.max(lastNumber, event.number());
            idleBytes = 0;
        } else {
            idleBytes += event.bytes().length;
        }
    }

    /** Returns whether an event has been completed; a comment is none. */
    public boolean eventCompleted() {
        return eventCompleted;
    }

    /**
     * Returns whether the bytes so far end inside an event. Comments and empty lines after the last event belong to
     * none.
     */
    public boolean insideEvent() {
        return pending.toString(StandardCharsets.UTF_8)
                .lines()
                .anyMatch(line -> !line.isEmpty() && !line.startsWith(COMMENT));
    }

    /** Returns the bytes after the last complete event; empty if there are none. */
    public byte[] remainder() {
        return ByteBufUtil.getBytes(pending);
    }

    /** Returns the index after the next empty line, or 0 if the event is not complete. */
    private int nextEventEnd() {
        for (int index = Math.max(scanIndex, pending.readerIndex()); index < pending.writerIndex(); index++) {
            scanIndex = index + 1;
            byte value = pending.getByte(index);
            if (value == '\n') {
                if (lineEmpty && index > pending.readerIndex()) {
                    return index + 1;
                }
                lineEmpty = true;
            } else if (value != '\r') {
                lineEmpty = false;
            }
        }
        return 0;
    }

    /** Parses the fields of an event. */
    private static Event event(byte[] bytes) {
        long number = 0;
        StringBuilder data = new StringBuilder();
        boolean hasData = false;
        boolean comment = true;
        boolean fieldSeen = false;
        boolean joined = false;
        for (int start = 0; start < bytes.length; ) {
            int lineEnd = lineEnd(bytes, start);
            boolean carriageReturn = lineEnd > start && lineEnd < bytes.length && bytes[lineEnd - 1] == '\r';
            int length = (carriageReturn ? lineEnd - 1 : lineEnd) - start;
            String line = new String(bytes, start, length, StandardCharsets.UTF_8);
            boolean ignored = line.isEmpty() || line.startsWith(COMMENT);
            boolean field = FIELDS.contains(name(line));
            comment &= ignored;
            joined |= fieldSeen && !field && !ignored;
            fieldSeen |= field;
            if (line.startsWith(ID)) {
                number = number(value(line, ID));
            } else if (line.startsWith(DATA)) {
                data.append(hasData ? "\n" : "").append(value(line, DATA));
                hasData = true;
            }
            start = lineEnd + 1;
        }
        return new Event(bytes, joined ? 0 : number, data.toString(), comment);
    }

    /** Returns the index of the line feed that ends a line, or the number of bytes if there is none. */
    private static int lineEnd(byte[] bytes, int start) {
        int index = start;
        while (index < bytes.length && bytes[index] != '\n') {
            index++;
        }
        return index;
    }

    /** Returns the name of the field in a line, which is the whole line if it has no colon. */
    private static String name(String line) {
        int colon = line.indexOf(':');
        return colon < 0 ? line : line.substring(0, colon);
    }

    /** Returns the value of a field, without the one space that may precede it. */
    private static String value(String line, String field) {
        String value = line.substring(field.length());
        return value.startsWith(" ") ? value.substring(1) : value;
    }

    /** Parses a number; returns 0 if the text is not a number. */
    private static long number(String text) {
        try {
            return Long.parseLong(text.strip());
        } catch (NumberFormatException exception) {
            return 0;
        }
    }

    /**
     * A complete event or comment of a stream.
     *
     * @param bytes Its bytes, with the empty line that ends it.
     * @param number Its number; 0 if it has none, or if other bytes than those of an event follow its first field.
     * @param data The values of its data fields, joined by line feeds.
     * @param comment Whether it has no field, like the comments that targets send to keep a stream alive.
     */
    @SuppressWarnings("ArrayRecordComponent")
    public record Event(byte[] bytes, long number, String data, boolean comment) {}
}
