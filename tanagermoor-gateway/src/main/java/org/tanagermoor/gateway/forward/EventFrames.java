package org.tanagermoor.gateway.forward;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Cuts a stream into whole events without changing a byte. Not safe for use by several threads. */
public final class EventFrames {

    /** The most bytes without a new event: more than the longest event and the comments before it. */
    private static final int MAX_IDLE_BYTES = 1 << 20;

    /** The name of the field with the number of an event. */
    private static final String ID = "id:";

    /** What a line begins with that is a comment. */
    private static final String COMMENT = ":";

    /** The name of the field with the data of an event. */
    private static final String DATA = "data:";

    /** The bytes of the event that is not complete yet. */
    private final ByteBuf pending = Unpooled.buffer(256);

    /** Where the search for the end of the event goes on. */
    private int scanIndex;

    /** The highest number of an event so far. */
    private long lastNumber;

    /** The bytes of whole comments and of repeated events since the last new event. */
    private long idleBytes;

    /** Whether the line at which the search goes on is empty so far. */
    private boolean lineEmpty = true;

    /** Creates an empty cutter. */
    private EventFrames() {}

    /** Returns an empty cutter. */
    public static EventFrames of() {
        return new EventFrames();
    }

    /**
     * Takes bytes in.
     *
     * @param content The bytes, which are read to their end.
     * @return The events that are complete now.
     * @throws IllegalArgumentException If too many bytes came without a new event.
     */
    public List<Event> add(ByteBuf content) {
        pending.writeBytes(content);
        List<Event> result = new ArrayList<>();
        for (int nextEventEnd = nextEventEnd(); nextEventEnd > 0; nextEventEnd = nextEventEnd()) {
            byte[] bytes = ByteBufUtil.getBytes(pending, pending.readerIndex(), nextEventEnd - pending.readerIndex());
            pending.readerIndex(nextEventEnd);
            lineEmpty = true;
            Event event = event(bytes);
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

    /** Takes in whether an event is a new one. */
    private void updateIdleBytes(Event event) {
        boolean numbered = event.number() > 0;
        if (numbered ? event.number() > lastNumber : !event.comment()) {
            lastNumber = Math.max(lastNumber, event.number());
            idleBytes = 0;
        } else {
            idleBytes += event.bytes().length;
        }
    }

    /** Returns the bytes after the last complete event. */
    public byte[] incompleteEvent() {
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

    /** Reads an event. */
    private static Event event(byte[] bytes) {
        long number = 0;
        StringBuilder data = new StringBuilder();
        boolean hasData = false;
        boolean comment = true;
        for (String line : new String(bytes, StandardCharsets.UTF_8).split("\r?\n")) {
            comment &= line.isEmpty() || line.startsWith(COMMENT);
            if (line.startsWith(ID)) {
                number = number(value(line, ID));
            } else if (line.startsWith(DATA)) {
                data.append(hasData ? "\n" : "").append(value(line, DATA));
                hasData = true;
            }
        }
        return new Event(bytes, number, data.toString(), comment);
    }

    /** Returns the value of a field, without the one space that may precede it. */
    private static String value(String line, String field) {
        String value = line.substring(field.length());
        return value.startsWith(" ") ? value.substring(1) : value;
    }

    /** Reads a number; 0 if it is none. */
    private static long number(String text) {
        try {
            return Long.parseLong(text.strip());
        } catch (NumberFormatException exception) {
            return 0;
        }
    }

    /**
     * An event.
     *
     * @param bytes Its bytes with the empty line that ends it.
     * @param number Its number; 0 if it has none.
     * @param data Its data.
     * @param comment Whether it has no field, as targets send to keep a stream alive.
     */
    @SuppressWarnings("ArrayRecordComponent")
    public record Event(byte[] bytes, long number, String data, boolean comment) {}
}
