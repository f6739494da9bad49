package org.tanagermoor.store.table;

import java.util.List;
import java.util.Optional;

/**
 * The rows that one read returned, which may be only a part of those that were asked for.
 *
 * @param rows The rows, in ascending order of their keys.
 * @param next The key after which to read on, or empty if there are no further rows.
 */
public record RowPage(List<Row> rows, Optional<String> next) {

    /**
     * Returns the page of a read that returns fewer rows than its limit only if there are no others.
     *
     * @param rows The rows.
     * @param limit The maximum number of rows of the read, at least 1.
     * @return The page, which ends with the last row or leaves open whether there are others.
     */
    public static RowPage of(List<Row> rows, int limit) {
        return new RowPage(
                rows,
                rows.size() < limit
                        ? Optional.empty()
                        : Optional.of(rows.get(rows.size() - 1).key().key()));
    }

    /** Returns whether no row is left to be read. */
    public boolean last() {
        return next.isEmpty();
    }
}
