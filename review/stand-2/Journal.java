import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** The record of what was sent, answered and run, with times in milliseconds since its start. */
final class Journal implements AutoCloseable {

    record Entry(long millis, String what, String subject, String where, String detail) {}

    private final long start = System.nanoTime();
    private final PrintWriter out;
    private final List<Entry> entries = new CopyOnWriteArrayList<>();

    Journal(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    long millis() {
        return (System.nanoTime() - start) / 1_000_000;
    }

    void record(String what, String subject, String where, String detail) {
        Entry entry = new Entry(millis(), what, subject, where, detail);
        entries.add(entry);
        synchronized (out) {
            out.printf("%7d %-12s %-20s %-14s %s%n", entry.millis, what, subject, where, detail);
            out.flush();
        }
    }

    /** Records a line and prints it. */
    void say(String text) {
        record("note", "", "", text);
        System.out.println(text);
    }

    List<Entry> entries(String what) {
        return entries.stream().filter(entry -> entry.what.equals(what)).toList();
    }

    List<Entry> entries(String what, String subject) {
        return entries.stream()
                .filter(entry -> entry.what.equals(what) && entry.subject.equals(subject))
                .toList();
    }

    @Override
    public void close() {
        out.close();
    }
}
