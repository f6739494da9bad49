import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run to {@code record.txt}, with the time since the start. */
final class Record {

    private static final long START_NANOS = System.nanoTime();

    private final PrintWriter out;

    Record(Path folder) {
        try {
            out = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")), true);
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    /** Returns the time since the start in milliseconds. */
    static long millis() {
        return (System.nanoTime() - START_NANOS) / 1_000_000;
    }

    synchronized void add(String text, Object... arguments) {
        String line = String.format(Locale.ROOT, "%8.3f  ", millis() / 1_000.0)
                + (arguments.length == 0 ? text : String.format(Locale.ROOT, text, arguments));
        out.println(line);
        System.out.println(line);
    }
}
