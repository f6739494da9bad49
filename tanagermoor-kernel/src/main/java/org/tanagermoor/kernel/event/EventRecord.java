package org.tanagermoor.kernel.event;

import java.util.Map;
import org.tanagermoor.kernel.time.HybridTimestamp;

/**
 * An event that a process has recorded.
 *
 * @param sequence The sequence number in the log of the process, starting at 1.
 * @param timestamp The hybrid logical time.
 * @param process The name of the process.
 * @param type The type of the event.
 * @param fields The fields, in the order in which they are written.
 */
public record EventRecord(
        long sequence, HybridTimestamp timestamp, String process, EventType type, Map<String, String> fields) {

    /**
     * Returns this event as one line of a structured log: code, text, process, time and fields.
     *
     * @return The line, without a line break.
     */
    public String toLine() {
        StringBuilder line = new StringBuilder(type.code());
        line.append(' ').append(type.text()).append(" process=").append(quoted(process));
        line.append(" time=").append(timestamp.millis()).append('.').append(timestamp.counter());
        fields.forEach(
                (name, value) -> line.append(' ').append(name).append('=').append(quoted(value)));
        return line.toString();
    }

    /**
     * Quotes and escapes a value that is empty or contains characters that would make the line ambiguous.
     */
    private static String quoted(String value) {
        boolean plain = !value.isEmpty() && value.chars().allMatch(c -> c > ' ' && c != '"' && c != '=' && c < 127);
        return plain
                ? value
                : '"'
                        + value.replace("\\", "\\\\")
                                .replace("\"", "\\\"")
                                .replace("\n", "\\n")
                                .replace("\r", "\\r")
                        + '"';
    }
}
