package org.tanagermoor.cli.command;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** Reads what is given to the tool by standard input or by a file. */
final class StandardInput {

    /** The name that stands for standard input. */
    static final String STANDARD_INPUT_NAME = "-";

    /** There are no instances. */
    private StandardInput() {}

    /**
     * Reads text to its end.
     *
     * @param in The stream.
     * @return The text.
     */
    static String text(InputStream in) {
        return new String(bytes(in), StandardCharsets.UTF_8);
    }

    /**
     * Reads a file, or standard input.
     *
     * @param file The name of the file, or {@link #STANDARD_INPUT_NAME}.
     * @param in The standard input.
     * @return The bytes.
     * @throws UncheckedIOException If the file cannot be read.
     */
    static byte[] bytes(String file, InputStream in) {
        if (file.equals(STANDARD_INPUT_NAME)) {
            return bytes(in);
        }
        try {
            return Files.readAllBytes(Path.of(file));
        } catch (IOException exception) {
            throw new UncheckedIOException("cannot read " + file, exception);
        }
    }

    /**
     * Reads a stream to its end.
     *
     * @param in The stream.
     * @return The bytes.
     */
    private static byte[] bytes(InputStream in) {
        try {
            return in.readAllBytes();
        } catch (IOException exception) {
            throw new UncheckedIOException("cannot read standard input", exception);
        }
    }
}
