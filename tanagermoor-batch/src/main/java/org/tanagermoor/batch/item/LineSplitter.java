package org.tanagermoor.batch.item;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;

/** Splits a stream of bytes into lines. Holds no more than one unfinished line. For use by one thread at a time. */
public final class LineSplitter {

    /** The bytes of the line that is not finished. */
    private final ByteArrayOutputStream unfinishedLine = new ByteArrayOutputStream();

    /** The most bytes of a line. */
    private final int maxLineBytes;

    /** Whether a line exceeded the limit. */
    private boolean exceeded;

    /**
     * Creates a splitter.
     *
     * @param maxLineBytes The most bytes of a line.
     */
    public LineSplitter(int maxLineBytes) {
        this.maxLineBytes = maxLineBytes;
    }

    /**
     * Takes bytes in.
     *
     * @param bytes The bytes.
     * @return The lines that the bytes finish, without line breaks.
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
     * Ends the stream.
     *
     * @return The last line, which is empty if the stream ended with a line break.
     */
    public byte[] finish() {
        return takeLine();
    }

    /**
     * Returns whether a line exceeded the limit. The lines are not to be used then.
     *
     * @return Whether a line exceeded the limit.
     */
    public boolean exceeded() {
        return exceeded;
    }

    /**
     * Adds bytes to the unfinished line.
     *
     * @param bytes The bytes.
     * @param from The first position.
     * @param to The position after the last.
     */
    private void append(byte[] bytes, int from, int to) {
        if (unfinishedLine.size() + to - from > maxLineBytes) {
            exceeded = true;
            return;
        }
        unfinishedLine.write(bytes, from, to - from);
    }

    /**
     * Takes the unfinished line.
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
