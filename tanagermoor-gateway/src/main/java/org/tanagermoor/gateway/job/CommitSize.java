package org.tanagermoor.gateway.job;

import io.netty.buffer.ByteBufUtil;
import java.util.List;
import org.tanagermoor.store.table.RowKey;
import org.tanagermoor.store.table.Transaction;

/**
 * The size of a commit as the store counts it. Values count in base64, names as the bytes of their encoding.
 *
 * @param entries The number of conditions and rows.
 * @param bytes The number of bytes of all entries.
 */
record CommitSize(int entries, long bytes) {

    static final CommitSize EMPTY = new CommitSize(0, 0);

    /**
     * What is written in one commit: the store takes 100 entries and 1 MB, and a commit must also pass a narrow link
     * before its call times out.
     */
    static final CommitSize LIMIT = new CommitSize(100, 600_000);

    /** The number of bytes of an entry beside its key and value. */
    private static final int ENTRY_BYTES = 160;

    /** The maximum number of bytes in which a byte of a key is encoded. */
    private static final int KEY_FACTOR = 6;

    /** The minimum number of entries of a limit: the condition, the row of the job, and one other row. */
    private static final int MIN_ENTRIES = 3;

    /** Returns the size with one more entry, whose value has a number of bytes before it is encoded. */
    CommitSize with(RowKey key, int valueBytes) {
        long value = 4L * ((valueBytes + 2) / 3);
        long name = (long) KEY_FACTOR * ByteBufUtil.utf8Bytes(key.toString());
        return new CommitSize(entries + 1, bytes + ENTRY_BYTES + name + value);
    }

    /** Returns the size with more rows. */
    CommitSize withAll(List<Transaction.Write> rows) {
        CommitSize size = this;
        for (Transaction.Write row : rows) {
            byte[] value = row.value();
            size = size.with(row.key(), value == null ? 0 : value.length);
        }
        return size;
    }

    /** Returns whether a commit of this size is within a limit. */
    boolean fits(CommitSize limit) {
        return entries <= limit.entries && bytes <= limit.bytes;
    }

    /** Returns half of this limit. */
    CommitSize half() {
        return new CommitSize(Math.max(MIN_ENTRIES, entries / 2), bytes / 2);
    }
}
