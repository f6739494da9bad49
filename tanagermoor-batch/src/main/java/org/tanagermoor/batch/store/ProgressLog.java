package org.tanagermoor.batch.store;

import java.util.ArrayList;
import java.util.List;
import org.tanagermoor.policy.batch.Progress;

/**
 * The recorded progress of a job and the position at which the next entries are appended.
 *
 * @param entries All recorded entries in order.
 * @param part The number of the part to which the next entries are appended.
 * @param version The version of the row of that part, or 0 if it is absent.
 * @param partEntries The entries of that part.
 */
public record ProgressLog(List<Progress> entries, int part, long version, List<Progress> partEntries) {

    /** The number of entries at which a part is full and the next one is started. */
    private static final int FULL_PART_ENTRIES = 64;

    /** The progress of a job without recorded entries. */
    public static final ProgressLog EMPTY = new ProgressLog(List.of(), 0, 0, List.of());

    /**
     * Returns this log with the entries of another part that was read.
     *
     * @param number The number of the part.
     * @param partVersion The version of its row.
     * @param more The entries of the part.
     * @return A log whose next entries are appended to that part.
     */
    ProgressLog withPart(int number, long partVersion, List<Progress> more) {
        List<Progress> all = new ArrayList<>(entries);
        all.addAll(more);
        return new ProgressLog(all, number, partVersion, more);
    }

    /**
     * Returns the part to be written: the current one with more entries, or a new one if it is full.
     *
     * @param more The entries to append.
     * @return A log without the entries of earlier parts, whose version is still that of the row to be replaced.
     */
    ProgressLog appended(List<Progress> more) {
        boolean full = partEntries.size() >= FULL_PART_ENTRIES;
        List<Progress> next = new ArrayList<>(full ? List.of() : partEntries);
        next.addAll(more);
        return new ProgressLog(List.of(), full ? part + 1 : part, full ? 0 : version, List.copyOf(next));
    }

    /**
     * Returns this log with another version of the row of its part.
     *
     * @param value The version of the row.
     */
    ProgressLog withVersion(long value) {
        return new ProgressLog(entries, part, value, partEntries);
    }
}
