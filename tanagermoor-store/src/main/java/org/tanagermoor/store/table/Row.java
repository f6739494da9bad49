package org.tanagermoor.store.table;

/**
 * The content of a row at the time of a read.
 *
 * @param key The table and the key within it.
 * @param version The version, at least 1. Each write of the row increases it, also a write after a deletion.
 * @param value The value, which must not be modified.
 */
@SuppressWarnings("ArrayRecordComponent")
public record Row(RowKey key, long version, byte[] value) {}
