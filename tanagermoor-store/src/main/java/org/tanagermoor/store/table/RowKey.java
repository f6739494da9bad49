package org.tanagermoor.store.table;

/**
 * Identifies a row by its table and its key within the table.
 *
 * @param table The name of the table.
 * @param key The key within the table; rows are ordered by it.
 */
public record RowKey(String table, String key) {

    /** Creates the identifier of a row from the name of its table and its key within the table. */
    public static RowKey of(String table, String key) {
        return new RowKey(table, key);
    }

    /** {@inheritDoc} */
    @Override
    public String toString() {
        return table + "/" + key;
    }
}
