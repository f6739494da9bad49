package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of a case: what was sent, answered and run, with the time since the start in seconds. */
public final class Log implements AutoCloseable {

    private final PrintWriter writer;

    private final long startedAt = System.nanoTime();

    public Log(Path file) throws IOException {
        writer = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8), true);
    }

    /** Writes a line. */
    public synchronized void line(String text) {
        writer.println(String.format(Locale.ROOT, "%8.3f %s", (System.nanoTime() - startedAt) / 1e9, text));
    }

    /** {@inheritDoc} */
    @Override
    public synchronized void close() {
        writer.close();
    }
}
