package org.tanagermoor.batch.item;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;

/** Splits a stream of bytes into lines. Buffers at most one unfinished line. Not thread-safe. */
public final class LineSplitter {

    /** Bytes of the line whose end has not been received. */
    private final ByteArrayOutputStream unfinishedLine = new ByteArrayOutputStream();

    /** Maximum number of bytes of a line. */
    private final int maxLineBytes;

    /** Whether a line exceeded the maximum. */
    private boolean exceeded;

    /**
     * Creates a splitter for lines of limited length.
     *
     * @param maxLineBytes The maximum number of bytes of a line.
     */
    public LineSplitter(int maxLineBytes) {
        this.maxLineBytes = maxLineBytes;
    }

    /**
     * Adds the next bytes of the stream.
     *
     * @param bytes The next bytes, which may end within a line.
     * @return The lines that these bytes complete, without line breaks.
     */
    public List<byte[]> add(byte[] bytes) {
        List<byte[]> lines = new ArrayList<>();
        int from = 0;
        for (int index = 0; index < bytes.length; index++) {
            if (bytes[index] == '\n') {
                append(bytes, from, index);
                lines.add(takeLine());
                from = index + 1;
            }
        }
        append(bytes, from, bytes.length);
        return lines;
    }

    /**
     * Ends the stream and returns its last line.
     *
     * @return The last line, which is empty if the stream ended with a line break.
     */
    public byte[] finish() {
        return takeLine();
    }

    /** Returns whether a line exceeded the maximum length. If so, the lines must not be used. */
    public boolean exceeded() {
        return exceeded;
    }

    /**
     * Adds bytes to the unfinished line, or records that it exceeds the maximum.
     *
     * @param bytes The next bytes, which may end within a line.
     * @param from The index of the first byte.
     * @param to The index after the last byte.
     */
    private void append(byte[] bytes, int from, int to) {
        if (unfinishedLine.size() + to - from > maxLineBytes) {
            exceeded = true;
            return;
        }
        unfinishedLine.write(bytes, from, to - from);
    }

    /**
     * Returns the unfinished line and clears the buffer.
     *
     * @return The line, without a carriage return at its end.
     */
    private byte[] takeLine() {
        byte[] line = unfinishedLine.toByteArray();
        unfinishedLine.reset();
        int length = line.length;
        if (length > 0 && line[length - 1] == '\r') {
            return java.util.Arrays.copyOf(line, length - 1);
        }
        return line;
    }
}
