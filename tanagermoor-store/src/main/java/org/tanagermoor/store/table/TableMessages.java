package org.tanagermoor.store.table;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** The JSON messages of the table service. The values of rows are encoded in base 64. */
public final class TableMessages {

    private TableMessages() {}

    /**
     * A request to read a single row.
     *
     * @param key The table and key of the row.
     */
    public record Read(RowKey key) {}

    /**
     * The answer to {@link Read}.
     *
     * @param row The row, or {@code null} if it is absent.
     */
    public record Found(@Nullable Row row) {}

    /**
     * A request for the rows of a table whose keys begin with a prefix.
     *
     * @param table The name of the table.
     * @param prefix The prefix, which may be empty.
     * @param after The key after which the scan starts (exclusive), or an empty string to start at the first key.
     * @param limit The maximum number of rows to return.
     */
    public record Scan(String table, String prefix, String after, int limit) {}

    /**
     * The answer to {@link Scan}, and to a commit with a condition that did not hold.
     *
     * @param rows The rows found, or the current rows of the conditions that did not hold.
     */
    public record Rows(List<Row> rows) {}

    /**
     * The answer to a commit that took effect.
     *
     * @param versions The new versions of the rows that the transaction wrote.
     */
    public record Versions(List<Transaction.Condition> versions) {

        /** Converts the result of a commit to the message that carries it. */
        public static Versions of(CommitResult.Committed committed) {
            return new Versions(committed.versions().entrySet().stream()
                    .map(entry -> new Transaction.Condition(entry.getKey(), entry.getValue()))
                    .toList());
        }

        /** Converts this message to the result of the commit that it answers. */
        public CommitResult.Committed committed() {
            Map<RowKey, Long> result = new LinkedHashMap<>();
            versions.forEach(version -> result.put(version.key(), version.version()));
            return new CommitResult.Committed(result);
        }
    }
}
