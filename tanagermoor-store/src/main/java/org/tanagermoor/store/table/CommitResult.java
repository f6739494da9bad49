package org.tanagermoor.store.table;

import java.util.List;
import java.util.Map;

/** The result of a commit that the table service has decided: it was either committed or rejected. */
public sealed interface CommitResult {

    /**
     * All conditions held and all writes took effect.
     *
     * @param versions The new versions of the rows that the transaction wrote, without the rows that it deleted.
     */
    record Committed(Map<RowKey, Long> versions) implements CommitResult {}

    /**
     * A condition did not hold and nothing was written.
     *
     * @param found The current rows of the conditions that did not hold, without absent rows.
     */
    record Conflict(List<Row> found) implements CommitResult {}
}
