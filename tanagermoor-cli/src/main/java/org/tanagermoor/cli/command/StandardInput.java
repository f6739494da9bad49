package org.tanagermoor.cli.command;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** Reads input of a command from standard input or a file. */
final class StandardInput {

    /** The file name that means standard input. */
    static final String STANDARD_INPUT_NAME = "-";

    private StandardInput() {}

    /** Reads a stream to its end as UTF-8. */
    static String text(InputStream in) {
        return new String(bytes(in), StandardCharsets.UTF_8);
    }

    /**
     * Reads a file, or standard input if the name is {@link #STANDARD_INPUT_NAME}.
     *
     * @throws UncheckedIOException If the input cannot be read.
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

    private static byte[] bytes(InputStream in) {
        try {
            return in.readAllBytes();
        } catch (IOException exception) {
            throw new UncheckedIOException("cannot read standard input", exception);
        }
    }
}
