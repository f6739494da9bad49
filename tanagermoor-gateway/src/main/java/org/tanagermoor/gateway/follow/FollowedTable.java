package org.tanagermoor.gateway.follow;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The local copy of a table. Its revision never decreases. Not thread-safe. */
public final class FollowedTable {

    private final String name;

    private final Map<String, ChangeFeed.Change> rows = new HashMap<>();

    /** The revision up to which changes are known; 0 before the first copy. */
    private long revision;

    private FollowedTable(String name) {
        this.name = name;
    }

    /** Returns an empty copy of the table with the given name. */
    public static FollowedTable of(String name) {
        return new FollowedTable(name);
    }

    /** Returns the name of the table in the control store. */
    public String name() {
        return name;
    }

    /** Returns the revision up to which changes are known; 0 before the first copy. */
    public long revision() {
        return revision;
    }

    /** Returns the current rows, as a live view. */
    public Collection<ChangeFeed.Change> rows() {
        return rows.values();
    }

    /**
     * Replaces all rows by those of a complete copy, unless the copy is older than the known revision.
     *
     * @param copy The rows.
     * @param newRevision The revision of the copy.
     * @return The rows that differ; removed rows have no value.
     */
    public List<ChangeFeed.Change> replace(List<ChangeFeed.Change> copy, long newRevision) {
        if (newRevision < revision) {
            return List.of();
        }
        Map<String, ChangeFeed.Change> updated = new HashMap<>();
        copy.forEach(row -> updated.put(row.key(), row));
        List<ChangeFeed.Change> changed = new ArrayList<>();
        for (ChangeFeed.Change row : copy) {
            ChangeFeed.Change existing = rows.get(row.key());
            if (existing == null || existing.version() != row.version()) {
                changed.add(row);
            }
        }
        for (String key : rows.keySet()) {
            if (!updated.containsKey(key)) {
                changed.add(new ChangeFeed.Change(key, newRevision, null));
            }
        }
        rows.clear();
        rows.putAll(updated);
        revision = newRevision;
        return changed;
    }

    /**
     * Applies changes, and skips those that are already known.
     *
     * @param changes The changes in the order in which they were made.
     * @param newRevision The revision up to which they extend.
     * @return The changes that were not known.
     */
    public List<ChangeFeed.Change> apply(List<ChangeFeed.Change> changes, long newRevision) {
        List<ChangeFeed.Change> changed = new ArrayList<>();
        for (ChangeFeed.Change change : changes) {
            ChangeFeed.Change existing = rows.get(change.key());
            if (change.version() <= revision && (existing == null || existing.version() >= change.version())) {
                continue;
            }
            if (change.value() == null) {
                rows.remove(change.key());
            } else {
                rows.put(change.key(), change);
            }
            changed.add(change);
        }
        revision = Math.max(revision, newRevision);
        return changed;
    }
}
